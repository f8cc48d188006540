package workers

import (
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
)

// occupancy is what the machine's tasks take, the starts on their way included. known
// is false while some job's size has not been told.
func (d *Desk) occupancy(m *machine) (used model.Size, known bool) {
	if m.counted {
		return m.used, m.known
	}
	m.used, m.known, m.counted = model.Size{}, true, true
	for _, t := range m.tasks {
		if t.State == string(model.TaskExited) {
			continue
		}
		size, ok := d.sizes[t.Job]
		if !ok {
			m.known = false
			return m.used, false
		}
		m.used = m.used.Add(size)
	}
	for _, o := range m.pending {
		if o.start() {
			m.used = m.used.Add(d.sizes[o.job])
		}
	}
	return m.used, true
}

// vacancy is a machine that may be drawn, and its room.
type vacancy struct {
	name string
	spot bool
	room model.Size
}

// vacancies lists the machines that may be drawn, by kind and in the order of their
// names. It is worked out once for all that one message asks for.
func (d *Desk) vacancies() map[model.Kind][]vacancy {
	out := map[model.Kind][]vacancy{}
	for _, m := range d.machines.All() {
		if m.phase != Current || m.cordon || m.notice >= 0 || m.quiet || m.restarted || m.reach.deaf || d.owners[m.kind] != d.opt.Member {
			continue
		}
		if used, known := d.occupancy(m); known {
			out[m.kind] = append(out[m.kind], vacancy{m.name, m.spot, d.types[m.kind.Type].Size.Sub(used)})
		}
	}
	return out
}

// sample draws machines with room, w.Draws of each kind that this desk owns,
// with replacement as in the paper; a scan names every machine with room. Spot
// machines are drawn apart, for they differ from the others of their kind.
func (d *Desk) sample(w *peerspb.Want, vacant map[model.Kind][]vacancy) []*peerspb.Sample {
	size := sizeOf(w.Size)
	var out []*peerspb.Sample
	for _, k := range w.Kinds {
		kind := model.Kind{Type: k.Type, Zone: k.Zone}
		if d.owners[kind] != d.opt.Member {
			continue
		}
		room := map[bool][]string{} // by whether it is a spot machine
		for _, v := range vacant[kind] {
			if (w.Spot || !v.spot) && size.Fits(v.room) {
				room[v.spot] = append(room[v.spot], v.name)
			}
		}
		for _, spot := range []bool{false, true} {
			names := room[spot]
			if len(names) == 0 {
				continue
			}
			s := &peerspb.Sample{Want: w.Id, Kind: k}
			if w.Scan {
				s.Machines = names
			} else {
				for range w.Draws {
					s.Machines = append(s.Machines, names[d.draw.IntN(len(names))])
				}
			}
			out = append(out, s)
		}
	}
	return out
}

func sizeOf(s *peerspb.Size) model.Size {
	return model.Size{CPUs: s.GetCpus(), GPUs: s.GetGpus(), MemoryGB: s.GetMemoryGb()}
}
