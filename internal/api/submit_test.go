package api

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// validFields are the fields of a job that can run, each with its value in JSON.
var validFields = map[string]string{
	"nameId": `"req-000412"`, "docket": `"train"`, "crew": `"vision"`, "shape": `"batch"`, "rank": `"high"`, "pieces": `2`,
	"cpus": `4.0`, "cards": `1.0`, "memoryGb": `32.0`, "kit": `"img-07"`, "sizeGb": `6.2`, "hulls": `["big"]`, "yard": `"a"`,
	"together": `true`, "apart": `false`, "loaners": `true`, "guessS": `240.0`, "snapshotEveryS": `30.0`, "snapshotCostS": `4.0`,
	"dueS": `900.0`, "awaits": `[]`,
}

// submission returns a submission with validFields and some changes; an empty value omits the field.
func submission(changes map[string]string) []byte {
	all := maps.Clone(validFields)
	maps.Copy(all, changes)
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if all[name] != "" {
			parts = append(parts, fmt.Sprintf("%q:%s", name, all[name]))
		}
	}
	return []byte("{" + strings.Join(parts, ",") + "}")
}

// setupZones returns a server for a deployment of three zones; zone c offers only machine type island.
func setupZones(t *testing.T) (*Server, *fakeStore) {
	t.Helper()
	server, fake := setup(t)
	server.options.Teams = map[string]model.Team{
		"vision": {Name: "vision", Limit: model.Size{CPUs: 64, GPUs: 8}},
		"free":   {Name: "free"},
	}
	table := map[string]model.MachineType{
		"small":  {Name: "small", Size: model.Size{CPUs: 4, MemoryGB: 16}, Zones: []string{"a"}},
		"big":    {Name: "big", Size: model.Size{CPUs: 96, GPUs: 16, MemoryGB: 768}, Zones: []string{"a", "b"}},
		"island": {Name: "island", Size: model.Size{CPUs: 8, MemoryGB: 64}, Zones: []string{"c"}},
	}
	server.options.Types = func() map[string]model.MachineType { return table }
	return server, fake
}

// Kinds of a submission's fields, as bits.
const (
	textField = 1 << iota
	countField
	amountField
	truthField
	namesField
	nullableField
)

// badValues are the invalid values of each kind of field: a name and the value in JSON.
var badValues = map[int]map[string]string{
	textField: {"a number": `7`, "empty": `""`, "a list": `["x"]`, "an object": `{}`, "true": `true`},
	countField: {"a text": `"2"`, "negative": `-1`, "zero": `0`, "too many": `100001`, "a part": `1.5`, "beyond 64 bits": `18446744073709551616`,
		"beyond floats": `1e999`, "NaN as a text": `"NaN"`, "a list": `[2]`, "true": `true`},
	amountField: {"a text": `"4.0"`, "negative": `-0.5`, "too large": `1e10`, "beyond floats": `1e999`, "below floats": `-1e999`,
		"NaN as a text": `"NaN"`, "infinite as a text": `"Infinity"`, "a list": `[4.0]`, "an object": `{}`, "true": `true`},
	truthField: {"a text": `"true"`, "a number": `1`, "a list": `[true]`, "an object": `{}`},
	namesField: {"a text": `"big"`, "a number": `1`, "an object": `{}`, "numbers in it": `["big",1]`, "null in it": `["big",null]`, "lists in it": `[["big"]]`},
}

// fieldKinds maps each field to its kind.
var fieldKinds = map[string]int{
	"nameId": textField, "docket": textField, "crew": textField, "shape": textField, "rank": textField, "pieces": countField, "cpus": amountField, "cards": amountField,
	"memoryGb": amountField, "kit": textField, "sizeGb": amountField, "hulls": namesField | nullableField, "yard": textField | nullableField, "together": truthField,
	"apart": truthField, "loaners": truthField, "guessS": amountField, "snapshotEveryS": amountField, "snapshotCostS": amountField,
	"dueS": amountField | nullableField, "awaits": namesField | nullableField,
}

// fieldBadValues are further invalid values of single fields.
var fieldBadValues = map[string]map[string]string{
	"nameId": {"a space": `"req 1"`, "a slash": `"req/1"`, "too long": `"` + strings.Repeat("r", 101) + `"`, "a step up": `".."`,
		"a step": `"."`, "not ASCII": `"réq"`, "a line": `"req\n1"`},
	"shape": {"unknown": `"swarm"`, "other case": `"Batch"`},
	"rank":  {"unknown": `"higher"`, "other case": `"HIGH"`, "a space": `"high "`},
}

