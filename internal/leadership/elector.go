// Package leadership implements leader election over one key of a consensus-backed key-value store.
//
// The process that wrote the current value of the key is the leader; the key's revision is the fencing token
// of its term. The key is attached to a lease in the store, so the store deletes it when the leader stops
// keeping the lease alive. Elector is a pure state machine in the style of etcd's raft: the caller reports
// events and their times through its methods, executes the Actions that they return, and reports the outcome
// of each action as a further event. Elector does no input or output, reads no clock and starts no goroutine.
// It isn't safe for concurrent use.
//
// # Contract
//
// The caller calls Tick at short intervals, executes each returned action once, and reports its outcome:
//
//	ReadKey     KeyRead, or ReadFailed without a usable response
//	GrantLease  LeaseGranted or LeaseFailed
//	WriteKey    KeyWritten
//	KeepAlive   KeepAliveDone
//
// Outcomes may be reported late and in any order. An action without a response may have been executed, so its
// outcome is unknown until the next read of the key. The parameter sent is always the time at which the
// request was sent, not when its response arrived: the response may show the store's state as of any time in
// between.
//
// # Transitions
//
// Only setState changes the state.
//
//	Following   -> Campaigning  a read finds no leader, or the record of an earlier process of this member
//	Following   -> Leading      a read finds that an attempt without a response was executed
//	Campaigning -> Leading      the write of the key succeeded
//	Campaigning -> Following    the lease or the write failed, or its outcome is unknown
//	Leading     -> Following    a read finds the key absent or written by another process, or a higher token
//	                            was observed
//
// # Invariant
//
// HoldsLease becomes false at the latest when Options.ValidFor has passed since the last successful check of the
// key, or since the last complete view of the jobs, whichever was earlier. The limit depends only on the local
// clock, so it takes effect without any event. Another process may have been elected meanwhile; the
// fencing token then decides whose orders are executed. Token never decreases while the process leads.
package leadership

import (
	"time"
)

// keepAlivesPerTTL is the number of keep-alives sent within the lease's time to live.
const keepAlivesPerTTL = 4

// State is the state of a process in the election.
type State int

// The states of a process.
const (
	Following   State = iota // another process leads, or no leader is known
	Campaigning              // a lease grant or a write of the key is in flight
	Leading                  // this process holds the key as of the last check
)

// String returns the name of the state used in log lines.
func (s State) String() string { return [...]string{"following", "claiming", "leading"}[s] }

// Options identify a process and set the intervals of its election.
type Options struct {
	Member       string        // name of the controller, the same across restarts
	Boot         string        // unique to this process
	PollInterval time.Duration // between reads of the key
	LeaseTTL     time.Duration // time to live of the key's lease
	ValidFor     time.Duration // how long the process may act as leader after a successful check
}

// Elector is the election state machine of one process. See the package comment for its contract.
type Elector struct {
	options Options
	state   State

	attempt     int    // number of the last attempt to write the key
	lease       uint64 // lease of the key, or of the current attempt
	keyRevision uint64 // revision that the current attempt expects the key to have
	token       uint64 // fencing token of the current term
	renewing    bool   // the leader is rewriting its own key to get a new token

	highestToken uint64 // highest token observed anywhere
	minToken     uint64 // lower tokens were superseded when this process first read the key; 0: key not read yet

	lastCheck    time.Time // send time of the last request whose response showed that this process holds the key
	lastJobsView time.Time // send time of the last request whose response showed all jobs and cancellations

	readInFlight      bool
	nextRead          time.Time
	keepAliveInFlight bool
	nextKeepAlive     time.Time
}

// New returns an Elector in the state Following.
func New(options Options) *Elector { return &Elector{options: options} }

// State returns the current state.
func (e *Elector) State() State { return e.state }

// Token returns the fencing token while leading, else 0.
func (e *Elector) Token() uint64 {
	if e.state != Leading {
		return 0
	}
	return e.token
}

// MinToken returns the lowest token that was not yet superseded when this process first read the key, or 0
// before any read has succeeded.
func (e *Elector) MinToken() uint64 { return e.minToken }

// HoldsLease reports whether the process may act as leader now.
func (e *Elector) HoldsLease(now time.Time) bool {
	return now.Before(e.LeaseExpiry())
}

// LeaseExpiry returns the time from which the process may no longer act as leader unless another check
// succeeds. It returns the zero time while the process is not the leader.
func (e *Elector) LeaseExpiry() time.Time {
	if e.state != Leading {
		return time.Time{}
	}
	if e.lastJobsView.Before(e.lastCheck) {
		return e.lastJobsView.Add(e.options.ValidFor)
	}
	return e.lastCheck.Add(e.options.ValidFor)
}

