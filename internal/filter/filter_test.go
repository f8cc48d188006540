package filter

import (
	"errors"
	"testing"

	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

func TestMatch(t *testing.T) {
	row := &operatorspb.Job{Id: "req-7", Team: "grafo", Zone: "lambrate", WaitS: 45, Tasks: 3, State: "queued"}
	node := &operatorspb.Node{Name: "vm-1", Spot: true, Drain: "zone/a"}
	for text, want := range map[string]bool{
		"":            true,
		"team=grafo":  true,
		"team = rete": false,
		"team=grafo and wait>30s and zone in (lambrate, bovisa)": true,
		"team=grafo and wait>1m":                                 false,
		"wait_s >= 45":                                           true,
		"wait < 0.5m or tasks = 3":                               true,
		"not (team=grafo or tasks > 5)":                          false,
		"not team=rete and tasks != 4":                           true,
		"id ~ req- and tasks in (1, 2, 3)":                       true,
		`state = "queued"`:                                       true,
		`zone = ""`:                                              false,
	} {
		f, err := Parse(text, row)
		if err != nil {
			t.Errorf("%s: %v", text, err)
		} else if got := f.Match(row); got != want {
			t.Errorf("%s: %v", text, got)
		}
	}
	for text, want := range map[string]bool{"spot": true, "not spot": false, "spot = false": false, "drain = zone/a and recall < 1s": true} {
		f, err := Parse(text, node)
		if err != nil {
			t.Errorf("%s: %v", text, err)
		} else if got := f.Match(node); got != want {
			t.Errorf("%s: %v", text, got)
		}
	}
}

// TestErrorColumns checks that an error gives the position of the mistake in the expression.
func TestErrorColumns(t *testing.T) {
	for text, column := range map[string]int{
		"teem=grafo":              1,
		"team=grafo and wiat>30s": 16,
		"wait > soon":             8,
		"tasks > 3x":              9,
		"tasks ~ 3":               1,
		"team":                    1,
		"team < grafo":            1,
		"team = grafo and":        17,
		"(team = grafo":           14,
		"team in (a, b":           14,
		"team = grafo, zone = a":  13,
		"tasks":                   1,
		"gangs = 3":               1,
	} {
		_, err := Parse(text, &operatorspb.Job{})
		var e *Error
		if !errors.As(err, &e) || e.Column != column {
			t.Errorf("%s: %v", text, err)
		}
	}
}
