package simtest

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/scheduler"
	"github.com/marlwood/marlwood/internal/settings"
	"github.com/marlwood/marlwood/internal/store"
)

// Plan is a schedule of user requests and faults. Its seed determines delays and other random choices, so that a
// run of it can be repeated exactly.
type Plan struct {
	Seed      uint64
	Machines  int           // maximum number at the same time of each kind, ordinary and spot
	Report    time.Duration // interval between a worker's heartbeats; 0: one second
	Lease     time.Duration // of workers
	Cancel    time.Duration // time within which a cancelled job's tasks are gone; determines how long a leader may act
	Jobs      []Submission
	Faults    []Fault
	Drains    []Draining
	Requests  []OperatorRequest
	Workers   []WorkerFaults
	Accounts  bool // whether the teams' usage is stored
	Guarantee bool // whether one team has a guarantee
	Limits    bool // whether every team has a limit of two concurrent tasks

	// The next three belong to scripted schedules; nil: not used. fates decides the outcome of a transaction, calls
	// returns the extra delay of a direct call, and script triggers actions at moments that depend on the run.
	fates  func(c storeClient, t store.Txn) fate
	calls  func(m *worker, o model.DirectCommands) time.Duration
	script func(w *cluster)
	shared map[string]model.Team // teams shared by several regions; nil: there is one region
	idle   time.Duration         // idle time after which a machine is returned; 0: 4 s
	// operator holds the operators' settings; nil: those of all schedules.
	operator *settings.Operator
}

// Submission is a user's job.
type Submission struct {
	At       time.Duration
	Shape    model.Shape
	Tasks    int
	Team     int
	OneZone  bool
	Zone     string // the only allowed zone, or ""
	Spread   bool   // at most half of the tasks, rounded up, may be in one zone
	Spot     bool
	Takes    time.Duration
	Cancel   time.Duration  // after its submission; 0: never
	Beside   bool           // whether the cancellation is sent to a controller that the state service does not refuse
	Needs    []int          // numbers of earlier jobs
	Priority model.Priority // "": normal
	Every    time.Duration  // progress between periodic checkpoints; 0: the job never saves
	Cost     time.Duration  // time that saving takes when the task is stopped

	size model.Size // of a task; zero: two CPUs and 4 GB
}

// Fault is a fault that lasts for a time.
type Fault struct {
	Kind string
	At   time.Duration
	For  time.Duration
	A, B int  // indexes of controllers or machines; a machine index wraps around, a controller index above 2 is the leader
	Hold bool // whether a cut delays packets until it ends; otherwise it drops them
}

// kinds are the fault kinds. Network faults are cuts between endpoints. Kinds that change leaders and owners are
// listed several times and are therefore drawn more often.
var kinds = []string{"cut node", "cut node", "refuse", "refuse", "store refuses node", "cut node", "cut node from nodes", "cut node from store", "cut node from workers", "cut into node", "cut out of node",
	"cut nodes", "cut zone", "cut machine", "refuse", "store refuses node", "outage", "crash", "crash all", "freeze", "hang machine",
	"stop machine", "old records", "limits fall", "delays", "delays"}

// later are fault kinds that are drawn in addition to the others, with start times of their own: machines that
// receive nothing, duplicate heartbeats that arrive late, a controller that reaches only the workers, and
// processes and machines that restart at once.
var later = []string{"deafen machine", "deafen machine", "deafen zone", "late copies", "late copies", "alone with workers", "alone with workers",
	"crash back", "crash back", "crash all back", "machine back", "machine back", "machine back"}

// meetsNode and meetsMachine are the fault kinds that are made to overlap: those of a controller, and those of a
// machine together with the crash of a controller.
var (
	meetsNode = []string{"store refuses node", "store refuses node", "outage", "outage", "late writes", "late writes", "slow store", "alone with workers",
		"cut node from store", "cut node from nodes", "cut node from workers", "cut into node", "freeze", "crash", "crash back", "crash all back", "late copies", "refuse"}
	meetsMachine = []string{"deafen machine", "hang machine", "cut machine", "machine back", "late copies", "deafen zone", "cut zone",
		"crash", "crash back", "crash all back", "store refuses node", "freeze", "late writes"}
)

// leaderChangeKinds are the fault kinds that cause a change of leader.
var leaderChangeKinds = []string{"cut node", "cut node", "cut node from store", "store refuses node", "freeze", "crash", "cut zone"}

