package model

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// MaxTasks is the protocol's bound on a job's tasks.
const MaxTasks = 100_000

// wireJob is a job as users send it. Pointers tell a missing field from a
// zero one.
type wireJob struct {
	ID          *string   `json:"nameId"`
	Class       *string   `json:"docket"`
	Team        *string   `json:"crew"`
	Shape       *Shape    `json:"shape"`
	Priority    *Priority `json:"rank"`
	Tasks       *int      `json:"pieces"`
	CPUs        *float64  `json:"cpus"`
	GPUs        *float64  `json:"cards"`
	MemoryGB    *float64  `json:"memoryGb"`
	Image       *string   `json:"kit"`
	ImageGB     *float64  `json:"sizeGb"`
	Types       *[]string `json:"hulls"`
	Zone        *string   `json:"yard"`
	OneZone     *bool     `json:"together"`
	Spread      *bool     `json:"apart"`
	Spot        *bool     `json:"loaners"`
	EstimateS   *float64  `json:"guessS"`
	CheckpointS *float64  `json:"snapshotEveryS"`
	SaveS       *float64  `json:"snapshotCostS"`
	DeadlineS   *float64  `json:"dueS"`
	Needs       []*string `json:"awaits,omitempty"`
}

// Seconds turns an amount of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ValidID tells whether a job id can be used as part of a key.
func ValidID(id string) bool {
	if id == "" || len(id) > 100 {
		return false
	}
	for _, c := range []byte(id) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_', c == '.':
		default:
			return false
		}
	}
	return true
}

// JobID reads only the id of a submission, so that a repeat of a known job is
// recognised whatever else its body holds. It returns "" without a usable one.
func JobID(body []byte) string {
	var w struct {
		ID *string `json:"nameId"`
	}
	var raw map[string]json.RawMessage
	if json.Unmarshal(body, &raw) != nil || json.Unmarshal(raw["nameId"], &w.ID) != nil || w.ID == nil || !ValidID(*w.ID) {
		return ""
	}
	return *w.ID
}

// ParseJob reads and checks a submission.
func ParseJob(body []byte) (*Job, error) {
	trimmed := 0
	for trimmed < len(body) && (body[trimmed] == ' ' || body[trimmed] == '\n' || body[trimmed] == '\t' || body[trimmed] == '\r') {
		trimmed++
	}
	if trimmed == len(body) || body[trimmed] != '{' {
		return nil, errors.New("not a JSON object")
	}
	var w wireJob
	if err := json.Unmarshal(body, &w); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, fmt.Errorf("field %s: cannot be a %s", te.Field, te.Value)
		}
		return nil, errors.New("not JSON")
	}
	for _, f := range []struct {
		name    string
		missing bool
	}{
		{"nameId", w.ID == nil}, {"docket", w.Class == nil}, {"crew", w.Team == nil}, {"shape", w.Shape == nil},
		{"rank", w.Priority == nil}, {"pieces", w.Tasks == nil}, {"cpus", w.CPUs == nil}, {"cards", w.GPUs == nil},
		{"memoryGb", w.MemoryGB == nil}, {"kit", w.Image == nil}, {"sizeGb", w.ImageGB == nil},
		{"together", w.OneZone == nil}, {"apart", w.Spread == nil}, {"loaners", w.Spot == nil},
		{"guessS", w.EstimateS == nil}, {"snapshotEveryS", w.CheckpointS == nil}, {"snapshotCostS", w.SaveS == nil},
	} {
		if f.missing {
			return nil, fmt.Errorf("field %s: missing", f.name)
		}
	}
	for _, f := range []struct {
		name string
		v    float64
	}{
		{"cpus", *w.CPUs}, {"cards", *w.GPUs}, {"memoryGb", *w.MemoryGB}, {"sizeGb", *w.ImageGB},
		{"guessS", *w.EstimateS}, {"snapshotEveryS", *w.CheckpointS}, {"snapshotCostS", *w.SaveS},
	} {
		if f.v < 0 || f.v > 1e9 || math.IsNaN(f.v) {
			return nil, fmt.Errorf("field %s: out of range", f.name)
		}
	}
	switch {
	case !ValidID(*w.ID):
		return nil, errors.New("field nameId: not a job id")
	case *w.Shape != Array && *w.Shape != Gang && *w.Shape != Service:
		return nil, errors.New("field shape: unknown shape")
	case w.Priority.Rank() < 0:
		return nil, errors.New("field rank: unknown rank")
	case *w.Tasks < 1 || *w.Tasks > MaxTasks:
		return nil, errors.New("field pieces: out of range")
	case w.DeadlineS != nil && (*w.DeadlineS < 0 || *w.DeadlineS > 1e9):
		return nil, errors.New("field dueS: out of range")
	case *w.Image == "":
		return nil, errors.New("field kit: empty")
	}
	j := &Job{
		ID: *w.ID, Class: *w.Class, Team: *w.Team, Shape: *w.Shape, Priority: *w.Priority, Tasks: *w.Tasks,
		Size:  Size{*w.CPUs, *w.GPUs, *w.MemoryGB},
		Image: *w.Image, ImageGB: *w.ImageGB, OneZone: *w.OneZone, Spread: *w.Spread, Spot: *w.Spot,
		Estimate: Seconds(*w.EstimateS), CheckpointEvery: Seconds(*w.CheckpointS), SaveTime: Seconds(*w.SaveS),
	}
	if w.Types != nil {
		j.Types = append([]string{}, *w.Types...)
	}
	if w.Zone != nil {
		j.Zone = *w.Zone
	}
	if w.DeadlineS != nil {
		j.Deadline = Seconds(*w.DeadlineS)
	}
	for _, need := range w.Needs {
		if need == nil {
			return nil, errors.New("field awaits: not a list of job ids")
		}
		if !slices.Contains(j.Needs, *need) {
			j.Needs = append(j.Needs, *need)
		}
	}
	return j, nil
}