// A submission with any kind of invalid value in any field is answered with 400, the field's name and the
// remedy, and nothing is stored. A nullable field may be missing or null.
func TestInvalidFieldValues(t *testing.T) {
	ctx := context.Background()
	if len(fieldKinds) != len(validFields) {
		t.Fatalf("%d of %d fields have a kind", len(fieldKinds), len(validFields))
	}
	for _, name := range slices.Sorted(maps.Keys(validFields)) {
		kind := fieldKinds[name]
		values := maps.Clone(badValues[kind&^nullableField])
		maps.Copy(values, fieldBadValues[name])
		good := map[string]string{}
		if empty := map[string]string{"missing": "", "null": "null"}; kind&nullableField == 0 {
			maps.Copy(values, empty)
		} else {
			good = empty
		}
		for _, what := range slices.Sorted(maps.Keys(values)) {
			t.Run(name+" "+what, func(t *testing.T) {
				server, fake := setupZones(t)
				a := server.Submit(ctx, submission(map[string]string{name: values[what]}))
				if a.Status != http.StatusBadRequest || a.RetryAfter != 0 {
					t.Errorf("status %d: %s", a.Status, a.Body)
				}
				wrong, remedy, _ := strings.Cut(string(a.Body), "; ")
				if !strings.Contains(wrong, "field "+name+": ") || !strings.Contains(remedy, "give ") {
					t.Errorf("answer lacks the field or the remedy: %s", a.Body)
				}
				if len(fake.keys) > 0 || len(a.Body) > 300 {
					t.Errorf("%d keys stored, an answer of %d bytes", len(fake.keys), len(a.Body))
				}
			})
		}
		for what, value := range good {
			t.Run(name+" "+what, func(t *testing.T) {
				server, fake := setupZones(t)
				if a := server.Submit(ctx, submission(map[string]string{name: value})); a.Status != http.StatusCreated || len(fake.keys) != 1 {
					t.Errorf("status %d: %s", a.Status, a.Body)
				}
			})
		}
	}
}

// A body that doesn't describe a job is answered with 400 and the reason; unknown fields are ignored.
func TestMalformedBodies(t *testing.T) {
	whole := string(submission(nil))
	pad := func(n int) string {
		return strings.TrimSuffix(whole, "}") + `,"later":"` + strings.Repeat("x", n) + `"}`
	}
	for _, c := range []struct {
		name, body string
		status     int
		wantInBody string
	}{
		{"whole", whole, http.StatusCreated, ""},
		{"unknown fields and fields in other case", strings.TrimSuffix(whole, "}") + `,"later":[1],"CPUS":"x","Shape":null}`, http.StatusCreated, ""},
		{"surrounding white space", " \n" + whole + "\r\n", http.StatusCreated, ""},
		{"a field twice, the last counts", `{"cpus":"x",` + whole[1:], http.StatusCreated, ""},
		{"a field twice, the last is bad", strings.TrimSuffix(whole, "}") + `,"cpus":"x"}`, http.StatusBadRequest, "field cpus"},
		{"a field twice, the last is null", strings.TrimSuffix(whole, "}") + `,"cpus":null}`, http.StatusBadRequest, "field cpus: missing"},
		{"a required field only in other case", strings.Replace(whole, `"cpus"`, `"CPUs"`, 1), http.StatusBadRequest, "field cpus: missing"},
		{"64 KiB", pad(model.MaxBody - len(pad(0))), http.StatusCreated, ""},
		{"over 64 KiB", pad(model.MaxBody - len(pad(0)) + 1), http.StatusBadRequest, "body: 65537 bytes"},
		{"empty", "", http.StatusBadRequest, "not a JSON object"},
		{"a list", "[" + whole + "]", http.StatusBadRequest, "not a JSON object"},
		{"null", "null", http.StatusBadRequest, "not a JSON object"},
		{"a string", `"x"`, http.StatusBadRequest, "not a JSON object"},
		{"truncated body", whole[:len(whole)-1], http.StatusBadRequest, "not JSON"},
		{"trailing data", whole + whole, http.StatusBadRequest, "not JSON"},
		{"NaN", strings.Replace(whole, "4.0", "NaN", 1), http.StatusBadRequest, "not JSON"},
		{"Infinity", strings.Replace(whole, "4.0", "-Infinity", 1), http.StatusBadRequest, "not JSON"},
		{"not UTF-8", strings.Replace(whole, "img-07", "img-\xff", 1), http.StatusBadRequest, "not UTF-8"},
	} {
		t.Run(c.name, func(t *testing.T) {
			server, fake := setupZones(t)
			a := server.Submit(context.Background(), []byte(c.body))
			if a.Status != c.status || !strings.Contains(string(a.Body), c.wantInBody) {
				t.Errorf("status %d: %s", a.Status, a.Body)
			}
			if (len(fake.keys) > 0) != (c.status == http.StatusCreated) {
				t.Errorf("%d keys stored", len(fake.keys))
			}
		})
	}
}

