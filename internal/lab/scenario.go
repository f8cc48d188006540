// Package lab runs marlwood on one machine to try it out: three controllers as separate processes,
// simulated external services, and simulated users who submit jobs.
package lab

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/settings"
	"github.com/marlwood/marlwood/internal/standin"
)

//go:embed default.sexp
var defaultScenario []byte

// Scenario describes the zones, machine types, teams and jobs of a lab.
type Scenario struct {
	Zones []string `sexp:"zones"`
	Types []Type   `sexp:"type"`
	Teams []Team   `sexp:"team"`
	Jobs  []Job    `sexp:"job"`
}

// Type is a machine type.
type Type struct {
	Name        string        `sexp:"name"`
	CPUs        float64       `sexp:"cpus"`
	GPUs        float64       `sexp:"gpus"`
	MemoryGB    float64       `sexp:"memory-gb"`
	Price       float64       `sexp:"price"`
	SpotPrice   float64       `sexp:"spot-price"`
	Boot        time.Duration `sexp:"boot"`
	FetchGBPerS float64       `sexp:"fetch-gb-per-s"`
	Limit       int           `sexp:"limit"` // most machines in a zone, for ordinary and spot machines each
}

// Team is a team with its guarantee and its limit, in CPUs.
type Team struct {
	Name      string  `sexp:"name"`
	Guarantee float64 `sexp:"guarantee"`
	Limit     float64 `sexp:"limit"`
}

// Job is a kind of job that users submit repeatedly.
type Job struct {
	Name     string        `sexp:"name"`
	Every    time.Duration `sexp:"every"` // mean interval between submissions; 0: submitted once, with Name as the job id
	Team     string        `sexp:"team"`
	Shape    string        `sexp:"shape" oneof:"batch gang standing"`
	Tasks    int           `sexp:"tasks"`
	CPUs     float64       `sexp:"cpus"`
	GPUs     float64       `sexp:"gpus"`
	MemoryGB float64       `sexp:"memory-gb"`
	Takes    time.Duration `sexp:"takes"` // run time of a task; for a service, the time until its user cancels it
	Priority string        `sexp:"priority" oneof:"critical high normal low"`
	Image    string        `sexp:"image"`
	ImageGB  float64       `sexp:"image-gb"`
	Saves    time.Duration `sexp:"saves"` // time that a checkpoint takes; 0: no checkpoints
	Due      time.Duration `sexp:"due"`
	Zone     string        `sexp:"zone"`
	Types    []string      `sexp:"types"`
	OneZone  bool          `sexp:"one-zone"`
	Spread   bool          `sexp:"spread"`
	Spot     bool          `sexp:"spot"`
	Fails    bool          `sexp:"fails"`  // every task ends with an error
	Awaits   []string      `sexp:"awaits"` // ids of jobs that must be done before this one starts
}

// LoadScenario reads a scenario from a file, or returns the built-in one if path is empty.
func LoadScenario(path string) (*Scenario, error) {
	text := defaultScenario
	if path != "" {
		var err error
		if text, err = os.ReadFile(path); err != nil {
			return nil, fmt.Errorf("scenario: %w", err)
		}
	}
	s := &Scenario{}
	err := settings.Decode(text, "lab", s)
	if err == nil {
		err = s.check()
	}
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", path, err)
	}
	return s, nil
}

func (s *Scenario) check() error {
	if len(s.Zones) == 0 || len(s.Types) == 0 || len(s.Teams) == 0 {
		return fmt.Errorf("zones, type and team: each is needed at least once")
	}
	for i := range s.Types {
		t := &s.Types[i]
		if t.CPUs <= 0 || t.MemoryGB <= 0 {
			return fmt.Errorf("type %q: cpus and memory-gb are needed", t.Name)
		}
		if t.Price <= 0 {
			t.Price = t.CPUs / 8
		}
	}
	for _, j := range s.Jobs {
		if !slices.ContainsFunc(s.Teams, func(t Team) bool { return t.Name == j.Team }) {
			return fmt.Errorf("job %q: no team %q", j.Name, j.Team)
		}
		if !model.ValidID(j.Name) {
			return fmt.Errorf("job %q: only letters, digits, -, _ and . may be in its name", j.Name)
		}
		if _, err := model.ParseJob(s.body(j, j.Name)); err != nil {
			return fmt.Errorf("job %q: %w", j.Name, err)
		}
	}
	return nil
}

// body returns the body of a request that submits a job.
func (s *Scenario) body(j Job, id string) []byte {
	every := 0.0
	if j.Saves > 0 {
		every = max(1, j.Takes.Seconds()/10)
	}
	estimate := j.Takes.Seconds()
	if j.Shape == string(model.Service) {
		estimate = 0
	}
	m := map[string]any{"nameId": id, "docket": j.Name, "crew": j.Team, "shape": j.Shape, "rank": j.Priority, "pieces": j.Tasks,
		"cpus": j.CPUs, "cards": j.GPUs, "memoryGb": j.MemoryGB, "kit": j.Image, "sizeGb": j.ImageGB, "together": j.OneZone, "apart": j.Spread,
		"loaners": j.Spot, "guessS": estimate, "snapshotEveryS": every, "snapshotCostS": j.Saves.Seconds()}
	if j.Due > 0 {
		m["dueS"] = j.Due.Seconds()
	}
	if j.Zone != "" {
		m["yard"] = j.Zone
	}
	if len(j.Awaits) > 0 {
		m["awaits"] = j.Awaits
	}
	if len(j.Types) > 0 {
		m["hulls"] = j.Types
	}
	text, _ := json.Marshal(m) // can't fail: m holds only encodable values
	return text
}

// fails reports whether a job's tasks end with an error.
func (s *Scenario) fails(j *model.Job) bool {
	return slices.ContainsFunc(s.Jobs, func(k Job) bool { return k.Name == j.Class && k.Fails })
}

// machineTypes returns the machine types in the form that the simulated cloud uses.
func (s *Scenario) machineTypes() (out []*standin.Type) {
	for _, t := range s.Types {
		out = append(out, &standin.Type{Name: t.Name, Size: model.Size{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}, CacheGB: 100,
			FetchGBPerS: t.FetchGBPerS, Price: t.Price, SpotPrice: t.SpotPrice, Boot: t.Boot, Zones: s.Zones, Limit: t.Limit})
	}
	return out
}

// DefaultScenario returns the text of the built-in scenario.
func DefaultScenario() string { return string(defaultScenario) }