// LastCheck returns the time at which the last successful check of the key was sent.
func (e *Elector) LastCheck() time.Time { return e.lastCheck }

// LastJobsView returns the send time of the last request whose response showed all jobs.
func (e *Elector) LastJobsView() time.Time { return e.lastJobsView }

// ObserveJobsView records that the process knows all jobs and all cancellations, as of a request that was
// sent at sent.
//
// Guard: the key shows that no other process leads, but not that this process knows what users have submitted
// and cancelled meanwhile. In a one-way partition a leader received nothing for twenty seconds while its own
// keep-alives preserved the key. Then a check of the key succeeded before the jobs were read, and the leader
// started tasks of a job that had been cancelled during those twenty seconds.
// TestLeaseCountsFromOlderOfCheckAndJobsView shows it.
func (e *Elector) ObserveJobsView(sent time.Time) {
	if sent.After(e.lastJobsView) {
		e.lastJobsView = sent
	}
}

// ObserveToken records a token seen in any message. A leader that observes a higher token than its own steps
// down, unless it is renewing its token: the higher token may then be its own new one.
func (e *Elector) ObserveToken(now time.Time, token uint64) {
	e.highestToken = max(e.highestToken, token)
	if e.state == Leading && token > e.token && !e.renewing {
		e.setState(Following, now)
		e.nextRead = now
	}
}

// setState is the only place where the state changes.
func (e *Elector) setState(state State, now time.Time) {
	e.state = state
	switch state {
	case Following:
		e.token, e.renewing = 0, false
		e.nextRead = now.Add(e.options.PollInterval)
	case Campaigning:
		e.attempt++
	case Leading:
		e.renewing = false
		e.nextKeepAlive = now
	}
}

// beginTerm starts a term under a token. The process has no jobs yet whose state could be outdated, so the
// check also counts as a view of the jobs.
func (e *Elector) beginTerm(now, sent time.Time, token uint64) {
	e.token, e.lastCheck, e.lastJobsView = token, sent, sent
	e.setState(Leading, now)
}

// confirmTerm records a successful check of the key and its token, which may be a renewed one.
func (e *Elector) confirmTerm(sent time.Time, token uint64) {
	e.token, e.lastCheck = token, sent
}

// Tick returns the periodic actions that are due.
func (e *Elector) Tick(now time.Time) []Action {
	var actions []Action
	if !e.readInFlight && e.state != Campaigning && !now.Before(e.nextRead) {
		e.readInFlight = true
		e.nextRead = now.Add(e.options.PollInterval)
		actions = append(actions, Action{Op: ReadKey})
	}
	if e.state == Leading && !e.keepAliveInFlight && !now.Before(e.nextKeepAlive) {
		e.keepAliveInFlight = true
		e.nextKeepAlive = now.Add(e.options.LeaseTTL / keepAlivesPerTTL)
		actions = append(actions, Action{Op: KeepAlive, Lease: e.lease})
	}
	return actions
}

// KeyRead reports the response to a read that was sent at sent. The revision is that of the key, or, if the
// key was absent, that of the store at the time of the read.
func (e *Elector) KeyRead(now, sent time.Time, found bool, record LeaderRecord, revision uint64) []Action {
	e.readInFlight = false
	e.initMinToken(found, revision)
	read := keyRead{sent: sent, found: found, record: record, revision: revision}
	switch e.state {
	case Leading:
		e.keyReadLeading(now, read)
	case Following:
		return e.keyReadFollowing(now, read)
	case Campaigning: // the response to the write, or a later read, decides the attempt
	}
	return nil
}

// keyRead is the response to a read of the key.
type keyRead struct {
	sent     time.Time
	found    bool
	record   LeaderRecord
	revision uint64
}

// isOurs reports whether this process wrote the value that was read.
func (e *Elector) isOurs(read keyRead) bool {
	return read.found && read.record.Member == e.options.Member && read.record.Boot == e.options.Boot
}

// isHeldByOther reports whether the value that was read was written by another member, or is an outdated
// value of an earlier process of this member.
func (e *Elector) isHeldByOther(read keyRead) bool {
	return read.found && (read.record.Member != e.options.Member || read.revision < e.highestToken)
}

// initMinToken sets minToken at the first successful read.
func (e *Elector) initMinToken(found bool, revision uint64) {
	if e.minToken != 0 {
		return
	}
	e.minToken = revision
	if !found { // every leader whose token is at most this revision has lost the key
		e.minToken++
	}
}

