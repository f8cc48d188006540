package simtest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// The combinations of faults of the users' second page are scripted here, see docs/meetings.md. Each row lists the
// events that must have occurred in each run, or, where they depend on chance, in at least one of its seeds.
func TestFurtherMeetings(t *testing.T) {
	f, held := newFault, newHeldFault
	near := [4]time.Duration{40 * sec, 42 * sec, 45 * sec, 52 * sec}
	type row struct {
		name   string
		faults []Fault
		with   func(p *Plan) // further changes to the schedule
		met    []Met         // must occur in each run
		some   []Met         // must occur in at least one of its runs
	}
	// short adds thirty short jobs, one per second from the given time on.
	short := func(from time.Duration) func(p *Plan) {
		return func(p *Plan) {
			p.Machines = 3
			for i := range 30 {
				p.Jobs = append(p.Jobs, Submission{At: from + time.Duration(i)*sec, Shape: []model.Shape{model.Array, model.Gang}[i%2],
					Tasks: 1 + i%3, Team: []int{0, 1, 0}[i%3] * (1 - i%2), Takes: time.Duration(2+i%5) * sec, Cancel: time.Duration([]int{0, 0, 0, 3}[i%4]) * sec})
			}
		}
	}
	// limited brings every team to its limit: long jobs use it up, and two jobs of each team wait.
	limited := func(p *Plan) {
		p.Limits = true
		p.Jobs = []Submission{
			{At: 2 * sec, Shape: model.Array, Tasks: 2, Takes: 400 * sec, Cancel: 38 * sec, Beside: true},
			{At: 2 * sec, Shape: model.Gang, Tasks: 2, Team: 1, Takes: 400 * sec, Cancel: 38200 * time.Millisecond, Beside: true}}
		for i := range 6 {
			p.Jobs = append(p.Jobs, Submission{At: 6 * sec, Shape: model.Array, Tasks: 2, Team: i % 2, Takes: 6 * sec})
		}
		p.Jobs = append(p.Jobs, Submission{At: 7 * sec, Shape: model.Array, Tasks: 2, Takes: 400 * sec, Cancel: 90 * sec, Beside: true},
			Submission{At: 7 * sec, Shape: model.Service, Tasks: 1, Team: 1, Takes: 400 * sec, Cancel: 91 * sec, Beside: true})
	}
	// later adds jobs that start on machines whose earlier heartbeats did not contain them.
	later := func(p *Plan) {
		p.Jobs = []Submission{
			{At: 2 * sec, Shape: model.Array, Tasks: 3, Takes: 300 * sec, Cancel: 110 * sec}, {At: 2 * sec, Shape: model.Array, Tasks: 3, Spot: true, Takes: 300 * sec, Cancel: 111 * sec},
			{At: 28 * sec, Shape: model.Array, Tasks: 3, Takes: 50 * sec}, {At: 28500 * time.Millisecond, Shape: model.Array, Tasks: 3, Spot: true, Takes: 50 * sec},
			{At: 29 * sec, Shape: model.Gang, Tasks: 2, Takes: 40 * sec}}
	}
	// bound adds jobs that are restricted to one zone.
	bound := func(p *Plan) {
		for i, shape := range []model.Shape{model.Array, model.Gang, model.Array, model.Service} {
			p.Jobs = append(p.Jobs, Submission{At: 3 * sec, Shape: shape, Tasks: 2, Zone: zones[i%2], OneZone: shape == model.Gang, Takes: 50 * sec, Cancel: []time.Duration{0, 0, 60 * sec, 80 * sec}[i]})
		}
	}
	rows := []row{
		{"asked at all nodes at once, a leader ends", []Fault{f("close looks", 1, 90, 0), f("cancel at end", 1, 90, 0), f("odd requests", 5, 80, 0), f("crash", 41, 4, 7)}, short(12 * sec), []Met{MetCloseLook, MetBadRequest, MetLeader}, []Met{MetAtEnd}},
		{"asked at all nodes at once, a slow state service", []Fault{f("close looks", 1, 90, 0), f("cancel at end", 1, 90, 0), f("slow store", 20, 50, 0)}, short(12 * sec), []Met{MetCloseLook}, nil},
		{"asked at all nodes at once, refused alone", []Fault{f("close looks", 1, 90, 0), f("odd requests", 5, 80, 0), f("store refuses node", 40, 14, 0), f("store refuses node", 58, 14, 1), f("alone with workers", 74, 14, 2)}, short(30 * sec), []Met{MetCloseLook, MetBadRequest}, nil},
		{"at the end of the last task, no other trouble", []Fault{f("close looks", 1, 100, 0), f("cancel at end", 1, 100, 0)}, short(5 * sec), []Met{MetCloseLook, MetAtEnd}, []Met{MetAtEndDone}},
		{"at the end of the last task, answers lost", []Fault{f("cancel at end", 1, 100, 0), f("lost answers", 10, 60, 0)}, short(12 * sec), []Met{MetAtEnd, MetUnansweredWrite}, []Met{MetAtEndDone}},
		{"only the answer is lost, others read", []Fault{f("close looks", 1, 90, 0), f("lost answers", 10, 70, 0)}, short(20 * sec), []Met{MetUnansweredWrite, MetCloseLook}, nil},
		{"only the answer is lost, leaders end", []Fault{f("close looks", 1, 90, 0), f("lost answers", 10, 70, 0), f("crash", 41, 4, 7), f("crash back", 56, 1, 7)}, short(30 * sec), []Met{MetUnansweredWrite, MetLeader}, nil},
		{"the answer lost and writes late, over and back", []Fault{f("lost answers", 38, 30, 0), f("late writes", 44, 30, 0), f("crash all back", 46, 1, 0), f("crash back", 58, 1, 7)}, short(34 * sec), []Met{MetUnansweredWrite, MetLeader}, []Met{MetLateWrite}},
		{"a zone with a controller is cut off for longer than a lease", []Fault{f("cut zone", 39, 40, 0)}, nil, []Met{MetZoneCut}, []Met{MetOutOfReach, MetLeader}},
		{"two zones, one after the other, packets held", []Fault{held("cut zone", 39, 40, 1), held("cut zone", 75, 34, 2)}, bound, []Met{MetZoneCut}, []Met{MetOutOfReach}},
		{"all controllers are away for longer than a lease", []Fault{f("crash all", 42.5, 120, 0)}, nil, []Met{MetAllAway, MetLeader}, nil},
		{"all away, in an outage, one back at once", []Fault{f("outage", 41, 50, 0), f("crash all", 43, 120, 0), f("crash back", 90, 1, 1)}, nil, []Met{MetAllAway}, nil},
		{"jobs of one zone lose machines, the leader ends", []Fault{f("stop machine", 38, 1, 0), f("stop machine", 39, 1, 1), f("crash", 40, 4, 7), f("stop machine", 41, 1, 0), f("cut zone", 44, 30, 0), f("stop machine", 46, 1, 2)}, bound, nil, []Met{MetZoneLoses}},
		{"every team at its limit, cancelled on machines cut off, the leader ends", []Fault{held("cut machine", 39.8, 35, 0), held("cut machine", 39.8, 35, 1), held("cut machine", 39.8, 35, 2), held("cut machine", 39.8, 35, 3), f("crash", 40.4, 4, 7)}, limited, []Met{MetAtLimit, MetLeader}, nil},
		{"every team at its limit, cancelled on machines that hang, the leader ends", []Fault{held("cancel now", 39, 15, 0), f("crash", 39.4, 4, 7), held("cancel now", 75, 40, 0), f("crash back", 76, 1, 7)}, limited, []Met{MetAtLimit, MetLeader}, nil},
		{"every team at its limit, a zone hears nothing, refused alone", []Fault{f("deafen zone", 39, 40, 0), f("deafen zone", 39, 40, 1), f("deafen zone", 39, 40, 2), f("store refuses node", 40.5, 14, 7)}, limited, []Met{MetAtLimit}, nil},
		{"cancelled at once on machines that hang and go on within the lease", []Fault{held("cancel now", 40, 12, 0), held("cancel now", 41, 18, 0), f("crash back", 44, 1, 7)}, nil, []Met{MetOutOfReach, MetLeader}, nil},
		{"cancelled at once on machines that hang, the state service out", []Fault{held("cancel now", 40, 20, 0), f("store refuses node", 40.5, 14, 7), f("outage", 42, 60, 0)}, nil, []Met{MetOutOfReach}, nil},
		{"cancelled while workers can't reach an owner", []Fault{f("cut node from workers", 37, 40, 0), f("cut node from workers", 43, 40, 1)}, nil, nil, []Met{MetToken}},
		{"cancelled while one controller is away and back", []Fault{f("crash", 36, 30, 1), f("crash", 41, 20, 2), f("crash back", 47, 1, 0)}, nil, nil, []Met{MetToken}},
		{"cancelled while controllers refuse each other", []Fault{f("refuse", 37, 20, 0), f("cut node from workers", 44, 20, 2)}, nil, nil, []Met{MetToken}},
		{"machines at once, writes lag, the leader ends at once", []Fault{f("late writes", 38, 30, 0), f("crash", 40.6, 4, 7)}, short(40 * sec), []Met{MetLeader}, []Met{MetNewMachine, MetLateWrite}},
		{"machines at once, writes lag, the leader ends a little later", []Fault{f("late writes", 38, 30, 0), f("crash back", 42, 1, 7), f("crash back", 48, 1, 7)}, short(40 * sec), []Met{MetLeader}, []Met{MetNewMachine, MetLateWrite}},
		{"machines at once, answers lost, the leader ends twice", []Fault{f("lost answers", 38, 40, 0), f("crash", 41.5, 4, 7), f("crash back", 47, 1, 7)}, short(40 * sec), []Met{MetLeader, MetUnansweredWrite}, []Met{MetNewMachine}},
		{"old reports at every controller as a leader begins", []Fault{f("copies for the next", 20, 20, 0), f("crash", 41, 4, 7), f("copies for the next", 48, 20, 0), f("crash back", 58, 1, 7)}, nil, []Met{MetOldReport, MetLeader}, nil},
		{"old reports of an earlier life, session and leader", []Fault{f("copies for the next", 10, 60, 0), f("machine back", 38, 0.5, 0), f("cut machine", 38, 30, 1), f("machine back", 39, 0.2, 2), f("store refuses node", 40, 14, 7), f("machine back", 55, 0.2, 0), f("crash", 66, 4, 7)}, nil, []Met{MetOldReport, MetLeader}, nil},
		{"old reports that lack what began since, as a leader begins", []Fault{f("copies for the next", 6, 21, 0), f("crash", 41, 4, 7)}, later, []Met{MetOldReport, MetLeader}, nil},
		{"old reports that lack what began since, the leader is refused", []Fault{f("copies for the next", 6, 21, 0), f("store refuses node", 41, 14, 7)}, later, []Met{MetOldReport, MetLeader}, nil},
		{"old reports of machines that are cut off come to their next owner first", []Fault{f("copies for the next", 6, 21, 0), f("cut machine", 40, 14, 0), f("cut machine", 40, 14, 1), f("cut machine", 40, 14, 2), f("cut machine", 40, 14, 3), f("crash", 40.5, 40, 0), f("crash", 40.8, 4, 1), f("crash back", 41.5, 1, 2)}, later, []Met{MetOldReport, MetLeader}, nil},
		{"machines reach no controller, and are called", []Fault{f("mute machine", 38, 70, 0), f("mute machine", 38, 16, 1), f("mute machine", 39, 40, 2)}, nil, []Met{MetMuteTask, MetCallToMute}, nil},
		{"a zone reaches no controller, the leader ends", []Fault{f("mute zone", 38, 60, 0), f("mute zone", 39, 14, 1), f("crash", 41, 4, 7)}, nil, []Met{MetMuteTask, MetLeader}, nil},
		{"all machines reach no controller for a while", []Fault{f("mute zone", 39, 40, 0), f("mute zone", 39, 40, 1), f("mute zone", 39, 40, 2), f("store refuses node", 44, 14, 7)}, nil, []Met{MetMuteTask, MetOutOfReach}, nil},
		{"more work than room over slow links", []Fault{f("delays", 8, 80, 0), f("crash", 50, 4, 7)}, func(p *Plan) { short(5 * sec)(p); p.Machines = 1 }, []Met{MetLeader}, nil},
	}
	for _, inOutage := range []bool{false, true} {
		r := row{name: fmt.Sprintf("ten leaders in two minutes, some in an outage %v", inOutage), with: short(35 * sec)}
		for i := range 12 {
			r.faults = append(r.faults, f("crash back", 20+float64(i)*9.5, 0.5+float64(i)/20, 7))
		}
		if inOutage {
			r.faults = append(r.faults, f("outage", 50, 26, 0))
		}
		rows = append(rows, r)
	}
	for _, c := range rows {
		least := 2
		var total [MetKinds]int
		plays := 0
		gone, again := runInDeployments(t, c.name, 4, least, func(d int, seed uint64) Plan {
			p := longRunningPlan(d, seed, 50*sec, near, c.faults...)
			if c.with != nil {
				c.with(&p)
			}
			return p
		}, func(where string, out Outcome) {
			plays++
			for _, m := range c.met {
				if out.Met[m] == 0 {
					t.Errorf("%s: %v did not come about: it shows nothing", where, m)
				}
			}
			if strings.HasPrefix(c.name, "ten leaders") && out.Met[MetLeader] < 10 {
				t.Errorf("%s: %d leaders only", where, out.Met[MetLeader])
			}
			for m, n := range out.Met {
				total[m] += n
			}
		})
		for _, m := range c.some {
			if total[m] == 0 && plays > 0 {
				t.Errorf("%s: %v came about in none of %d plays: it shows nothing", c.name, m, plays)
			}
		}
		t.Logf("%-70s gone after %6.2f s, again after %6.2f s, met %v", c.name, gone.Seconds(), again.Seconds(), total)
	}
}
