package controller

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/marlwood/marlwood/internal/leadership"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
	"github.com/marlwood/marlwood/internal/virtual"
)

// A save of parts alone whose answer is lost, carried out at once or at any later step, never
// takes away marks that a later save of the same leader has stored.
func TestLatePartIsVoid(t *testing.T) {
	const job, record = "req-000412", placement.JobPrefix + "req-000412"
	for _, c := range []struct {
		name  string
		there bool // the parts are there already
		late  int  // before which step the lost one is carried out: 0 at once, 1 after the look, 2 after the newer save, 3 after one more
		// which parts the later saves hold; the lost one holds t64 and t128
		newer [2][]string
	}{
		{"at once, the answer lost", true, 0, [2][]string{{"t64"}, {"t128"}}},
		{"at once, parts that weren't there", false, 0, [2][]string{{"t64", "t128"}, {"t64"}}},
		{"between the look and the newer save", true, 1, [2][]string{{"t64"}, {"t128"}}},
		{"between the look and the newer save, parts that weren't there", false, 1, [2][]string{{"t64"}, {"t128"}}},
		{"after a newer save of the same parts", true, 2, [2][]string{{"t64", "t128"}, {"t64"}}},
		{"after a newer save of one of them", true, 2, [2][]string{{"t128"}, {"t64"}}},
		{"after a newer save that made them", false, 2, [2][]string{{"t64"}, {"t128"}}},
		{"after two", true, 3, [2][]string{{"t64"}, {"t128"}}},
		{"after two that made them", false, 3, [2][]string{{"t64"}, {"t128"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := virtual.NewStore(virtual.New(1), 16)
			must := func(txn store.Txn) uint64 {
				out, err := v.Txn(txn)
				if err != nil || !out.OK() {
					t.Fatalf("%v: %v %v", txn, out, err)
				}
				return out.Revision
			}
			key := func(part string) string { return placement.PartPrefix + job + "/" + part }
			token := must(store.Txn{Writes: []store.Write{store.Put(leadership.Key, "n0")}})
			stamp := must(store.Txn{Writes: []store.Write{store.Put(record, "")}})
			if c.there {
				must(store.Txn{Writes: []store.Write{store.Put(key("t64"), "0"), store.Put(key("t128"), "0")}})
			}
			parts := partStamps{}
			items, _ := v.List(placement.PartPrefix)
			parts.load(items)
			save := func(text string, names ...string) (*placement.Save, store.Txn) {
				s := &placement.Save{ID: job, Stamp: stamp, Parts: map[string]string{}}
				for _, name := range names {
					s.Parts[name] = text
				}
				return s, saveTxn(store.Txn{Guards: []store.Guard{{Key: leadership.Key, Stamp: token}}}, s, parts)
			}
			look := func(s *placement.Save) {
				items, _ := v.List(key(""))
				parts.found(s, items)
			}
			lost, txn := save("1", "t64", "t128")
			late := func(step int) {
				if step == c.late {
					out, err := v.Txn(txn)
					if err != nil || out.OK() != (c.late < 2) {
						t.Errorf("the late one: %v %v", out, err)
					}
				}
			}
			late(0)
			look(lost)
			late(1)
			newest := map[string]string{}
			for i, names := range c.newer {
				text := []string{"2", "3"}[i]
				s, txn := save(text, names...)
				out, err := v.Txn(txn)
				if err == nil && !out.OK() { // the late one came between
					look(s)
					s, txn = save(text, names...)
					out, err = v.Txn(txn)
				}
				if err != nil || !out.OK() {
					t.Fatalf("save %s is not stored: %v %v", text, out, err)
				}
				parts.stored(s, out.Revision)
				for _, name := range names {
					newest[name] = text
				}
				late(2 + i)
			}
			for name, want := range newest {
				var got string
				it, err := v.Get(key(name))
				if err != nil || json.Unmarshal(it.Value, &got) != nil || got != want {
					t.Errorf("part %s holds %s, %v; stored was %s", name, it.Value, err, want)
				}
			}
		})
	}
}

// What is known of jobs that are over is forgotten.
func TestPartsOfOpenJobs(t *testing.T) {
	p := partStamps{}
	p.load([]store.Item{{Key: "part/a/b/t64", Stamp: 7}, {Key: "part/c/2", Stamp: 8}, {Key: "part/odd", Stamp: 9}})
	if p["a/b"]["t64"] != 7 || p["c"]["2"] != 8 || len(p) != 2 {
		t.Errorf("loaded %v", p)
	}
	p.keep(func(job string) bool { return job == "c" })
	s := &placement.Save{ID: "c", Stamp: 5, Parts: map[string]string{"2": "", "0": ""}}
	txn := saveTxn(store.Txn{}, s, p)
	want := []store.Guard{{Key: "job/c", Stamp: 5}, {Key: "part/c/0"}, {Key: "part/c/2", Stamp: 8}}
	if len(p) != 1 || !slices.Equal(txn.Guards, want) || len(txn.Writes) != 2 {
		t.Errorf("kept %v, guards %v", p, txn.Guards)
	}
}
