// Package metrics measures how a controller uses its time and sockets, and serves the result
// in the Prometheus text format. The methods of a nil Set do nothing, so callers need not
// check whether metrics are enabled.
package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/marlwood/marlwood/internal/accounting"
	"github.com/marlwood/marlwood/internal/sockets"
)

// Part is a phase of the leader's scheduling round.
type Part string

// The parts of a round, in order of execution.
const (
	Ask     Part = "ask"     // sorting the queue and creating the sample requests
	Samples Part = "samples" // waiting for the samples of the pool owners
	Place   Part = "place"   // choosing machines and preempting tasks
)

// Set holds the metrics of one controller. It is safe for concurrent use.
type Set struct {
	registry         *prometheus.Registry
	loopDelay        prometheus.Histogram
	loopHeld         *prometheus.HistogramVec
	rounds           *prometheus.HistogramVec
	heartbeats       prometheus.Histogram
	storeWait        *prometheus.HistogramVec
	takeover         prometheus.Histogram
	unusedReturns    prometheus.Counter
	thrashedRequests prometheus.Counter
	unexpected       *prometheus.CounterVec
	answers          *prometheus.CounterVec
	forgets          *prometheus.CounterVec
	usage            *prometheus.GaugeVec
	token            *prometheus.GaugeVec
}

// durationBuckets are the histogram buckets of durations, from 0.1 ms to 26 s.
var durationBuckets = prometheus.ExponentialBuckets(0.0001, 4, 10)

// New creates a set for one controller. use is called for each request of the page and returns the
// current use of sockets.
func New(member string, use func() sockets.Use) *Set {
	set := &Set{registry: prometheus.NewRegistry()}
	labels := prometheus.Labels{"controller": member}
	histogram := func(name, help string) prometheus.HistogramOpts {
		return prometheus.HistogramOpts{Namespace: "marlwood", Name: name, Help: help, ConstLabels: labels, Buckets: durationBuckets}
	}
	set.loopDelay = prometheus.NewHistogram(histogram("loop_delay_seconds", "Time that an event waits for the loop."))
	set.loopHeld = prometheus.NewHistogramVec(histogram("loop_held_seconds", "Time that a step held the loop, of the steps that held it for long."), []string{"step"})
	set.rounds = prometheus.NewHistogramVec(histogram("round_seconds", "Time that the parts of a leader's round take."), []string{"part"})
	set.heartbeats = prometheus.NewHistogram(histogram("report_seconds", "Time that a worker's report takes on the loop."))
	set.storeWait = prometheus.NewHistogramVec(histogram("store_queue_seconds", "Time that a call to the state service waits for its budget."), []string{"budget"})
	set.takeover = prometheus.NewHistogram(histogram("takeover_seconds", "Time from the beginning of a leadership until every machine is known."))
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "marlwood", Name: name, Help: help, ConstLabels: labels})
	}
	set.unusedReturns = counter("machines_returned_unused_total", "Idle machines returned on which no task was ever seen.")
	set.thrashedRequests = counter("rent_loops_total", "Rentals of a kind of which several machines had just been returned unused.")
	set.usage = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "marlwood", Name: "team_cpu_seconds", ConstLabels: labels,
		Help: "CPU seconds that teams have used since accounts are kept, as far as they are stored; told by the leader alone."}, []string{"team", "class", "spot", "kind"})
	set.unexpected = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "marlwood", Name: "unexpected_reports_total", ConstLabels: labels,
		Help: "Messages of workers that do not follow from earlier ones: late, lacking tasks, or after a restart of the worker, by kind."}, []string{"kind"})
	set.answers = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "marlwood", Name: "answers_with_tasks_total", ConstLabels: labels,
		Help: "Reports of machines that run tasks, by why their answer may extend the machine's lease; waits: it may not yet."}, []string{"basis"})
	set.token = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "marlwood", Name: "fencing_token", ConstLabels: labels,
		Help: "Fencing token under which this controller leads (0: it does not), and under which it answers workers, by role."}, []string{"role"})
	set.forgets = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "marlwood", Name: "forgets_total", ConstLabels: labels,
		Help: "Orders to forget an ended attempt, by why a copy of its start can do no harm; deferred: it waits for a higher token."}, []string{"basis"})
	set.registry.MustRegister(set.token, set.forgets, set.answers, set.unexpected, set.usage, set.unusedReturns, set.thrashedRequests, set.loopDelay, set.loopHeld, set.rounds, set.heartbeats, set.storeWait, set.takeover, &socketCollector{use: use,
		open:   prometheus.NewDesc("marlwood_sockets", "Accepted connections by duty.", []string{"duty"}, labels),
		peak:   prometheus.NewDesc("marlwood_sockets_peak", "Most accepted connections at once by duty.", []string{"duty"}, labels),
		closed: prometheus.NewDesc("marlwood_sockets_closed_total", "Connections closed to keep within the limits, by how.", []string{"how"}, labels)})
	return set
}

