package main

import (
	"strings"
	"testing"

	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

// Unknown usage of a team is shown as unknown, never as zero: the table has question marks and the JSON omits the
// figures. Tables with known usage, or with none, keep their columns.
func TestTeamRowsShowUnknownUsage(t *testing.T) {
	used := &operatorspb.Team{Name: "grafo", RunCpuH: 1.5}
	unknown := &operatorspb.Team{Name: "grafo", UsageUnknown: true}
	unused := &operatorspb.Team{Name: "grafo"}
	for _, c := range []struct {
		name        string
		row         *operatorspb.Team
		cells       string // after the columns that are always present
		columns     bool   // whether the table has columns of usage
		json, other string // text that the JSON contains, and text that it must not contain
	}{
		{"known usage", used, "1.50  0.00    0.00", true, `"run_cpu_h":1.5`, `"usage_unknown":true`},
		{"unknown usage", unknown, "?", true, `"usage_unknown":true`, `cpu_h`},
		{"no usage recorded", unused, "", false, `"run_cpu_h":0`, `"usage_unknown":true`},
	} {
		var out strings.Builder
		if err := writeTeams(&out, []*operatorspb.Team{c.row}); err != nil {
			t.Fatal(err)
		}
		if strings.Contains(out.String(), "CPU-H RUN") != c.columns || c.cells == "?" && strings.Count(out.String(), "?") != 3 ||
			!strings.Contains(squeezed(out.String()), squeezed(c.cells)) {
			t.Errorf("%s: unexpected table: %s", c.name, out.String())
		}
		text, err := rowJSON(c.row)
		if got := strings.ReplaceAll(string(text), " ", ""); err != nil || !strings.Contains(got, c.json) || strings.Contains(got, c.other) {
			t.Errorf("%s: unexpected JSON: %s, err %v", c.name, got, err)
		}
	}
}

// squeezed returns a text with a single space between words.
func squeezed(text string) string { return strings.Join(strings.Fields(text), " ") }