// set returns a map from alternating names and values.
func set(namesAndValues ...string) map[string]string {
	changes := map[string]string{}
	for i := 0; i < len(namesAndValues); i += 2 {
		changes[namesAndValues[i]] = namesAndValues[i+1]
	}
	return changes
}

// validationCase is one row of TestSubmissionValidation.
type validationCase struct {
	name       string
	changes    map[string]string
	status     int
	wantInBody string // part of the answer: the fields or the team that a rejection names
}

// validationCases are jobs that can run in the deployment of setupZones and jobs that never can.
var validationCases = []validationCase{
	{"valid job", nil, http.StatusCreated, ""},
	{"unknown team", set("crew", `"nobody"`), http.StatusUnprocessableEntity, "field crew"},
	{"a class without an objective", set("docket", `"odd"`), http.StatusCreated, ""},

	{"the whole of a machine", set("cpus", `64`, "memoryGb", `768`, "cards", `8`), http.StatusCreated, ""},
	{"more CPUs than any machine", set("crew", `"free"`, "cpus", `96.5`), http.StatusUnprocessableEntity, "cpus"},
	{"more cards than any machine", set("crew", `"free"`, "cards", `17`), http.StatusUnprocessableEntity, "cards"},
	{"more memory than any machine", set("memoryGb", `768.5`), http.StatusUnprocessableEntity, "memoryGb"},
	{"each amount fits some machine type, all together fit none", set("hulls", `["small","island"]`, "yard", `null`, "cards", `0`, "cpus", `8`, "memoryGb", `64.5`), http.StatusUnprocessableEntity, "hulls"},
	{"an unknown type", set("hulls", `["huge"]`), http.StatusUnprocessableEntity, "hulls"},
	{"no type", set("hulls", `[]`), http.StatusUnprocessableEntity, "hulls"},
	{"an unknown type and one that fits", set("hulls", `["huge","big","big"]`), http.StatusCreated, ""},
	{"a type that is too small and one that fits", set("hulls", `["small","big"]`), http.StatusCreated, ""},
	{"an unknown zone", set("yard", `"z"`), http.StatusUnprocessableEntity, "yard"},
	{"no type fits in the only zone", set("yard", `"c"`, "hulls", `null`), http.StatusUnprocessableEntity, "yard"},
	{"the type is not offered in the only zone", set("yard", `"c"`), http.StatusUnprocessableEntity, "yard"},
	{"the type is offered in the only zone", set("yard", `"c"`, "hulls", `["island"]`, "cards", `0`), http.StatusCreated, ""},
	{"not on spot machines", set("loaners", `false`), http.StatusCreated, ""},

	{"an array beyond the limit, a task within it", set("pieces", `100000`, "cpus", `64`), http.StatusCreated, ""},
	{"a task of an array beyond the CPUs", set("pieces", `1`, "cpus", `64.5`), http.StatusUnprocessableEntity, "team vision"},
	{"a task of an array beyond the cards", set("pieces", `1`, "cards", `9`), http.StatusUnprocessableEntity, "team vision"},
	{"a gang at the limit", set("shape", `"gang"`, "pieces", `8`, "cpus", `8`), http.StatusCreated, ""},
	{"a gang beyond the CPUs", set("shape", `"gang"`, "pieces", `9`, "cpus", `8`, "cards", `0`), http.StatusUnprocessableEntity, "team vision"},
	{"a gang beyond the cards", set("shape", `"gang"`, "pieces", `9`, "cpus", `1`), http.StatusUnprocessableEntity, "team vision"},
	{"a service at the limit", set("shape", `"standing"`, "pieces", `8`, "cpus", `8`, "guessS", `0`), http.StatusCreated, ""},
	{"a service beyond the limit", set("shape", `"standing"`, "pieces", `9`, "cpus", `8`, "guessS", `0`), http.StatusUnprocessableEntity, "team vision"},
	{"memory has no limit", set("shape", `"gang"`, "pieces", `8`, "cpus", `1`, "memoryGb", `768`), http.StatusCreated, ""},
	{"a team without a limit", set("crew", `"free"`, "shape", `"gang"`, "pieces", `100000`), http.StatusCreated, ""},

	{"one task, together and apart", set("shape", `"gang"`, "pieces", `1`, "apart", `true`), http.StatusCreated, ""},
	{"an array, together and apart: half of it at a time", set("apart", `true`), http.StatusCreated, ""},
	{"a gang, together and apart", set("shape", `"gang"`, "apart", `true`, "yard", `null`), http.StatusUnprocessableEntity, "together, apart"},
	{"a service, together and apart: half of its replicas", set("shape", `"standing"`, "apart", `true`, "yard", `null`), http.StatusCreated, ""},
	{"a gang apart, two zones", set("shape", `"gang"`, "together", `false`, "apart", `true`, "yard", `null`), http.StatusCreated, ""},
	{"a gang of three apart, two zones", set("shape", `"gang"`, "pieces", `3`, "together", `false`, "apart", `true`, "yard", `null`), http.StatusCreated, ""},
	{"one task apart, one zone", set("shape", `"gang"`, "pieces", `1`, "together", `false`, "apart", `true`), http.StatusCreated, ""},
	{"an array apart, one zone: half of it at a time", set("together", `false`, "apart", `true`), http.StatusCreated, ""},
	{"a gang apart, one zone", set("shape", `"gang"`, "together", `false`, "apart", `true`), http.StatusUnprocessableEntity, "apart, hulls, yard"},
	{"a service apart, one zone: half of its replicas", set("shape", `"standing"`, "together", `false`, "apart", `true`), http.StatusCreated, ""},
	{"a gang apart, its types are in one zone", set("shape", `"gang"`, "together", `false`, "apart", `true`, "yard", `null`,
		"hulls", `["small","island"]`, "cards", `0`, "memoryGb", `16.5`), http.StatusUnprocessableEntity, "apart, hulls, yard"},
	{"a gang apart, a zone for each type", set("shape", `"gang"`, "together", `false`, "apart", `true`, "yard", `null`,
		"hulls", `["small","island"]`, "cards", `0`, "memoryGb", `16`), http.StatusCreated, ""},

	{"no resources requested", set("cpus", `0`, "cards", `0`, "memoryGb", `0`, "sizeGb", `0`), http.StatusCreated, ""},
	{"no estimate, no saves, due at once", set("guessS", `0`, "snapshotEveryS", `0`, "snapshotCostS", `0`, "dueS", `0`), http.StatusCreated, ""},
	{"an image larger than a cache", set("sizeGb", `1e9`), http.StatusCreated, ""},
	{"maximum value of each duration", set("guessS", `1e9`, "snapshotEveryS", `1e9`, "snapshotCostS", `1e9`, "dueS", `1e9`), http.StatusCreated, ""},
}

