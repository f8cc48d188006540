package simtest

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/model"
)

// job is the actual state of a job, as seen by its user and on the machines, independent of the controllers' view.
type job struct {
	id       string
	spec     *model.Job
	body     []byte // body of its submission
	needs    []*job
	takes    time.Duration
	finished []bool
	on       map[int]*worker // machines of the tasks that are on one, by task index
	kept     map[int]time.Duration
	halts    map[uint64]*halt // coordinated stops of a gang by attempt

	accepted        bool
	told            model.Stage   // stage in the last answer
	toldAt          time.Duration // when
	answeredAt      time.Duration // when a query, submission or cancellation was last answered
	cancelled       time.Duration // when the cancellation of it or of a job it needs was confirmed; -1: not cancelled
	cancelRequested bool
}

func (j *job) allDone() bool {
	for i, done := range j.finished {
		if !done && (j.spec.Shape != model.Gang || i == 0) {
			return false
		}
	}
	return true
}

// hopeless reports whether a cancellation of the job or of a job that it needs was requested.
func (j *job) hopeless() bool {
	for _, n := range j.needs {
		if n.hopeless() {
			return true
		}
	}
	return j.cancelRequested
}

// submit starts a user's job: the user submits it, queries it until it is over, and may cancel it.
func (w *cluster) submit(i int, s Submission) {
	id := fmt.Sprintf("req-%d", i)
	spec := &model.Job{ID: id, Class: "class", Team: teamNames[s.Team], Shape: s.Shape, Priority: cmp.Or(s.Priority, model.Normal), Tasks: s.Tasks,
		Size: cmp.Or(s.size, model.Size{CPUs: 2, MemoryGB: 4}), Image: "img", ImageGB: 1, OneZone: s.OneZone, Zone: s.Zone, Spread: s.Spread, Spot: s.Spot, Estimate: s.Takes,
		CheckpointEvery: s.Every, SaveTime: s.Cost}
	j := &job{id: id, spec: spec, takes: s.Takes, finished: make([]bool, s.Tasks), on: map[int]*worker{}, cancelled: -1}
	for _, n := range s.Needs {
		if need := w.jobs[fmt.Sprintf("req-%d", n)]; need != nil && need.accepted && need.spec.Shape != model.Service {
			j.needs = append(j.needs, need)
			spec.Needs = append(spec.Needs, need.id)
		}
	}
	w.jobs[id] = j
	w.all = append(w.all, j)
	w.sim.logf("user submits %s: %s of %d, team %s, one zone %v %s, spot %v, after %v, takes %v, cancelled after %v", id, spec.Shape, spec.Tasks,
		spec.Team, spec.OneZone, spec.Zone, spec.Spot, spec.Needs, s.Takes, s.Cancel)
	j.body, _ = json.Marshal(spec)
	w.users.Spawn(func() {
		for !j.accepted {
			w.ask(j, "submission", j.submission)
			if !j.accepted {
				w.users.Sleep(time.Second)
			}
		}
		for !j.told.Final() {
			w.users.Sleep(w.sim.Between(1500*time.Millisecond, 2500*time.Millisecond))
			w.ask(j, "question", j.question)
		}
		w.users.Sleep(3 * time.Second)
		for range 3 { // later queries and a repeated submission, at any node
			w.users.Sleep(w.sim.Between(0, 2*time.Second))
			w.ask(j, "question", j.question)
		}
		w.ask(j, "submission", j.submission)
	})
	if s.Cancel > 0 {
		w.users.Spawn(func() {
			w.users.Sleep(s.Cancel)
			w.cancelUntilFinal(j, s.Beside)
		})
	}
}

// submission, question and cancellation are the requests that users send to a controller about a job.
func (j *job) submission(n *node) httpwire.Answer {
	return n.node.API().Submit(context.Background(), j.body)
}
func (j *job) question(n *node) httpwire.Answer {
	return n.node.API().Status(context.Background(), j.id)
}
func (j *job) cancellation(n *node) httpwire.Answer {
	return n.node.API().Cancel(context.Background(), j.id)
}