// leaseTimes are pairs of a worker lease and the time limit of a cancellation. A leader acts for 9, 9 and 18 s after
// its last read of the leader key, which covers values below and above the lease.
var leaseTimes = []struct{ lease, cancel time.Duration }{
	{10 * time.Second, 24 * time.Second}, {10 * time.Second, 24 * time.Second}, {6 * time.Second, 20 * time.Second}, {7 * time.Second, 30 * time.Second}}

// troubles is the time by which all faults have ended. After that every accepted job must end within patience plus
// twice the summed duration of all jobs. patience covers two times a takeover that waits for unseen machines and
// machines that boot.
const (
	troubles = 60 * time.Second
	patience = 60 * time.Second
)

// bound returns the time by which all jobs must have ended.
func (p Plan) bound() time.Duration {
	out := p.calmFrom() + patience
	for _, j := range p.Jobs {
		out += 2 * j.Takes
	}
	return out + p.checkpointTimes()
}

// Plans draws schedules. Each has faults of only a few kinds, in quick succession: a failure that needs several
// faults of the same kind in a row is found sooner than if each fault were drawn from all kinds.
var Plans = rapid.Custom(func(t *rapid.T) Plan {
	p := Plan{Seed: rapid.Uint64().Draw(t, "seed"), Machines: rapid.IntRange(1, 3).Draw(t, "machines")}
	x := rapid.SampledFrom(leaseTimes).Draw(t, "times")
	p.Lease, p.Cancel = x.lease, x.cancel
	for i := range rapid.IntRange(1, 6).Draw(t, "jobs") {
		p.Jobs = append(p.Jobs, drawJob(t, i))
	}
	at := seconds(t, "first", 6, 13)
	some := leaderChangeKinds
	if rapid.IntRange(0, 2).Draw(t, "apart") == 2 { // leaders change while controllers cannot connect to each other
		p.Faults = append(p.Faults, Fault{Kind: "refuse", At: at, For: seconds(t, "for", 15, 40)})
		at += seconds(t, "gap", 0, 8)
	} else {
		some = rapid.SliceOfN(rapid.SampledFrom(kinds), 1, 4).Draw(t, "kinds")
	}
	for range rapid.IntRange(1, 8).Draw(t, "faults") {
		most := 22
		if rapid.IntRange(0, 3).Draw(t, "long") == 3 {
			most = 40
		}
		p.Faults = append(p.Faults, Fault{
			Kind: rapid.SampledFrom(some).Draw(t, "kind"),
			At:   at, For: min(seconds(t, "for", 1, most), troubles-at),
			A: rapid.IntRange(0, 7).Draw(t, "a"), B: rapid.IntRange(0, 7).Draw(t, "b"), Hold: rapid.Bool().Draw(t, "hold")})
		at = min(at+seconds(t, "gap", 0, 7), troubles-25*time.Second)
	}
	if rapid.IntRange(0, 2).Draw(t, "drained") == 2 { // drawn after the rest, so that the rest does not depend on it
		p.Drains = rapid.SliceOfN(rapid.Custom(drawDraining), 1, 2).Draw(t, "drains")
	}
	if rapid.IntRange(0, 1).Draw(t, "later") == 1 { // drawn after that
		p.Faults = append(p.Faults, drawLater(t)...)
	}
	p.Accounts = rapid.IntRange(0, 2).Draw(t, "accounts") == 2
	return p
})

// drawLater draws faults of one to three of the kinds in later.
func drawLater(t *rapid.T) (out []Fault) {
	some := rapid.SliceOfN(rapid.SampledFrom(later), 1, 3).Draw(t, "later kinds")
	at := seconds(t, "later first", 4, 15)
	for range rapid.IntRange(1, 6).Draw(t, "later faults") {
		out = append(out, Fault{Kind: rapid.SampledFrom(some).Draw(t, "later kind"), At: at,
			For: min(seconds(t, "later for", 1, 40), troubles-at), A: rapid.IntRange(0, 7).Draw(t, "later a"), Hold: rapid.Bool().Draw(t, "later hold")})
		at = min(at+seconds(t, "later gap", 0, 9), troubles-15*time.Second)
	}
	if rapid.IntRange(0, 3).Draw(t, "for good") == 3 {
		out = append(out, Fault{Kind: "deaf for good", At: seconds(t, "good at", 4, 40), A: rapid.IntRange(0, 7).Draw(t, "good a"),
			Hold: rapid.Bool().Draw(t, "good hold")})
	}
	return out
}