// keyReadLeading confirms or ends the leader's term.
func (e *Elector) keyReadLeading(now time.Time, read keyRead) {
	ours := e.isOurs(read)
	switch {
	case ours && read.record.Attempt >= 1 && read.revision >= e.token:
		// A higher revision shows that a renewal whose response was lost was executed.
		e.confirmTerm(read.sent, read.revision)
	case ours && read.revision < e.token:
		// The read was executed before the renewal, so it does not show the current value.
	default:
		e.setState(Following, now)
	}
}

// keyReadFollowing begins the term of an earlier attempt if the read shows that it was executed, or begins a
// new attempt if there is no leader.
func (e *Elector) keyReadFollowing(now time.Time, read keyRead) []Action {
	ours := e.isOurs(read)
	if ours && read.revision < e.highestToken {
		// Guard: this response is to a read that was executed before the process lost the key, and it
		// arrives after a higher token was observed. A second term under the old token would number
		// orders and attempts from the start, while earlier ones with the same numbers may still
		// arrive. TestTransitions shows it.
		return nil
	}
	if ours {
		e.resumeAttempt(now, read)
		return nil
	}
	if e.isHeldByOther(read) {
		return nil
	}
	// No process holds the key, or an earlier process of this member holds it, which can no longer act.
	e.keyRevision = 0
	if read.found {
		e.keyRevision = read.revision
	}
	e.setState(Campaigning, now)
	return []Action{{Op: GrantLease}}
}

// resumeAttempt begins the term of an attempt whose response never arrived.
//
// Guard: the executed attempt may be an earlier one than the last. The key expires with the lease of the
// attempt that was executed. When the leader kept the lease of the last attempt alive instead, the key expired
// within the lease's five seconds, in the middle of the failover.
// TestLateAttemptKeepsItsOwnLeaseAlive shows it.
func (e *Elector) resumeAttempt(now time.Time, read keyRead) {
	if read.record.Lease != 0 {
		e.lease = read.record.Lease
	}
	e.beginTerm(now, read.sent, read.revision)
}

// ReadFailed reports a read without a usable response.
func (e *Elector) ReadFailed(time.Time) { e.readInFlight = false }

// LeaseGranted continues an attempt with the lease that was created for it.
func (e *Elector) LeaseGranted(_ time.Time, lease uint64) []Action {
	if e.state != Campaigning {
		return nil
	}
	e.lease = lease
	return []Action{e.writeKey(e.keyRevision)}
}

// LeaseFailed abandons an attempt for which no lease could be created.
func (e *Elector) LeaseFailed(now time.Time) {
	if e.state == Campaigning {
		e.setState(Following, now)
	}
}

// RenewToken requests a new token within the same term. Orders under the old token that are still in
// flight become invalid.
func (e *Elector) RenewToken(time.Time) []Action {
	if e.state != Leading || e.renewing {
		return nil
	}
	e.renewing = true
	e.attempt++
	return []Action{e.writeKey(e.token)}
}

// writeKey returns the action that writes the record of the current attempt by compare-and-swap.
func (e *Elector) writeKey(revision uint64) Action {
	record := LeaderRecord{
		Member:  e.options.Member,
		Boot:    e.options.Boot,
		Attempt: e.attempt,
		Lease:   e.lease,
	}
	return Action{Op: WriteKey, Record: record, Revision: revision, Lease: e.lease}
}

// KeyWritten reports the outcome of a WriteKey that was sent at sent. Without a response (answered is false)
// the write may have been executed; the next read of the key, which becomes due at once, shows whether it was.
func (e *Elector) KeyWritten(now, sent time.Time, answered, succeeded bool, revision uint64) {
	written := answered && succeeded
	switch {
	case e.state == Campaigning && written:
		e.beginTerm(now, sent, revision)
	case e.state == Campaigning:
		e.setState(Following, now)
		e.nextRead = now
	case e.state == Leading && e.renewing:
		e.renewing = false
		if written && revision > e.token {
			e.confirmTerm(sent, revision)
		} else {
			e.nextRead = now
		}
	}
}

// KeepAliveDone reports the outcome of a KeepAlive. If the lease has expired, the store has deleted the key too; a
// read becomes due at once to confirm that.
func (e *Elector) KeepAliveDone(now time.Time, leaseExpired bool) {
	e.keepAliveInFlight = false
	if leaseExpired && e.state == Leading {
		e.nextRead = now
	}
}