// cancelUntilFinal makes a user cancel a job, repeatedly until it is over.
func (w *cluster) cancelUntilFinal(j *job, beside bool) {
	for !j.accepted {
		w.users.Sleep(time.Second)
	}
	for !j.told.Final() {
		j.cancelRequested = true
		w.via(j, "cancellation", w.choose(beside), j.cancellation)
		if !j.told.Final() {
			w.users.Sleep(time.Second)
		}
	}
}

// ask makes a user send a request to a random controller.
func (w *cluster) ask(j *job, what string, do func(n *node) httpwire.Answer) {
	w.via(j, what, w.choose(false), do)
}

// via makes a user send a request to a controller. If the user got a later answer while the request was under way,
// its answer is only checked, not taken over. No answer may be older than what the user knew when sending.
func (w *cluster) via(j *job, what string, n *node, do func(n *node) httpwire.Answer) {
	sent, known, before := w.sim.Now(), j.accepted, j.told
	a := w.request(n, do)
	w.checkNotOlder(j, what, n, a, known, before)
	if sent >= j.toldAt {
		w.handleAnswer(j, what, a)
	}
}

// choose draws a controller. With beside, it draws one that the state service does not refuse, if there is one.
func (w *cluster) choose(beside bool) *node {
	i := w.sim.Rand.IntN(len(w.nodes))
	for k := range w.nodes {
		if n := w.nodes[(i+k)%len(w.nodes)]; !beside || !w.store.Refuses(n.place.name) {
			return n
		}
	}
	return w.nodes[i]
}

// request sends a request to a controller and waits up to five seconds; status 0 means no answer.
func (w *cluster) request(n *node, do func(n *node) httpwire.Answer) httpwire.Answer {
	if n.process.Dead() {
		return httpwire.Answer{}
	}
	p := n.process
	a, _ := ask(w.users, w.net, w.place, n.place, 5*time.Second, func(reply func(httpwire.Answer)) {
		p.Enter(func() { p.Spawn(func() { reply(do(n)) }) })
	})
	return a
}

// handleAnswer records and checks the answer that a user got.
func (w *cluster) handleAnswer(j *job, what string, a httpwire.Answer) {
	s := w.sim
	switch {
	case a.Status == 404 || a.Status == 400 || a.Status == 422:
		if j.accepted {
			s.breaks("forgotten", "a %s of %s is answered %d", what, j.id, a.Status)
		} else {
			s.breaks("refused", "%s is answered %d: %s", j.id, a.Status, a.Body)
		}
		return
	case a.Status != 200 && a.Status != 201:
		return
	}
	var v struct {
		Stage model.Stage `json:"stage"`
	}
	if err := json.Unmarshal(a.Body, &v); err != nil {
		s.breaks("garbled", "%s", a.Body)
		return
	}
	news := v.Stage != j.told && (!j.accepted || v.Stage.Final())
	if v.Stage != j.told {
		s.logf("user of %s is told: %s", j.id, v.Stage)
	}
	j.accepted, j.answeredAt = true, s.Now()
	switch {
	case j.told.Final() && v.Stage != j.told:
		s.breaks("went_back", "%s was called %s, now %s", j.id, j.told, v.Stage)
	case v.Stage == model.Done && !j.allDone():
		s.breaks("not_done", "%s is called done, its tasks %v", j.id, j.finished)
	case v.Stage == model.Cancelled && !j.hopeless():
		s.breaks("went_back", "%s is called cancelled; nobody asked for that", j.id)
	case !v.Stage.Final() && j.cancelled >= 0 && s.Now() > j.cancelled+w.plan.Cancel:
		s.breaks("orphaned", "%s is called %s, but one before it was cancelled", j.id, v.Stage)
	}
	j.told, j.toldAt = v.Stage, s.Now()
	if v.Stage == model.Cancelled {
		w.cancelled(j)
	}
	if news {
		w.queryAllControllers(j)
	}
}

// checkKnown checks that for each job that is not over, a request has been answered since the last fault ended.
func (w *cluster) checkKnown(since time.Duration) {
	for _, j := range w.all {
		if j.accepted && !j.told.Final() && j.answeredAt < since {
			w.sim.breaks("forgotten", "no question about %s is answered since %v, %v after the last trouble", j.id, j.answeredAt, answerWithin)
		}
	}
}

