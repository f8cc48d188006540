package model

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"
)

const goodJob = `{"nameId":"req-000412","docket":"train","crew":"vision","shape":"gang","rank":"high","pieces":16,
 "cpus":8.0,"cards":1.0,"memoryGb":64.0,"kit":"img-07","sizeGb":6.2,"hulls":["g8"],"yard":null,"together":true,
 "apart":false,"loaners":true,"guessS":240.0,"snapshotEveryS":30.0,"snapshotCostS":4.0,"dueS":900.0,"later":1}`

func TestParseJob(t *testing.T) {
	j, err := ParseJob([]byte(goodJob))
	if err != nil {
		t.Fatal(err)
	}
	want := &Job{ID: "req-000412", Class: "train", Team: "vision", Shape: Gang, Priority: High, Tasks: 16,
		Size: Size{8, 1, 64}, Image: "img-07", ImageGB: 6.2, Types: []string{"g8"}, OneZone: true, Spot: true,
		Estimate: 4 * time.Minute, CheckpointEvery: 30 * time.Second, SaveTime: 4 * time.Second, Deadline: 15 * time.Minute}
	if !reflect.DeepEqual(j, want) {
		t.Errorf("got %+v", j)
	}
	kept, err := json.Marshal(j)
	if err != nil {
		t.Fatal(err)
	}
	again := new(Job)
	if err := json.Unmarshal(kept, again); err != nil || !reflect.DeepEqual(again, want) {
		t.Errorf("kept form: %+v, %v", again, err)
	}
	for _, c := range []struct{ name, from, to, err string }{
		{"not JSON", goodJob, "{", "not JSON"},
		{"not an object", goodJob, "[]", "not a JSON object"},
		{"empty", goodJob, " ", "not a JSON object"},
		{"missing", `"cpus":8.0,`, ``, "cpus: missing"},
		{"null", `"cpus":8.0`, `"cpus":null`, "cpus: missing"},
		{"text for a number", `"cpus":8.0`, `"cpus":"8"`, "cpus"},
		{"part of a task", `"pieces":16`, `"pieces":1.5`, "pieces"},
		{"no tasks", `"pieces":16`, `"pieces":0`, "pieces: out of range"},
		{"too many tasks", `"pieces":16`, `"pieces":100001`, "pieces: out of range"},
		{"negative", `"memoryGb":64.0`, `"memoryGb":-1`, "memoryGb: out of range"},
		{"shape", `"gang"`, `"swarm"`, "shape"},
		{"rank", `"high"`, `"higher"`, "rank"},
		{"id", `req-000412`, `req 000412`, "nameId"},
		{"deadline", `"dueS":900.0`, `"dueS":-1`, "dueS"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseJob([]byte(strings.Replace(goodJob, c.from, c.to, 1)))
			if err == nil || !strings.Contains(err.Error(), c.err) {
				t.Errorf("got %v, want %q", err, c.err)
			}
		})
	}
}

func TestTaskSet(t *testing.T) {
	for _, n := range []int{1, 64, 65, 1000, MaxTasks} {
		s := NewTaskSet(n)
		for i := 0; i < n; i += 3 {
			s.Add(i)
		}
		if s.Add(n+64) || s.Add(-1) || s.Add(0) {
			t.Error("added what does not belong")
		}
		per := PartTasks(700) // far below the smallest value size in use
		back := NewTaskSet(n)
		for from := 0; from < n; from += per {
			text := s.Encode(from, min(n, from+per))
			if len(text) > 700 {
				t.Errorf("%d tasks from %d: %d bytes", n, from, len(text))
			}
			if err := back.Merge(from, text); err != nil {
				t.Fatal(err)
			}
		}
		if !reflect.DeepEqual(s, back) {
			t.Errorf("%d tasks: %d marks became %d", n, s.Len(), back.Len())
		}
	}
	if NewTaskSet(8).Merge(0, "b!!") == nil {
		t.Error("took nonsense in")
	}
}

