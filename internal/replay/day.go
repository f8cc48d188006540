package replay

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/autoscaler"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/record"
	"github.com/marlwood/marlwood/internal/record/recordpb"
	"github.com/marlwood/marlwood/internal/scheduler"
)

// Day is the history of jobs, tasks and machines as reconstructed from frames. Times are relative
// to Begin; -1 means that the event did not happen.
type Day struct {
	Begin    time.Time
	End      time.Duration
	Config   scheduler.Config // of the last state
	Types    map[string]model.MachineType
	Jobs     *model.Table[string, *JobSeen]
	Machines *model.Table[string, *MachineSeen]
	Tasks    []*TaskSeen // in the order in which they were started
	Rentals  []RentalSeen
	Terms    int

	tasks          map[attemptKey]*TaskSeen
	finishedJobs   map[string]bool             // jobs whose final record was written by a leader
	moved          map[string]bool             // waiting jobs that a leader released or cancelled
	launchRequests map[string]*recordpb.Rental // launch requests that were sent
	sent           map[string]time.Duration    // when each launch request was sent
	have           map[string]map[string]bool  // by machine: images that a task was seen to have fetched
}

// JobSeen is a job as observed in the frames.
type JobSeen struct {
	Spec       *model.Job
	Key        string // of its first record
	Record     json.RawMessage
	Submitted  time.Duration
	FirstStart time.Duration // of a task
	Started    time.Duration // when all tasks had run
	Done       time.Duration
	Cancelled  time.Duration // by its user
	ran        map[int]bool
	finished   int // finished tasks when the job was first seen
}

// MachineSeen is a machine as observed in the frames.
type MachineSeen struct {
	Name       string
	Pool       model.Pool
	Spot       bool
	Rented     time.Duration
	Up         time.Duration // first seen in a state or report
	EndedAt    time.Duration // returned, or when the controller considered its lease expired
	Unexpected bool          // not returned: preempted, or it died
	Notice     time.Duration // when a preemption notice was first reported
	Lead       time.Duration // time from the notice to the announced end
}

type attemptKey struct {
	job     string
	index   int
	attempt uint64
}

// TaskSeen is one attempt of a task.
type TaskSeen struct {
	Job      string
	Index    int
	Attempt  uint64
	Machine  string
	Ordered  time.Duration
	Fetching time.Duration // first reported as fetching
	Ready    time.Duration // first reported in a state after fetching
	Running  time.Duration
	Ended    time.Duration
	Cause    model.Cause
	Saved    bool
	Fetched  bool // it was the first task on the machine to use its image
}

// RentalSeen is the outcome of a launch request.
type RentalSeen struct {
	At        time.Duration
	Source    autoscaler.Market
	Requested int
	Got       int
	Held      int // machines of that market afterwards
}

func newDay() *Day {
	return &Day{Jobs: model.NewTable[string, *JobSeen](), Machines: model.NewTable[string, *MachineSeen](), tasks: map[attemptKey]*TaskSeen{},
		finishedJobs: map[string]bool{}, moved: map[string]bool{}, launchRequests: map[string]*recordpb.Rental{}, sent: map[string]time.Duration{},
		have: map[string]map[string]bool{}}
}

// ReadDay reads a recording.
func ReadDay(dir string) (*Day, *record.Contents, error) {
	d, o := newDay(), observer{}
	found, err := record.Read(dir, func(_ string, f *recordpb.Frame) error {
		return o.frame(d, f)
	})
	if err != nil {
		return nil, found, err
	}
	if d.Terms == 0 {
		return nil, found, fmt.Errorf("%s: %w: no state in it", dir, record.ErrFormat)
	}
	return d, found, nil
}

// observer adds the frames of one stream after another to a Day.
type observer struct {
	origin time.Time // start of the stream, to which its times are relative
}

// frame adds one frame to the day.
func (o *observer) frame(d *Day, f *recordpb.Frame) error {
	if s := f.GetState(); s != nil {
		return o.state(d, s)
	}
	e := f.GetEvent()
	if e == nil || o.origin.IsZero() {
		return nil
	}
	at := o.origin.Add(time.Duration(e.AtNs)).Sub(d.Begin)
	d.End = max(d.End, at)
	d.event(at, e)
	d.decided(at, f.Decided)
	return nil
}