// cancelled handles the confirmation of a cancellation to a user. Jobs that need the job are then cancelled too.
func (w *cluster) cancelled(j *job) {
	if j.cancelled >= 0 {
		return
	}
	j.cancelled = w.sim.Now()
	w.confirmedCancellations++
	w.confirmed(j)
	w.markCaughtSaving(j)
	w.sim.After(w.plan.Cancel, func() {
		if len(j.on) > 0 {
			w.sim.breaks("ran_cancelled", "%s has tasks on machines %v after it was cancelled", j.id, w.plan.Cancel)
		}
	})
	for _, o := range w.all {
		for _, n := range o.needs {
			if n == j && !o.told.Final() {
				w.cancelled(o)
			}
		}
	}
}

// began checks the rules when a task begins to occupy a machine.
func (w *cluster) began(m *worker, t *taskAttempt) {
	s, j := w.sim, t.job
	name := model.TaskName(j.id, t.index)
	w.starts++
	if w.firstStartAfterFaults == 0 && s.Now() > w.plan.ended() {
		w.firstStartAfterFaults = s.Now() - w.plan.ended()
	}
	s.logf("%s is on %s, attempt %x", name, m.name, t.attempt)
	w.acted(m, t.attempt)
	if other := j.on[t.index]; other != nil {
		s.breaks("ran_twice", "%s starts on %s while it is on %s", name, m.name, other.name)
	}
	if j.cancelled >= 0 && s.Now() > j.cancelled+w.plan.Cancel {
		s.breaks("ran_cancelled", "%s starts on %s after it was cancelled", name, m.name)
	}
	for _, n := range j.needs {
		if !n.allDone() {
			s.breaks("too_early", "%s starts before %s is done", name, n.id)
		}
	}
	if m.spot && !j.spec.Spot {
		s.breaks("wrong_place", "%s starts on spot machine %s", name, m.name)
	}
	if j.spec.Zone != "" && j.spec.Zone != m.pool.Zone {
		s.breaks("wrong_place", "%s starts in zone %s", name, m.pool.Zone)
	}
	inZone := 1
	for i, o := range j.on {
		if i != t.index && o.pool.Zone == m.pool.Zone {
			inZone++
		}
		if j.spec.OneZone && o.pool.Zone != m.pool.Zone {
			s.breaks("wrong_place", "%s starts in zone %s, another task of its job is in %s", name, m.pool.Zone, o.pool.Zone)
		}
	}
	if inZone > j.spec.ZoneCap() {
		s.breaks("wrong_place", "%s starts in zone %s, where %d tasks of its job are", name, m.pool.Zone, inZone-1)
	}
	j.on[t.index] = m
	used := w.usedBy(j.spec.Team)
	if w.regions != nil {
		used = w.regions.usedBy(j.spec.Team)
	}
	if !w.plan.teams()[j.spec.Team].WithinLimit(used) {
		s.breaks("quota", "%s starts: team %s uses %v CPUs", name, j.spec.Team, used.CPUs)
	}
}

// usedBy returns what the tasks of a team use in this cluster.
func (w *cluster) usedBy(team string) (used model.Size) {
	for _, o := range w.all {
		if o.spec.Team == team {
			used = used.Add(o.spec.Size.Times(len(o.on)))
		}
	}
	return used
}

// removePlaced removes a task that has ended from its job's list of placed tasks.
func (w *cluster) removePlaced(m *worker, t *taskAttempt) {
	if t.job.on[t.index] == m {
		delete(t.job.on, t.index)
		if t.job.cancelled >= 0 {
			w.stopTime = max(w.stopTime, w.sim.Now()-t.job.cancelled)
		}
	}
}

// member is a task of a gang on its machine.
type member struct {
	m *worker
	t *taskAttempt
}

// gang lists the tasks of a task's attempt that are on machines.
func (w *cluster) gang(t *taskAttempt) (out []member) {
	for _, m := range w.cloud.machines {
		for _, x := range m.tasks {
			if x.job == t.job && x.attempt == t.attempt && x.on {
				out = append(out, member{m, x})
			}
		}
	}
	return out
}