func TestSplitTask(t *testing.T) {
	for name, want := range map[string]int{"req-1/0": 0, "req-1/99999": 99999, "req-1/100000": -1, "req-1/-1": -1,
		"req-1": -1, "req-1/01": -1, "/1": -1, "req-1/x": -1} {
		job, i, ok := SplitTask(name)
		if ok != (want >= 0) || (ok && (job != "req-1" || i != want)) {
			t.Errorf("%s: %s %d %v", name, job, i, ok)
		}
	}
}

func TestJobRules(t *testing.T) {
	big := MachineType{Name: "big", Size: Size{32, 0, 256}, Zones: []string{"a"}}
	for _, c := range []struct {
		name string
		job  Job
		zone string
		want bool
	}{
		{"any", Job{Size: Size{CPUs: 32}}, "a", true},
		{"not offered there", Job{Size: Size{CPUs: 32}}, "b", false},
		{"too big", Job{Size: Size{CPUs: 33}}, "a", false},
		{"no GPU", Job{Size: Size{GPUs: 1}}, "a", false},
		{"other zone", Job{Zone: "b"}, "a", false},
		{"other type", Job{Types: []string{"small"}}, "a", false},
		{"no type", Job{Types: []string{}}, "a", false},
		{"this type", Job{Types: []string{"small", "big"}, Zone: "a"}, "a", true},
	} {
		if got := c.job.Allows(big, c.zone); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	for tasks, want := range map[int]int{1: 1, 2: 1, 9: 5} {
		if got := (&Job{Tasks: tasks, Spread: true}).ZoneCap(); got != want {
			t.Errorf("spread of %d: %d", tasks, got)
		}
	}
	// A limit of 0 is none.
	if !(Team{}).WithinLimit(Size{CPUs: 1e6}) || (Team{Limit: Size{CPUs: 8}}).WithinLimit(Size{CPUs: 8.5}) {
		t.Error("limits")
	}
	if got := (Size{0.1, 0, 1}).Slots(Size{0.3, 0, 100}); got != 3 {
		t.Errorf("slots: %d", got)
	}
	if got := (Size{8, 0, 64}).Share(Size{32, 4, 128}); got != 0.5 {
		t.Errorf("share: %v", got)
	}
}

// What an earlier version took in and kept stays readable, though a submission of it is refused now.
func TestKeptFormStaysReadable(t *testing.T) {
	for _, c := range []struct{ name, from, to string }{
		{"no class", `"train"`, `""`},
		{"no team", `"vision"`, `""`},
		{"an empty zone", `"yard":null`, `"yard":""`},
		{"a null among the types", `["g8"]`, `["g8",null]`},
	} {
		text := []byte(strings.Replace(goodJob, c.from, c.to, 1))
		if _, err := ParseJob(text); err == nil {
			t.Errorf("%s: submitted", c.name)
		}
		if err := json.Unmarshal(text, new(Job)); err != nil {
			t.Errorf("%s: kept: %v", c.name, err)
		}
	}
	// What nothing can be done with is told, kept or not.
	for _, text := range []string{`{}`, strings.Replace(goodJob, `"pieces":16`, `"pieces":-1`, 1)} {
		if err := json.Unmarshal([]byte(text), new(Job)); err == nil {
			t.Errorf("kept: %s", text)
		}
	}
}

func TestJobID(t *testing.T) {
	for body, want := range map[string]string{
		goodJob: "req-000412", `{"nameId":"a","nameId":"b"}`: "b", `{"nameId":"a","nameId":null}`: "", `{"nameId":"a","cpus":NaN}`: "a",
		`{"nameId":"a"`: "a", `{"nameId":"a`: "", `{"x":{"nameId":"a"}}`: "", `{"NAMEID":"a"}`: "", `{"nameId":".."}`: "", `["nameId","a"]`: "",
		`"nameId"`: "", ``: "", `{"nameId":7}`: "", `{"nameId":"a"}{"nameId":"b"}`: "a",
	} {
		if got := JobID([]byte(body)); got != want {
			t.Errorf("%s: %q", body, got)
		}
	}
}