// OverlappingFaults draws schedules in which two or three faults of the same controller or machine overlap: each
// begins near the start or the end of an earlier one. A job may be cancelled around the same time.
var OverlappingFaults = rapid.Custom(func(t *rapid.T) Plan {
	p := Plans.Draw(t, "plan")
	for range rapid.IntRange(1, 2).Draw(t, "meetings") {
		p.meet(t)
	}
	return p
})

// meet adds one group of overlapping faults to a schedule.
func (p *Plan) meet(t *rapid.T) {
	some, whom := meetsNode, rapid.SampledFrom([]int{7, 7, 7, 0, 1, 2}).Draw(t, "met")
	if rapid.IntRange(0, 2).Draw(t, "of a machine") == 2 {
		some = meetsMachine
	}
	edges := []time.Duration{seconds(t, "met at", 6, 30)}
	for range rapid.IntRange(2, 3).Draw(t, "troubles") {
		at := max(0, rapid.SampledFrom(edges).Draw(t, "edge")+seconds(t, "off", -2, 2))
		f := Fault{Kind: rapid.SampledFrom(some).Draw(t, "meets"), At: at, A: whom, Hold: rapid.Bool().Draw(t, "meets hold")}
		f.For = max(time.Second, min(seconds(t, "meets for", 1, 30), troubles-at))
		edges = append(edges, at, at+f.For)
		p.Faults = append(p.Faults, f)
	}
	if i := rapid.IntRange(0, len(p.Jobs)-1).Draw(t, "cancelled then"); rapid.Bool().Draw(t, "cancels") {
		j := &p.Jobs[i]
		j.Cancel = max(time.Second, rapid.SampledFrom(edges).Draw(t, "cancelled at")+seconds(t, "cancelled off", -2, 3)-j.At)
		j.Takes = max(j.Takes, j.Cancel)
	}
}

// ofNode reports whether a fault affects a single controller.
func (f Fault) ofNode() bool {
	return strings.HasPrefix(f.Kind, "cut node ") || slices.Contains([]string{"cut node", "cut into node", "cut out of node", "crash", "crash back", "freeze",
		"store refuses node", "alone with workers"}, f.Kind)
}

// restartDelay returns the downtime of a process or machine that restarts at once: 50 to 900 ms.
func (f Fault) restartDelay() time.Duration {
	return 50*time.Millisecond + f.For%(850*time.Millisecond)
}

// ended returns the time at which the last fault is over, including the pause before a process restarts.
func (p Plan) ended() (out time.Duration) {
	for _, f := range p.Faults {
		out = max(out, f.At+f.For)
	}
	return out + 500*time.Millisecond
}

// calmFrom returns the time after which no fault is active. In scripted schedules it may be later than troubles.
func (p Plan) calmFrom() time.Duration { return max(troubles, p.ended()) }

// report returns the interval between a worker's heartbeats.
func (p Plan) report() time.Duration {
	if p.Report == 0 {
		return reportEvery
	}
	return p.Report
}

// calm reports whether a schedule has at most two faults, which only crash controllers or cut them off from each
// other, for less time than the tasks of a gang wait for each other. No task may give up waiting then.
func (p Plan) calm() bool {
	for _, f := range p.Faults {
		if f.Kind != "crash back" && f.Kind != "crash" && f.Kind != "cut node from nodes" || f.For > 2*time.Second {
			return false
		}
	}
	return len(p.Faults) <= 2 && len(p.Workers) == 0
}

// answerWithin is the time after the last fault within which a request about each job must have been answered.
const answerWithin = 75 * time.Second

func seconds(t *rapid.T, label string, least, most int) time.Duration {
	return time.Duration(rapid.IntRange(least*10, most*10).Draw(t, label)) * 100 * time.Millisecond
}

func drawJob(t *rapid.T, i int) Submission {
	s := Submission{At: seconds(t, "at", 0, 10), Shape: rapid.SampledFrom([]model.Shape{model.Array, model.Array, model.Gang, model.Service}).Draw(t, "shape"),
		Tasks: rapid.IntRange(1, 3).Draw(t, "tasks"), Takes: seconds(t, "takes", 3, 40), Spot: rapid.Bool().Draw(t, "spot"), Zone: rapid.SampledFrom([]string{"", "", "", "a", "b", "c"}).Draw(t, "zone")}
	s.OneZone = s.Shape == model.Gang && rapid.Bool().Draw(t, "together")
	if s.OneZone || s.Zone != "" {
		s.Tasks = min(s.Tasks, 2) // there may be only one machine
	}
	if s.Tasks < 3 && rapid.Bool().Draw(t, "tight") {
		s.Team = 1
	}
	if s.Shape == model.Service || rapid.IntRange(0, 4).Draw(t, "cancelled") == 4 {
		s.Cancel = seconds(t, "cancel", 1, 20)
	}
	if i > 0 && rapid.IntRange(0, 2).Draw(t, "needs") == 2 {
		s.Needs = rapid.SliceOfNDistinct(rapid.IntRange(0, i-1), 1, 2, rapid.ID).Draw(t, "need")
	}
	return s
}