// socketCollector collects the metrics of sockets.
type socketCollector struct {
	use                func() sockets.Use
	open, peak, closed *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c *socketCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- c.open
	ch <- c.peak
	ch <- c.closed
}

// Collect implements prometheus.Collector.
func (c *socketCollector) Collect(ch chan<- prometheus.Metric) {
	u := c.use()
	for d, n := range u.Open {
		ch <- prometheus.MustNewConstMetric(c.open, prometheus.GaugeValue, float64(n), sockets.Name(d))
		ch <- prometheus.MustNewConstMetric(c.peak, prometheus.GaugeValue, float64(u.Peak[d]), sockets.Name(d))
	}
	for how, n := range map[string]uint64{"after_answer": u.Closed, "resting": u.Evicted, "unserved": u.Refused} {
		ch <- prometheus.MustNewConstMetric(c.closed, prometheus.CounterValue, float64(n), how)
	}
}

// Loop records how long an event waited for the event loop.
func (s *Set) Loop(d time.Duration) {
	if s != nil {
		s.loopDelay.Observe(d.Seconds())
	}
}

// LoopHeld records how long a step held the event loop.
func (s *Set) LoopHeld(step Step, d time.Duration) {
	if s != nil {
		s.loopHeld.WithLabelValues(string(step)).Observe(d.Seconds())
	}
}

// Round records how long a part of a scheduling round took.
func (s *Set) Round(p Part, d time.Duration) {
	if s != nil {
		s.rounds.WithLabelValues(string(p)).Observe(d.Seconds())
	}
}

// Report records how long a heartbeat took on the event loop.
func (s *Set) Report(d time.Duration) {
	if s != nil {
		s.heartbeats.Observe(d.Seconds())
	}
}

// UnexpectedReport counts a message of a worker that does not follow from the earlier ones.
func (s *Set) UnexpectedReport(kind string) {
	if s != nil {
		s.unexpected.WithLabelValues(kind).Inc()
	}
}

// Forget counts an order to forget an ended attempt.
func (s *Set) Forget(basis string) {
	if s != nil {
		s.forgets.WithLabelValues(basis).Inc()
	}
}

// Role is a controller's role under a fencing token. The values are labels of a metric.
type Role string

// The roles.
const (
	LeaderRole Role = "leader"
	OwnerRole  Role = "owner"
)

// Token sets the fencing token under which this controller acts in a role.
func (s *Set) Token(role Role, token uint64) {
	if s != nil {
		s.token.WithLabelValues(string(role)).Set(float64(token))
	}
}

// Answer counts an answer to a worker that runs tasks.
func (s *Set) Answer(basis string) {
	if s != nil {
		s.answers.WithLabelValues(basis).Inc()
	}
}

// Store records how long a call to the store waited for its rate limit.
func (s *Set) Store(budget string, d time.Duration) {
	if s != nil {
		s.storeWait.WithLabelValues(budget).Observe(d.Seconds())
	}
}

// Takeover records how long a failover took.
func (s *Set) Takeover(d time.Duration) {
	if s != nil {
		s.takeover.Observe(d.Seconds())
	}
}

// Churn adds to the number of machines that were returned unused, and to the number of requests for machines soon
// after such returns.
func (s *Set) Churn(unused, loops uint64) {
	if s != nil {
		s.unusedReturns.Add(float64(unused))
		s.thrashedRequests.Add(float64(loops))
	}
}

// Usage records the resources that teams have used. Without rows the usage is unknown, and all its series are removed.
// A sum never decreases on one controller.
func (s *Set) Usage(rows []accounting.Row) {
	if s == nil {
		return
	}
	if len(rows) == 0 {
		s.usage.Reset()
	}
	for _, r := range rows {
		for kind, name := range map[accounting.UsageKind]string{accounting.Run: "run", accounting.Wait: "wait", accounting.Wasted: "lost"} {
			s.usage.WithLabelValues(r.Team, r.Class, strconv.FormatBool(r.Spot), name).Set(r.Sums[kind].CPUSeconds())
		}
	}
}