// Jobs that can never run in the deployment are rejected with the fields at fault; jobs that can run are accepted.
func TestSubmissionValidation(t *testing.T) {
	for _, c := range validationCases {
		t.Run(c.name, func(t *testing.T) {
			server, fake := setupZones(t)
			a := server.Submit(context.Background(), submission(c.changes))
			if a.Status != c.status || !strings.Contains(string(a.Body), c.wantInBody) {
				t.Errorf("status %d: %s", a.Status, a.Body)
			}
			if (len(fake.keys) > 0) != (c.status == http.StatusCreated) {
				t.Errorf("%d keys stored", len(fake.keys))
			}
		})
	}
}

// wholeSubmission is a complete submission of a job that can run.
var wholeSubmission = string(submission(nil))

// repeatCase is one row of TestRepeatOfKnownJob.
type repeatCase struct {
	name    string
	body    string
	change  func(server *Server, fake *fakeStore)
	unknown int // status of the answer if the job is unknown
}

// repeatCases are submissions, some with a change to the server or the store. Most would be rejected if the job were
// new.
var repeatCases = []repeatCase{
	{"machine types unknown", wholeSubmission, func(server *Server, _ *fakeStore) {
		server.options.Types = func() map[string]model.MachineType { return nil }
	}, http.StatusServiceUnavailable},
	{"no machine type is offered any more", wholeSubmission, func(server *Server, _ *fakeStore) {
		server.options.Types = func() map[string]model.MachineType { return map[string]model.MachineType{} }
	}, http.StatusServiceUnavailable},
	{"its machine type is no longer offered", wholeSubmission, func(server *Server, _ *fakeStore) {
		server.options.Types = func() map[string]model.MachineType { return types }
	}, http.StatusUnprocessableEntity},
	{"its team was removed", wholeSubmission, func(server *Server, _ *fakeStore) { server.options.Teams = map[string]model.Team{} }, http.StatusUnprocessableEntity},
	{"its team's limit was lowered", wholeSubmission, func(server *Server, _ *fakeStore) {
		server.options.Teams = map[string]model.Team{"vision": {Limit: model.Size{CPUs: 1}}}
	}, http.StatusUnprocessableEntity},
	{"the body differs", string(submission(map[string]string{"pieces": "7", "crew": `"free"`})), nil, http.StatusCreated},
	{"its dependency was never submitted", string(submission(map[string]string{"awaits": `["req-9"]`})), nil, http.StatusUnprocessableEntity},
	{"its dependency's record can't be parsed", string(submission(map[string]string{"awaits": `["req-8"]`})), func(_ *Server, fake *fakeStore) {
		fake.change(store.Put("job/req-8", "x"))
	}, http.StatusServiceUnavailable},
	{"its record is too large", string(submission(map[string]string{"kit": `"` + strings.Repeat("k", 4000) + `"`})), nil, http.StatusBadRequest},
	{"too large for the store", wholeSubmission, func(_ *Server, fake *fakeStore) { fake.tooLarge = true }, http.StatusBadRequest},
	{"a field is missing", string(submission(map[string]string{"cpus": ""})), nil, http.StatusBadRequest},
	{"a field is bad", string(submission(map[string]string{"cpus": `"x"`})), nil, http.StatusBadRequest},
	{"over 64 KiB", string(submission(map[string]string{"later": `"` + strings.Repeat("x", model.MaxBody) + `"`})), nil, http.StatusBadRequest},
	{"truncated after the id", `{"nameId":"req-000412","cpus":4.`, nil, http.StatusBadRequest},
	{"invalid JSON after the id", `{"nameId":"req-000412","cpus":NaN}`, nil, http.StatusBadRequest},
	{"not UTF-8", strings.Replace(wholeSubmission, "img-07", "\xff", 1), nil, http.StatusBadRequest},
}