func (o *observer) state(d *Day, s *recordpb.State) error {
	c, err := scheduler.Import(s, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	o.origin = time.Unix(0, s.OriginUnixNs)
	if d.Terms == 0 {
		d.Begin = o.origin.Add(time.Duration(s.AtNs))
	}
	d.Terms++
	d.Config, d.Types = c.Config(), c.Types()
	at := max(0, o.origin.Add(time.Duration(s.AtNs)).Sub(d.Begin))
	open, waiting := c.Records()
	for _, r := range open {
		d.job(placement.JobPrefix+r.Job.ID, r)
	}
	for _, r := range waiting {
		d.job(placement.WaitPrefix+r.Job.ID, r)
	}
	for name, m := range c.Machines().All() {
		d.machine(at, name, m.Pool, m.Spot)
	}
	return nil
}

// job adds a job from its record. Later records of the same job are ignored.
func (d *Day) job(key string, r placement.JobRecord) {
	if d.Jobs.At(r.Job.ID) != nil {
		return
	}
	j := &JobSeen{Spec: r.Job, Key: key, Submitted: time.UnixMilli(r.AcceptedMS).Sub(d.Begin), FirstStart: -1, Started: -1, Done: -1,
		Cancelled: -1, ran: map[int]bool{}, finished: r.Count}
	j.Record, _ = json.Marshal(r)
	if j.Submitted < 0 { // it was submitted before the recording began
		j.Submitted = 0
	}
	d.Jobs.Put(r.Job.ID, j)
}

func (d *Day) machine(at time.Duration, name string, pool model.Pool, spot bool) *MachineSeen {
	m := d.Machines.At(name)
	if m == nil {
		m = &MachineSeen{Name: name, Pool: pool, Spot: spot, Rented: -1, Up: -1, EndedAt: -1, Notice: -1}
		d.Machines.Put(name, m)
	}
	if m.Up < 0 {
		m.Up = at
	}
	m.Spot = m.Spot || spot
	return m
}

func (d *Day) event(at time.Duration, e *recordpb.Event) {
	switch x := e.What.(type) {
	case *recordpb.Event_Types:
		var types map[string]model.MachineType
		if json.Unmarshal(x.Types.Catalogue, &types) == nil {
			d.Types = types
		}
	case *recordpb.Event_Loaded:
		for _, it := range x.Loaded.Jobs {
			d.record(it)
		}
	case *recordpb.Event_Changed:
		d.changed(at, x.Changed)
	case *recordpb.Event_Answer:
		for _, m := range x.Answer.Machines {
			d.report(at, m)
		}
	case *recordpb.Event_Rented:
		d.rented(at, x.Rented)
	case *recordpb.Event_Released:
		for _, name := range x.Released.Names {
			if m := d.Machines.At(name); x.Released.Ok && m != nil && m.EndedAt < 0 {
				m.EndedAt = at
			}
		}
	case *recordpb.Event_SaveDone:
		if x.SaveDone.Fresh != nil {
			d.record(x.SaveDone.Fresh)
		}
	}
}

// record adds the job of a stored record, if the record is a job's.
func (d *Day) record(it *recordpb.Item) {
	var r placement.JobRecord
	if json.Unmarshal(it.Value, &r) == nil && r.Job != nil {
		d.job(it.Key, r)
	}
}

func (d *Day) changed(at time.Duration, c *recordpb.Changed) {
	for _, it := range c.Items {
		if !it.Deleted {
			d.record(it)
			if id, open := strings.CutPrefix(it.Key, placement.JobPrefix); open {
				d.moved[id] = true
			}
		}
	}
	for _, it := range c.Items {
		id, open := strings.CutPrefix(it.Key, placement.JobPrefix)
		if !open {
			id, _ = strings.CutPrefix(it.Key, placement.WaitPrefix)
		}
		j := d.Jobs.At(id)
		if !it.Deleted || j == nil || j.Cancelled >= 0 || open && d.finishedJobs[id] || !open && d.moved[id] {
			continue
		}
		j.Cancelled = at
	}
}

// report adds the state of a machine that its owner reported.
func (d *Day) report(at time.Duration, pm *peerspb.Machine) {
	if pm.Phase == "expired" {
		return
	}
	m := d.machine(at, pm.Name, model.Pool{Type: pm.Kind.GetType(), Zone: pm.Kind.GetZone()}, pm.Spot)
	if pm.Phase != "current" {
		return
	}
	if pm.NoticeMs >= 0 && m.Notice < 0 {
		m.Notice, m.Lead = at, time.Duration(pm.NoticeMs)*time.Millisecond
	}
	for _, r := range pm.Tasks {
		t := d.tasks[attemptKey{r.Job, int(r.Index), r.Attempt}]
		j := d.Jobs.At(r.Job)
		if t == nil || j == nil || t.Ended >= 0 {
			continue
		}
		state := model.TaskState(r.State)
		if state == model.TaskFetching {
			if t.Fetching < 0 {
				t.Fetching = at
			}
			continue
		}
		if t.Ready < 0 && (state != model.TaskExited || t.Fetching >= 0 || r.Cause == string(model.CauseDone)) {
			t.Ready = at
			if d.have[pm.Name] == nil {
				d.have[pm.Name] = map[string]bool{}
			}
			t.Fetched = !d.have[pm.Name][j.Spec.Image]
			d.have[pm.Name][j.Spec.Image] = true
		}
		ran := state == model.TaskRunning || state == model.TaskSaving || state == model.TaskExited && r.Cause == string(model.CauseDone)
		if ran && t.Running < 0 {
			t.Running = at
			j.ran[t.Index] = true
			if len(j.ran) >= j.Spec.Tasks-j.finished && j.Started < 0 {
				j.Started = at
			}
		}
		if state == model.TaskExited {
			t.Ended, t.Cause, t.Saved = at, model.Cause(r.Cause), r.Saved
		}
	}
}

func (d *Day) rented(at time.Duration, r *recordpb.Rented) {
	asked := d.launchRequests[r.Charter]
	if asked == nil || autoscaler.Result(r.Result) == autoscaler.Unknown {
		return
	}
	src := autoscaler.Market{Pool: model.Pool{Type: asked.Type, Zone: asked.Zone}, Spot: asked.Spot}
	for _, name := range r.Names {
		m := d.Machines.At(name)
		if m == nil {
			m = &MachineSeen{Name: name, Pool: src.Pool, Spot: src.Spot, Rented: -1, Up: -1, EndedAt: -1, Notice: -1}
			d.Machines.Put(name, m)
		}
		m.Rented = d.sent[r.Charter]
	}
	d.Rentals = append(d.Rentals, RentalSeen{At: at, Source: src, Requested: int(asked.Count), Got: len(r.Names), Held: d.held(src)})
}

// held returns the number of machines of a market that have not ended.
func (d *Day) held(src autoscaler.Market) (n int) {
	for _, m := range d.Machines.All() {
		if m.Pool == src.Pool && m.Spot == src.Spot && m.EndedAt < 0 {
			n++
		}
	}
	return n
}

// decided adds the decisions that an event led to.
func (d *Day) decided(at time.Duration, x *recordpb.Decided) {
	for _, o := range x.GetOrders() {
		if o.Op != peerspb.Op_OP_START {
			continue
		}
		key := attemptKey{o.Job, int(o.Index), o.Attempt}
		t := &TaskSeen{Job: o.Job, Index: int(o.Index), Attempt: o.Attempt, Machine: o.Machine, Ordered: at, Fetching: -1, Ready: -1,
			Running: -1, Ended: -1}
		d.tasks[key] = t
		d.Tasks = append(d.Tasks, t)
		if j := d.Jobs.At(o.Job); j != nil && j.FirstStart < 0 {
			j.FirstStart = at
		}
	}
	for _, r := range x.GetRentals() {
		if _, again := d.sent[r.Charter]; r.Sent && !again {
			d.launchRequests[r.Charter], d.sent[r.Charter] = r, at
		}
	}
	for _, name := range x.GetExpired() {
		if m := d.Machines.At(name); m != nil && m.EndedAt < 0 {
			m.EndedAt, m.Unexpected = at, true
		}
	}
	for _, id := range x.GetFinished() {
		d.finishedJobs[id] = true
		if j := d.Jobs.At(id); j != nil && j.Done < 0 {
			j.Done = at
		}
	}
	for _, m := range x.GetMoves() {
		if m.Op != 0 { // a read changes nothing
			d.moved[m.Job] = true
		}
	}
}

// until returns when the machine ended, or end if it has not ended.
func (m *MachineSeen) until(end time.Duration) time.Duration {
	if m.EndedAt >= 0 {
		return m.EndedAt
	}
	return end
}

// from returns the time from which the machine is paid for.
func (m *MachineSeen) from() time.Duration {
	if m.Rented >= 0 {
		return m.Rented
	}
	return max(m.Up, 0)
}

// Price returns the cost of the machines. Each is charged for at least a minute.
func (d *Day) Price() float64 {
	sum := 0.0
	for _, m := range d.Machines.All() {
		t := d.Types[m.Pool.Type]
		price := t.Price
		if m.Spot {
			price = t.SpotPrice
		}
		sum += price * max(time.Minute, m.until(d.End)-m.from()).Hours()
	}
	return sum
}

// inOrder returns the jobs that were started, ordered by the first start of a task.
func (d *Day) inOrder() []*JobSeen {
	var out []*JobSeen
	for _, j := range d.Jobs.All() {
		if j.FirstStart >= 0 {
			out = append(out, j)
		}
	}
	slices.SortStableFunc(out, func(x, y *JobSeen) int { return int(x.FirstStart - y.FirstStart) })
	return out
}
