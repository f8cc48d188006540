// Package leadership decides who may give commands. The token is the stamp of
// the key "leader"; whoever wrote the key's present value leads. The machine
// here is pure: events and the time go in, actions come out.
package leadership

import (
	"time"
)

// Key is the key whose stamp is the token.
const Key = "leader"

// Value is what the key holds. Boot and Claim make every claim of every
// process distinct, so that an unanswered claim can be recognised by reading.
// Hold is the lease of the state service that the key is attached to; 0: it was
// written by a version that did not say.
type Value struct {
	Member string `json:"member"`
	Boot   string `json:"boot"`
	Claim  int    `json:"claim"`
	Hold   uint64 `json:"hold,omitempty"`
}

// State is where a node stands.
type State int

// The states.
const (
	Following State = iota // another node leads, or nobody is known to
	Claiming               // a hold or the guarded write is under way
	Leading                // the key is ours
)

func (s State) String() string { return [...]string{"following", "claiming", "leading"}[s] }

// Options are the machine's bounds.
type Options struct {
	Member string
	Boot   string
	Poll   time.Duration // between looks at the key
	Hold   time.Duration // time to live of the key's hold
	Act    time.Duration // H: how long a check entitles to act
}

// Action is something the edge must do.
type Action struct {
	Op    Op
	Claim Value
	Guard uint64 // stamp the key must have
	Hold  uint64
}

// Op names an action.
type Op int

// The actions.
const (
	ReadKey Op = iota // look at the key, then KeyRead or ReadFailed
	GetHold           // make a hold, then HoldMade or HoldFailed
	Write             // guarded write of the key, then Written
	Touch             // keep the hold alive, then Touched
)

// Machine is the state machine of one node.
type Machine struct {
	opt   Options
	state State
	claim int
	token uint64
	hold  uint64
	guard uint64

	checked   time.Time // sending time of the last check that the key is ours
	viewed    time.Time // sending time of the last question whose answer showed all that users ask for
	nextRead  time.Time
	reading   bool
	touching  bool
	nextTouch time.Time
	highest   uint64 // highest token heard of
	least     uint64 // tokens below it are over, as of the first look; 0: no look yet
	renewing  bool   // a guarded write by the leader itself, for a fresh token
}

// New makes a follower.
func New(opt Options) *Machine { return &Machine{opt: opt} }

// State returns the present state.
func (m *Machine) State() State { return m.state }

// Token returns the token while leading, else 0.
func (m *Machine) Token() uint64 {
	if m.state != Leading {
		return 0
	}
	return m.token
}

// MayAct tells whether the node may act as leader now: its last successful
// check, and its last full view of the jobs, were asked for no longer than H ago.
func (m *Machine) MayAct(now time.Time) bool {
	return now.Before(m.ActsUntil())
}

// ActsUntil is when the right to act ends unless another check succeeds; zero
// while another node may lead.
func (m *Machine) ActsUntil() time.Time {
	if m.state != Leading {
		return time.Time{}
	}
	if m.viewed.Before(m.checked) {
		return m.viewed.Add(m.opt.Act)
	}
	return m.checked.Add(m.opt.Act)
}

// Viewed takes in that the node knows all jobs, and which were cancelled, as of a
// question that was sent at sent.
//
// Guard: the key shows that nobody else leads, not that this node knows what users
// have asked for meanwhile. A leader that nothing reached for twenty seconds, but whose
// key its own messages kept alive, was given a check again before the jobs: it
// started tasks of a job that had been cancelled all that time ago.
func (m *Machine) Viewed(sent time.Time) {
	if sent.After(m.viewed) {
		m.viewed = sent
	}
}

// LastView is when the last question was sent whose answer showed all jobs.
func (m *Machine) LastView() time.Time { return m.viewed }

// Checked is when the last successful check was sent.
func (m *Machine) Checked() time.Time { return m.checked }

// to is the one place where the state changes.
func (m *Machine) to(s State, now time.Time) {
	m.state = s
	switch s {
	case Following:
		m.token, m.renewing = 0, false
		m.nextRead = now.Add(m.opt.Poll)
	case Claiming:
		m.claim++
	case Leading:
		m.renewing = false
		m.nextTouch = now
	}
}

func (m *Machine) value() Value { return Value{m.opt.Member, m.opt.Boot, m.claim, m.hold} }