// Resubmitting a known job, even a finished one, returns 200 and the job's status, also if a new submission would not
// be accepted. The same submission of an unknown job returns the status in its row.
func TestRepeatOfKnownJob(t *testing.T) {
	ctx := context.Background()
	for _, c := range repeatCases {
		for _, known := range []string{"queued", "aborted", "done"} {
			t.Run(c.name+", "+known, func(t *testing.T) {
				server, fake := setupZones(t)
				if a := server.Submit(ctx, submission(nil)); a.Status != http.StatusCreated {
					t.Fatalf("%d %s", a.Status, a.Body)
				}
				switch known {
				case "aborted":
					server.Cancel(ctx, "req-000412")
				case "done":
					fake.change(store.Delete("job/req-000412"))
					fake.change(store.Put("done/req-000412", placement.FinalJobRecord{Stage: model.Done, Tasks: 2, Count: 2}))
				}
				if c.change != nil {
					c.change(server, fake)
				}
				fresh, err := New(server.options, fake) // another controller, whose caches are empty
				if err != nil {
					t.Fatal(err)
				}
				for _, node := range []*Server{server, fresh} {
					if got := statusAndStage(t, node.Submit(ctx, []byte(c.body))); got != "200 "+known {
						t.Errorf("got %s", got)
					}
				}
			})
		}
		t.Run(c.name+", unknown", func(t *testing.T) {
			server, fake := setupZones(t)
			if c.change != nil {
				c.change(server, fake)
			}
			if a := server.Submit(ctx, []byte(c.body)); a.Status != c.unknown || (a.Status == http.StatusServiceUnavailable) != (a.RetryAfter > 0) {
				t.Errorf("status %d, Retry-After %d: %s", a.Status, a.RetryAfter, a.Body)
			}
		})
	}
	// A submission without a readable id is never treated as a repeat.
	for _, b := range []string{`{"cpus":NaN,"nameId":"req-000412"}`, `{"nameId":412}`, `{"nameId":"req-000412","nameId":null}`, `["nameId","req-000412"]`} {
		server, _ := setupZones(t)
		server.Submit(ctx, submission(nil))
		if a := server.Submit(ctx, []byte(b)); a.Status != http.StatusBadRequest {
			t.Errorf("%s: %d", b, a.Status)
		}
	}
}
