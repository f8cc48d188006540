package model

import (
	"encoding/json"
	"math"
	"slices"
	"time"
)

// MaxTasks is the maximum number of tasks of a job, as set by the protocol.
const MaxTasks = 100_000

const (
	maxAmount   = 1e9 // largest accepted amount of a resource or of seconds
	maxIDLength = 100 // bytes
)

// wireJob is the JSON encoding of a job, in submissions and in stored records. Its fields
// are pointers to distinguish a missing value from a zero one.
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

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ValidID reports whether a job ID can be used as part of a key and of a path.
//
// Guard: "." and ".." are path elements with a special meaning, not names. A key that ends in
// one of them could be resolved to another key when it is read or written.
func ValidID(id string) bool {
	if id == "" || len(id) > maxIDLength || id == "." || id == ".." {
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

// job makes the checks that apply to both submissions and stored jobs, and returns the job.
func (w *wireJob) job() (*Job, error) {
	if err := w.checkPresent(); err != nil {
		return nil, err
	}
	if err := w.checkAmounts(); err != nil {
		return nil, err
	}
	if err := w.checkValues(); err != nil {
		return nil, err
	}
	return w.toJob(), nil
}

// checkPresent returns an error for the first required field that is missing.
func (w *wireJob) checkPresent() error {
	for _, field := range []struct {
		name    string
		missing bool
	}{
		{"nameId", w.ID == nil},
		{"docket", w.Class == nil},
		{"crew", w.Team == nil},
		{"shape", w.Shape == nil},
		{"rank", w.Priority == nil},
		{"pieces", w.Tasks == nil},
		{"cpus", w.CPUs == nil},
		{"cards", w.GPUs == nil},
		{"memoryGb", w.MemoryGB == nil},
		{"kit", w.Image == nil},
		{"sizeGb", w.ImageGB == nil},
		{"together", w.OneZone == nil},
		{"apart", w.Spread == nil},
		{"loaners", w.Spot == nil},
		{"guessS", w.EstimateS == nil},
		{"snapshotEveryS", w.CheckpointS == nil},
		{"snapshotCostS", w.SaveS == nil},
	} {
		if field.missing {
			return fieldError(field.name, "missing")
		}
	}
	return nil
}

// checkAmounts returns an error for the first required amount that is out of range.
func (w *wireJob) checkAmounts() error {
	for _, field := range []struct {
		name   string
		amount float64
	}{
		{"cpus", *w.CPUs},
		{"cards", *w.GPUs},
		{"memoryGb", *w.MemoryGB},
		{"sizeGb", *w.ImageGB},
		{"guessS", *w.EstimateS},
		{"snapshotEveryS", *w.CheckpointS},
		{"snapshotCostS", *w.SaveS},
	} {
		if field.amount < 0 || field.amount > maxAmount || math.IsNaN(field.amount) {
			return fieldError(field.name, "out of range")
		}
	}
	return nil
}

// checkValues returns an error for the first of the other fields that has an invalid value.
func (w *wireJob) checkValues() error {
	switch {
	case !ValidID(*w.ID):
		return fieldError("nameId", "not a job id")
	case *w.Shape != Array && *w.Shape != Gang && *w.Shape != Service:
		return fieldError("shape", "unknown shape")
	case w.Priority.Rank() < 0:
		return fieldError("rank", "unknown rank")
	case *w.Tasks < 1 || *w.Tasks > MaxTasks:
		return fieldError("pieces", "out of range")
	case w.DeadlineS != nil && (*w.DeadlineS < 0 || *w.DeadlineS > maxAmount):
		return fieldError("dueS", "out of range")
	case *w.Image == "":
		return fieldError("kit", "empty")
	case slices.Contains(w.Needs, nil):
		return fieldError("awaits", "holds a null")
	}
	return nil
}

// toJob converts checked fields to a job. It drops duplicate dependencies.
func (w *wireJob) toJob() *Job {
	job := &Job{
		ID:              *w.ID,
		Class:           *w.Class,
		Team:            *w.Team,
		Shape:           *w.Shape,
		Priority:        *w.Priority,
		Tasks:           *w.Tasks,
		Size:            Size{CPUs: *w.CPUs, GPUs: *w.GPUs, MemoryGB: *w.MemoryGB, ReportBytes: TaskReportBytes(*w.ID)},
		Image:           *w.Image,
		ImageGB:         *w.ImageGB,
		OneZone:         *w.OneZone,
		Spread:          *w.Spread,
		Spot:            *w.Spot,
		Estimate:        Seconds(*w.EstimateS),
		CheckpointEvery: Seconds(*w.CheckpointS),
		SaveTime:        Seconds(*w.SaveS),
	}
	if w.Types != nil {
		job.Types = append([]string{}, *w.Types...)
	}
	if w.Zone != nil {
		job.Zone = *w.Zone
	}
	if w.DeadlineS != nil {
		job.Deadline = Seconds(*w.DeadlineS)
	}
	for _, need := range w.Needs {
		if !slices.Contains(job.Needs, *need) {
			job.Needs = append(job.Needs, *need)
		}
	}
	return job
}

// MarshalJSON encodes the job as in a submission. Stored records have the same encoding.
func (j *Job) MarshalJSON() ([]byte, error) {
	seconds := func(d time.Duration) *float64 { s := d.Seconds(); return &s }
	wire := wireJob{
		ID:          &j.ID,
		Class:       &j.Class,
		Team:        &j.Team,
		Shape:       &j.Shape,
		Priority:    &j.Priority,
		Tasks:       &j.Tasks,
		CPUs:        &j.Size.CPUs,
		GPUs:        &j.Size.GPUs,
		MemoryGB:    &j.Size.MemoryGB,
		Image:       &j.Image,
		ImageGB:     &j.ImageGB,
		OneZone:     &j.OneZone,
		Spread:      &j.Spread,
		Spot:        &j.Spot,
		EstimateS:   seconds(j.Estimate),
		CheckpointS: seconds(j.CheckpointEvery),
		SaveS:       seconds(j.SaveTime),
	}
	if j.Types != nil {
		wire.Types = &j.Types
	}
	if j.Zone != "" {
		wire.Zone = &j.Zone
	}
	if j.Deadline > 0 {
		wire.DeadlineS = seconds(j.Deadline)
	}
	for i := range j.Needs {
		wire.Needs = append(wire.Needs, &j.Needs[i])
	}
	return json.Marshal(wire)
}

// UnmarshalJSON decodes a stored job. It makes fewer checks than ParseJob, so that jobs that
// an earlier version accepted stay readable.
func (j *Job) UnmarshalJSON(b []byte) error {
	var wire wireJob
	if err := json.Unmarshal(b, &wire); err != nil {
		return err
	}
	parsed, err := wire.job()
	if err != nil {
		return err
	}
	*j = *parsed
	return nil
}