// MarshalJSON writes the job in the users' form, which is also how it is kept.
func (j *Job) MarshalJSON() ([]byte, error) {
	sec := func(d time.Duration) *float64 { s := d.Seconds(); return &s }
	w := wireJob{
		ID: &j.ID, Class: &j.Class, Team: &j.Team, Shape: &j.Shape, Priority: &j.Priority, Tasks: &j.Tasks,
		CPUs: &j.Size.CPUs, GPUs: &j.Size.GPUs, MemoryGB: &j.Size.MemoryGB, Image: &j.Image, ImageGB: &j.ImageGB,
		OneZone: &j.OneZone, Spread: &j.Spread, Spot: &j.Spot,
		EstimateS: sec(j.Estimate), CheckpointS: sec(j.CheckpointEvery), SaveS: sec(j.SaveTime),
	}
	if j.Types != nil {
		w.Types = &j.Types
	}
	if j.Zone != "" {
		w.Zone = &j.Zone
	}
	if j.Deadline > 0 {
		w.DeadlineS = sec(j.Deadline)
	}
	for i := range j.Needs {
		w.Needs = append(w.Needs, &j.Needs[i])
	}
	return json.Marshal(w)
}

// UnmarshalJSON reads the kept form.
func (j *Job) UnmarshalJSON(b []byte) error {
	parsed, err := ParseJob(b)
	if err != nil {
		return err
	}
	*j = *parsed
	return nil
}

// WireTask is a task as workers report it.
type WireTask struct {
	Task    string    `json:"piece"`
	Attempt uint64    `json:"try"`
	State   TaskState `json:"stage"`
	Cause   Cause     `json:"cause,omitempty"`
	Saved   bool      `json:"stored,omitempty"`
}

// Report is a worker's report.
type Report struct {
	Machine string     `json:"berth"`
	Addr    string     `json:"addr"`
	Type    string     `json:"hull"`
	Zone    string     `json:"yard"`
	Spot    bool       `json:"loaners"`
	Session uint64     `json:"shift"`
	Seq     uint64     `json:"tally"`
	Token   uint64     `json:"baton"`
	NoticeS *float64   `json:"recallS"`
	Tasks   []WireTask `json:"pieces"`
}

// Command is one order as a worker receives it.
type Command struct {
	Op      string   `json:"verb"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"windDownS,omitempty"`
}

// CheckInAnswer is the body of a worker's 200.
type CheckInAnswer struct {
	Token    uint64    `json:"baton"`
	Commands []Command `json:"orders"`
}

// DirectOrders is the body of a direct call to a worker.
type DirectOrders struct {
	Token    uint64    `json:"baton"`
	Session  uint64    `json:"shift"`
	Commands []Command `json:"orders"`
}

// WireType is a machine type as the cloud publishes it.
type WireType struct {
	Name        string   `json:"sku"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"cards"`
	MemoryGB    float64  `json:"memoryGb"`
	CacheGB     float64  `json:"cacheGb"`
	FetchGBPerS float64  `json:"fetchGbPerS"`
	Price       float64  `json:"hourly"`
	SpotPrice   float64  `json:"lowPrice"`
	BootS       float64  `json:"startupS"`
	Zones       []string `json:"yards"`
}

// Catalogue is the list of machine types.
type Catalogue struct {
	Types []WireType `json:"hulls"`
}

// Table turns the catalogue into machine types by name.
func (c Catalogue) Table() map[string]MachineType {
	out := make(map[string]MachineType, len(c.Types))
	for _, t := range c.Types {
		out[t.Name] = MachineType{Name: t.Name, Size: Size{t.CPUs, t.GPUs, t.MemoryGB}, CacheGB: t.CacheGB,
			FetchGBPerS: t.FetchGBPerS, Price: t.Price, SpotPrice: t.SpotPrice, Boot: Seconds(t.BootS), Zones: t.Zones}
	}
	return out
}
