package main

import (
	"strings"
	"testing"

	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

// Usage that is not known is shown as not known, never as nothing; the columns of other rows stay as they are.
func TestTeamRows(t *testing.T) {
	used := &operatorspb.Team{Name: "grafo", RunCpuH: 1.5}
	unknown := &operatorspb.Team{Name: "grafo", UsageUnknown: true}
	unused := &operatorspb.Team{Name: "grafo"}
	for _, c := range []struct {
		name        string
		row         *operatorspb.Team
		cells       string // after the columns that there always are
		columns     bool   // of usage
		json, other string // what the JSON has, and has not
	}{
		{"used", used, "1.50  0.00    0.00", true, `"run_cpu_h":1.5`, `"usage_unknown":true`},
		{"not known", unknown, "?", true, `"usage_unknown":true`, `cpu_h`},
		{"not kept", unused, "", false, `"run_cpu_h":0`, `"usage_unknown":true`},
	} {
		var out strings.Builder
		if err := writeTeams(&out, []*operatorspb.Team{c.row}); err != nil {
			t.Fatal(err)
		}
		if strings.Contains(out.String(), "CPU-H RUN") != c.columns || c.cells == "?" && strings.Count(out.String(), "?") != 3 ||
			!strings.Contains(squeezed(out.String()), squeezed(c.cells)) {
			t.Errorf("%s: %s", c.name, out.String())
		}
		text, err := rowJSON(c.row)
		if got := strings.ReplaceAll(string(text), " ", ""); err != nil || !strings.Contains(got, c.json) || strings.Contains(got, c.other) {
			t.Errorf("%s: %s %v", c.name, got, err)
		}
	}
}

// squeezed returns a text with one space between its words.
func squeezed(text string) string { return strings.Join(strings.Fields(text), " ") }
