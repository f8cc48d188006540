package simtest

import (
	"time"

	"pgregory.net/rapid"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/workers"
)

// workerFaultKinds are the fault kinds that RestartedWorkers makes overlap, all of the same machine.
var workerFaultKinds = []string{"reset machine", "reset machine", "reset machine", "reset machine", "machine back", "machine back", "machine back", "mute machine", "deafen machine", "hang machine"}

// idleBeforeReturn is the idle time after which RestartedWorkers has a machine returned: long enough for a machine to
// have no task, to be in trouble, and to get one.
const idleBeforeReturn = 15 * time.Second

// workerTimes are the times that RestartedWorkers draws from: those of the deployments, and short ones. A worker whose
// connections are reset sends a heartbeat each second. With a long lease and few heartbeats its next life can send more
// of them than controllers received from the earlier one, before the lease is over.
var workerTimes = []struct{ report, lease, cancel time.Duration }{
	{4 * time.Second, 22 * time.Second, 47 * time.Second}, {4 * time.Second, 26 * time.Second, 46 * time.Second},
	{2 * time.Second, 16 * time.Second, 36 * time.Second}, {time.Second, 10 * time.Second, 24 * time.Second},
}

// WorkerFaults are faults of one machine at times that count from when its worker comes up.
type WorkerFaults struct {
	Machine int // number of the machine in the order in which machines come up, from 0
	Faults  []Fault
}

// RestartedWorkers draws schedules in which workers restart while their network is in trouble, while heartbeats
// arrive late, among them those whose connection was reset, and while jobs go on being submitted. At most one
// fault of Plans is added.
var RestartedWorkers = rapid.Custom(func(t *rapid.T) Plan {
	p := Plans.Draw(t, "plan")
	x := rapid.SampledFrom(workerTimes).Draw(t, "worker times")
	p.Report, p.Lease, p.Cancel, p.idle = x.report, x.lease, x.cancel, idleBeforeReturn
	p.Faults = p.Faults[:min(len(p.Faults), max(0, rapid.IntRange(-2, 1).Draw(t, "other faults")))]
	p.Workers = rapid.SliceOfN(rapid.Custom(drawWorkerFaults), 1, 2).Draw(t, "workers")
	for range rapid.IntRange(6, 16).Draw(t, "later jobs") {
		p.Jobs = append(p.Jobs, Submission{At: seconds(t, "later job at", 4, 45), Shape: rapid.SampledFrom([]model.Shape{model.Array, model.Service}).Draw(t, "later shape"),
			Tasks: rapid.IntRange(1, 2).Draw(t, "later tasks"), Takes: seconds(t, "later takes", 3, 30), Cancel: seconds(t, "later cancel", 10, 40), Spot: rapid.Bool().Draw(t, "later spot")})
	}
	return p
})

// drawWorkerFaults draws overlapping faults of one machine.
func drawWorkerFaults(t *rapid.T) WorkerFaults {
	group := WorkerFaults{Machine: rapid.IntRange(0, 3).Draw(t, "machine")}
	at := seconds(t, "first", 1, 5)
	group.Faults = append(group.Faults, Fault{Kind: "late copies", At: max(0, at-seconds(t, "copies before", 0, 4)), For: seconds(t, "copies for", 5, 30)})
	if rapid.IntRange(0, 3).Draw(t, "restarts out of reach") > 0 {
		reset := Fault{Kind: "reset machine", At: at, For: seconds(t, "reset for", 8, 22)}
		back := Fault{Kind: "machine back", At: at + seconds(t, "back after", 2, 15), For: seconds(t, "away", 1, 9)}
		group.Faults = append(group.Faults, reset, back)
		return group
	}
	edges := []time.Duration{at}
	for range rapid.IntRange(2, 4).Draw(t, "worker faults") {
		start := max(0, rapid.SampledFrom(edges).Draw(t, "edge")+seconds(t, "off", -2, 4))
		f := Fault{Kind: rapid.SampledFrom(workerFaultKinds).Draw(t, "kind"), At: start, For: seconds(t, "for", 2, 20), Hold: rapid.Bool().Draw(t, "hold")}
		edges = append(edges, start, start+f.For)
		group.Faults = append(group.Faults, f)
	}
	return group
}

// beginFaults schedules the faults of a machine whose worker has come up for the first time.
func (m *worker) beginFaults() {
	w := m.cluster
	number := w.workersUp
	w.workersUp++
	for _, group := range w.plan.Workers {
		if group.Machine != number {
			continue
		}
		for _, f := range group.Faults {
			w.sim.After(f.At, func() {
				if f.For = min(f.For, troubles-w.sim.Now()); f.For > 0 {
					w.faultOn(f, m)
				}
			})
		}
	}
}

// lifeProgress is the largest token, and the session and the sequence number with it, that controllers have received
// from one life of a worker.
type lifeProgress struct{ token, session, seq uint64 }

// sentReport is a heartbeat together with the life of the worker that sent it.
type sentReport struct {
	worker    *worker
	life      int
	heartbeat *model.Heartbeat
}

func (m *worker) sentReport(heartbeat *model.Heartbeat) sentReport {
	return sentReport{worker: m, life: m.life, heartbeat: heartbeat}
}

// arrived counts heartbeats of an earlier life of their worker, and keeps track of those of the present one.
func (r sentReport) arrived() {
	m, met := r.worker, &r.worker.cluster.met
	if r.life == m.life {
		m.shown = lifeProgress{max(m.shown.token, r.heartbeat.Token), r.heartbeat.Session, r.heartbeat.Seq}
		return
	}
	if m.down || m.terminated {
		return
	}
	met[MetEarlierLife]++
	outruns := r.heartbeat.Session > m.shown.session || r.heartbeat.Session == m.shown.session && r.heartbeat.Seq > m.shown.seq
	if m.shown.token == 0 || r.heartbeat.Token != m.shown.token || !outruns {
		return
	}
	met[MetEarlierLifeOutruns]++
	if r.lacksTask() {
		met[MetEarlierLifeLacksTask]++
	}
}

// lacksTask reports whether a task is on the machine that the heartbeat does not contain.
func (r sentReport) lacksTask() bool {
	for _, task := range r.worker.tasks {
		contained := false
		for _, status := range r.heartbeat.Tasks {
			contained = contained || status.Attempt == task.attempt && status.Task == model.TaskName(task.job.id, task.index)
		}
		if task.on && !contained {
			return true
		}
	}
	return false
}

// deliverLateCopy delivers one of so many heartbeats once more to its controller, after up to the given time, while
// copies arrive late. The answer is dropped.
func (m *worker) deliverLateCopy(n *node, report sentReport, oneOf int, within time.Duration) {
	s := m.cluster.sim
	if s.Now() >= m.cluster.copies || s.Rand.IntN(oneOf) != 0 {
		return
	}
	s.After(s.Between(100*time.Millisecond, within), func() {
		n.process.Enter(func() {
			report.arrived()
			n.node.HandleHeartbeat(n.Now(), report.heartbeat, func(workers.HeartbeatResult) {})
		})
	})
}