// Outcome is the result of a schedule.
type Outcome struct {
	Broken string // the rule that was broken, or ""
	Events uint64
	Starts int // number of tasks that began to be on a machine
	// StopTime is the longest time from the confirmation of a cancellation to a user until the last of the job's
	// tasks was gone. Cancelled is the number of confirmed cancellations. Again is the time from the end of the
	// last fault until a task first began to run; 0 if none did.
	StopTime, Again time.Duration
	Cancelled       int
	// Checkpoints is the number of tasks that began to save. Caught is the number of tasks that were saving when the
	// cancellation of their job was confirmed to a user. CaughtStopTime is the longest time from then until one of
	// these tasks was gone.
	Checkpoints, Caught int
	CaughtStopTime      time.Duration
	LeaseKilled         int           // number of tasks of jobs that nobody cancelled which ended with the lease of their machine
	Missed              int           // faults that found no target
	Met                 [MetKinds]int // number of observed events of each kind
	Trace               uint64
}

// Run plays a schedule. If story is not nil, the events and the controllers' log lines at level or above are
// written to it.
func Run(p Plan, story *strings.Builder, level slog.Level) Outcome { return run(p, story, level, nil) }

// Record plays a schedule and records the decisions that each controller takes as leader. tap is called once for
// every process.
func Record(p Plan, tap func() scheduler.Recorder) Outcome { return run(p, nil, 0, tap) }

func run(p Plan, story *strings.Builder, level slog.Level, tap func() scheduler.Recorder) Outcome {
	w, err := newCluster(p, story, level, tap)
	if err != nil {
		panic("explore: " + err.Error())
	}
	for i, s := range p.Jobs {
		w.sim.At(s.At, func() { w.submit(i, s) })
	}
	for _, f := range p.Faults {
		w.sim.At(f.At, func() { w.fault(f) })
	}
	for _, d := range p.Drains {
		w.sim.At(d.At, func() { w.drain(d) })
	}
	w.scheduleRequests(p.Requests)
	w.sim.At(p.bound(), func() {
		for _, j := range w.all {
			if !j.accepted || (!j.told.Final() && j.spec.Shape != model.Service) {
				w.sim.breaks("not_served", "%s: accepted %v, told %q, finished %v", j.id, j.accepted, j.told, j.finished)
			}
		}
	})
	if p.script != nil {
		p.script(w)
	}
	w.sim.At(p.ended()+answerWithin, func() { w.checkKnown(p.ended()) })
	w.watchIdleCapacity(p.ended())
	defer w.end()
	out := Outcome{Trace: 14695981039346656037}
	for w.sim.Pending() > 0 && w.sim.broken == "" && w.sim.Now() <= p.playedUntil() && !w.served() {
		w.sim.Step()
		out.Events++
		out.Trace = (out.Trace ^ uint64(w.sim.Now())) * 1099511628211
	}
	if p.Accounts && w.sim.broken == "" {
		w.checkUsageCounted()
	}
	out.Broken, out.Starts = w.sim.broken, w.starts
	out.StopTime, out.Cancelled, out.Again, out.Missed, out.Met = w.stopTime, w.confirmedCancellations, w.firstStartAfterFaults, w.missed, w.met
	out.LeaseKilled = w.leaseKilled
	out.Checkpoints, out.Caught, out.CaughtStopTime = w.checkpoints, w.caught, w.caughtStopTime
	return out
}

// served reports whether all faults have ended, every user has received the final stage of their jobs, and no
// task is on a machine.
func (w *cluster) served() bool {
	if w.sim.Now() < w.plan.calmFrom() {
		return false
	}
	for _, j := range w.all {
		if !j.told.Final() || len(j.on) > 0 {
			return false
		}
	}
	return len(w.all) == len(w.plan.Jobs)
}

// end stops the processes and releases their resources.
func (w *cluster) end() {
	w.endProcesses()
	w.sim.End()
}

func (w *cluster) endProcesses() {
	for _, n := range w.nodes {
		if n.process != nil && !n.process.Dead() {
			n.cancel()
			n.process.Kill()
		}
	}
	w.users.Kill()
}