// Tick asks for what is due.
func (m *Machine) Tick(now time.Time) []Action {
	var out []Action
	if !m.reading && m.state != Claiming && !now.Before(m.nextRead) {
		m.reading = true
		m.nextRead = now.Add(m.opt.Poll)
		out = append(out, Action{Op: ReadKey})
	}
	if m.state == Leading && !m.touching && !now.Before(m.nextTouch) {
		m.touching = true
		m.nextTouch = now.Add(m.opt.Hold / 4)
		out = append(out, Action{Op: Touch, Hold: m.hold})
	}
	return out
}

// Least is below which tokens were over when this process first looked at the
// key, or 0 before any look has succeeded.
func (m *Machine) Least() uint64 { return m.least }

// KeyRead takes in a look at the key that was sent at sent. stamp is the key's; of
// an absent key it is the revision at which it was absent.
func (m *Machine) KeyRead(now, sent time.Time, found bool, v Value, stamp uint64) []Action {
	m.reading = false
	if m.least == 0 {
		m.least = stamp
		if !found { // whoever had the key up to then has lost it
			m.least++
		}
	}
	mine := found && v.Member == m.opt.Member && v.Boot == m.opt.Boot
	switch m.state {
	case Claiming:
		return nil // the write's own answer, or a later look, decides
	case Leading:
		if mine && v.Claim >= 1 && stamp >= m.token {
			// A renewal whose answer was lost shows as a higher stamp.
			m.token, m.checked = stamp, sent
			return nil
		}
		if mine && stamp < m.token {
			return nil // an answer from before the renewal
		}
		m.to(Following, now)
		return nil
	}
	if mine && stamp < m.highest {
		// Guard: a look from before the key was lost, which comes after the later
		// token. Leading once more under the old one would number orders and
		// attempts from the start again, while those of before may still come late.
		return nil
	}
	if mine {
		// A claim whose answer never came has been carried out after all.
		//
		// Guard: it may be an earlier one than the last. The key goes with the hold of the
		// claim that was carried out; kept alive was that of the last one, and the key
		// was gone within its five seconds, in the middle of the takeover.
		if v.Hold != 0 {
			m.hold = v.Hold
		}
		m.token, m.checked, m.viewed = stamp, sent, sent // there is no job yet that it could be wrong about
		m.to(Leading, now)
		return nil
	}
	if found && (v.Member != m.opt.Member || stamp < m.highest) {
		return nil // somebody else leads
	}
	// Nobody holds the key, or an earlier process of this member does.
	m.guard = 0
	if found {
		m.guard = stamp
	}
	m.to(Claiming, now)
	return []Action{{Op: GetHold}}
}

// ReadFailed takes in a look that brought nothing.
func (m *Machine) ReadFailed(time.Time) { m.reading = false }

// HoldMade goes on with the claim.
func (m *Machine) HoldMade(now time.Time, hold uint64) []Action {
	if m.state != Claiming {
		return nil
	}
	m.hold = hold
	return []Action{{Op: Write, Claim: m.value(), Guard: m.guard, Hold: hold}}
}

// HoldFailed gives the claim up.
func (m *Machine) HoldFailed(now time.Time) {
	if m.state == Claiming {
		m.to(Following, now)
	}
}

// Renew asks for a fresh token under the same leadership; orders given under
// the old one are then void wherever they still travel.
func (m *Machine) Renew(now time.Time) []Action {
	if m.state != Leading || m.renewing {
		return nil
	}
	m.renewing = true
	m.claim++
	return []Action{{Op: Write, Claim: m.value(), Guard: m.token, Hold: m.hold}}
}

// Written takes in the outcome of a guarded write that was sent at sent.
// Without an answer nothing is believed: the next look at the key decides.
func (m *Machine) Written(now, sent time.Time, answered, won bool, stamp uint64) {
	switch {
	case m.state == Claiming && answered && won:
		m.token, m.checked, m.viewed = stamp, sent, sent // there is no job yet that it could be wrong about
		m.to(Leading, now)
	case m.state == Claiming:
		m.to(Following, now)
		m.nextRead = now
	case m.state == Leading && m.renewing:
		m.renewing = false
		if answered && won && stamp > m.token {
			m.token, m.checked = stamp, sent
		} else {
			m.nextRead = now
		}
	}
}

// Touched takes in the outcome of keeping the hold alive.
func (m *Machine) Touched(now time.Time, gone bool) {
	m.touching = false
	if gone && m.state == Leading {
		m.nextRead = now // the key goes with its hold; the look will show it
	}
}

// Heard takes in a token seen elsewhere. A higher one than ours deposes us.
func (m *Machine) Heard(now time.Time, token uint64) {
	m.highest = max(m.highest, token)
	if m.state == Leading && token > m.token && !m.renewing {
		m.to(Following, now)
		m.nextRead = now
	}
}
