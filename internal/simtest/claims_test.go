package simtest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// A leader that crashes at any step between a gang's claim and the last of its start commands leaves no partial gang.
// The next leader continues with the same attempt, and no task gives up waiting for the others.
func TestLeaderCrashLeavesNoPartialGang(t *testing.T) {
	plan := func(at time.Duration, back bool, cut int) Plan {
		kind := "crash"
		if back {
			kind = "crash back"
		}
		faults := []Fault{{Kind: kind, At: at, For: 2 * time.Second, A: 7}}
		if cut > 0 { // an owner's start commands are held up, so that only a part of the gang is started
			faults = append(faults, Fault{Kind: "cut node from nodes", At: max(0, at-60*time.Millisecond), For: 700 * time.Millisecond, A: cut, Hold: true})
		}
		return Plan{Seed: 77, Machines: 1, Lease: 10 * time.Second, Cancel: 24 * time.Second,
			// There is one machine per zone, each half full, so the gang's tasks go to three owners.
			Jobs: []Submission{{At: 2 * time.Second, Shape: model.Array, Tasks: 1, Zone: "a", Takes: 40 * time.Second},
				{At: 2 * time.Second, Shape: model.Array, Tasks: 1, Zone: "b", Takes: 40 * time.Second},
				{At: 2 * time.Second, Shape: model.Array, Tasks: 1, Zone: "c", Takes: 40 * time.Second},
				{At: 8 * time.Second, Shape: model.Gang, Tasks: 3, Takes: 5 * time.Second}},
			Faults: faults}
	}
	var calm strings.Builder
	Run(plan(50*time.Second, false, 0), &calm, 8)
	placed := when(t, calm.String(), "is told to start req-3/")
	resumed := 0
	for step := -42 * time.Millisecond; step < 400*time.Millisecond; step += 14 * time.Millisecond {
		for variant := range 6 {
			back, cut := variant%2 == 1, variant/2
			var story strings.Builder
			out := Run(plan(placed+step, back, cut), &story, 0)
			attempts := map[string]bool{}
			for _, line := range strings.Split(story.String(), "\n") {
				if i := strings.Index(line, "is told to start req-3/"); i >= 0 {
					attempts[line[strings.LastIndex(line, " ")+1:]] = true
				}
			}
			if out.Broken != "" {
				t.Errorf("ended %v after the first order, back at once %v, cut %d: %s\n%s", step, back, cut, out.Broken, story.String())
			}
			if len(attempts) != 1 {
				t.Errorf("ended %v after the first order, back at once %v, cut %d: attempts %v", step, back, cut, attempts)
			}
			if strings.Contains(story.String(), "claim resumed") {
				resumed++
			}
		}
	}
	if resumed < 5 {
		t.Errorf("only %d of these leaders went on with a claim", resumed)
	}
}

// when returns the time of the first line of a story that contains a text.
func when(t *testing.T, story, text string) time.Duration {
	for _, line := range strings.Split(story, "\n") {
		var s float64
		if strings.Contains(line, text) {
			if _, err := fmt.Sscanf(line, "%f", &s); err != nil {
				t.Fatal(err)
			}
			return time.Duration(s * float64(time.Second))
		}
	}
	t.Fatalf("the story lacks %q", text)
	return 0
}
