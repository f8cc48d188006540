package leadership

import (
	"testing"
	"time"
)

var t0 = time.Unix(1000, 0)

// at returns t0 plus a number of seconds.
func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

// newElector returns an elector in the state Following.
func newElector() *Elector {
	return New(Options{
		Member:       "n0",
		Boot:         "b0",
		PollInterval: time.Second,
		LeaseTTL:     5 * time.Second,
		ValidFor:     20 * time.Second,
	})
}

// newLeader returns an elector that leads with token 7 and whose last check was sent at 0 s.
func newLeader(t *testing.T) *Elector {
	t.Helper()
	elector := newElector()
	elector.Tick(at(0))
	if a := elector.KeyRead(at(0), at(0), false, LeaderRecord{}, 0); len(a) != 1 || a[0].Op != GrantLease {
		t.Fatalf("reading an absent key returned %v, want one GrantLease", a)
	}
	a := elector.LeaseGranted(at(0), 3)
	if len(a) != 1 || a[0].Op != WriteKey || a[0].Revision != 0 || a[0].Lease != 3 {
		t.Fatalf("granting the lease returned %v, want one WriteKey of an absent key with lease 3", a)
	}
	elector.KeyWritten(at(0), at(0), true, true, 7)
	if elector.State() != Leading || elector.Token() != 7 {
		t.Fatalf("state %v with token %d, want leading with 7", elector.State(), elector.Token())
	}
	return elector
}

// The leader lease expires by the local clock alone, counted from the time at which the check was sent, and
// ends at once when a higher token is observed.
func TestLeaseExpiresByClock(t *testing.T) {
	elector := newLeader(t)
	elector.KeyRead(at(9), at(5), true, LeaderRecord{Member: "n0", Boot: "b0", Attempt: 1}, 7)
	elector.ObserveJobsView(at(5))
	for _, c := range []struct {
		at   float64
		want bool
	}{{6, true}, {24.9, true}, {25, false}, {70, false}} {
		if elector.HoldsLease(at(c.at)) != c.want || at(c.at).Before(elector.LeaseExpiry()) != c.want {
			t.Errorf("at %v s: holds the lease: %v", c.at, elector.HoldsLease(at(c.at)))
		}
	}
	if elector.ObserveToken(at(6), 9); !elector.LeaseExpiry().IsZero() || elector.HoldsLease(at(6)) {
		t.Error("holds the lease although a higher token was observed")
	}
}

// The first write of the key gets no response and is executed late, after the next attempt began. The leader
// must keep the lease alive that the key is attached to, not the lease of the next attempt, or else the key
// expires.
func TestLateAttemptKeepsItsOwnLeaseAlive(t *testing.T) {
	for _, c := range []struct {
		name  string
		lease uint64 // lease in the key's value
		want  uint64 // lease that is kept alive
	}{
		{"record of this version", 3, 3},
		{"record of an earlier version, without a lease", 0, 4},
	} {
		elector := newElector()
		elector.Tick(at(0))
		elector.KeyRead(at(0), at(0), false, LeaderRecord{}, 1)
		first := elector.LeaseGranted(at(0), 3)[0].Record
		if first.Lease != 3 {
			t.Fatalf("the record of the attempt has lease %d, want 3", first.Lease)
		}
		elector.KeyWritten(at(2), at(0), false, false, 0) // no response; the key is still absent
		elector.KeyRead(at(2), at(2), false, LeaderRecord{}, 1)
		elector.LeaseGranted(at(2), 4)
		elector.KeyWritten(at(3), at(2), true, false, 9) // the first attempt was executed before it
		first.Lease = c.lease
		elector.KeyRead(at(3.1), at(3), true, first, 8)
		if elector.State() != Leading || elector.Token() != 8 {
			t.Fatalf("%s: state %v with token %d, want leading with 8", c.name, elector.State(), elector.Token())
		}
		keptAlive := uint64(0)
		for _, a := range elector.Tick(at(3.1)) {
			if a.Op == KeepAlive {
				keptAlive = a.Lease
			}
		}
		if keptAlive != c.want {
			t.Errorf("%s: lease %d is kept alive, want %d", c.name, keptAlive, c.want)
		}
	}
}

// The leader lease counts from the older of the last check of the key and the last complete view of the
// jobs, because the key does not show what users have submitted and cancelled meanwhile.
func TestLeaseCountsFromOlderOfCheckAndJobsView(t *testing.T) {
	for _, c := range []struct {
		name          string
		reads, views  []float64 // send times in seconds; the attempt was sent at 0
		renewed       bool      // the last read shows a renewed token
		held, expired float64   // a time shortly before the lease expires, and that of its expiry
	}{
		{"no reads and no views", nil, nil, false, 19.9, 20},
		{"reads and views", []float64{5, 10}, []float64{4, 11}, false, 29.9, 30},
		{"last view older than last read", []float64{5, 10, 15}, []float64{3}, false, 22.9, 23},
		{"no view since the attempt", []float64{5, 10, 25}, nil, false, 19.9, 20},
		{"no view since the attempt, renewed token", []float64{25}, nil, true, 19.9, 20},
		{"last read older than last view", []float64{2}, []float64{5, 10}, false, 21.9, 22},
		{"an older view arrives later", []float64{15}, []float64{12, 3}, false, 31.9, 32},
	} {
		elector := newLeader(t)
		for i, sent := range c.reads {
			revision := uint64(7)
			if c.renewed && i == len(c.reads)-1 {
				revision = 9
			}
			elector.KeyRead(at(sent), at(sent), true, LeaderRecord{Member: "n0", Boot: "b0", Attempt: 1}, revision)
		}
		for _, sent := range c.views {
			elector.ObserveJobsView(at(sent))
		}
		if !elector.HoldsLease(at(c.held)) || elector.HoldsLease(at(c.expired)) {
			t.Errorf("%s: the lease expires after %v", c.name, elector.LeaseExpiry().Sub(t0))
		}
	}
}

// Events that confirm a leader's term, end it or renew its token. An outdated read must not make a deposed
// leader lead again under its old token.
func TestTransitions(t *testing.T) {
	mine := LeaderRecord{Member: "n0", Boot: "b0", Attempt: 1}
	for _, c := range []struct {
		name  string
		event func(elector *Elector)
		state State
		token uint64
	}{
		{"own key read", func(elector *Elector) { elector.KeyRead(at(1), at(1), true, mine, 7) }, Leading, 7},
		{"key absent", func(elector *Elector) { elector.KeyRead(at(1), at(1), false, LeaderRecord{}, 0) }, Following, 0},
		{"key of another process read", func(elector *Elector) {
			elector.KeyRead(at(1), at(1), true, LeaderRecord{Member: "n1", Boot: "b1", Attempt: 1}, 9)
		}, Following, 0},
		{"higher token observed", func(elector *Elector) { elector.ObserveToken(at(1), 9) }, Following, 0},
		{"higher token observed, then response to an earlier read", func(elector *Elector) {
			elector.ObserveToken(at(1), 9)
			elector.KeyRead(at(1.5), at(0.5), true, mine, 7)
		}, Following, 0},
		{"own token observed", func(elector *Elector) { elector.ObserveToken(at(1), 7) }, Leading, 7},
		{"read failed", func(elector *Elector) { elector.ReadFailed(at(1)) }, Leading, 7},
		{"lease expired, no response to the read yet", func(elector *Elector) {
			elector.KeepAliveDone(at(1), true)
		}, Leading, 7},
		{"token renewed", func(elector *Elector) {
			elector.RenewToken(at(1))
			elector.KeyWritten(at(1), at(1), true, true, 12)
		}, Leading, 12},
		{"renewal rejected", func(elector *Elector) {
			elector.RenewToken(at(1))
			elector.KeyWritten(at(1), at(1), true, false, 0)
		}, Leading, 7},
		// A renewal without a response takes effect only when a read shows it.
		{"renewal without a response", func(elector *Elector) {
			elector.RenewToken(at(1))
			elector.KeyWritten(at(1), at(1), false, false, 0)
		}, Leading, 7},
		{"renewal without a response, shown by a read", func(elector *Elector) {
			elector.RenewToken(at(1))
			elector.KeyWritten(at(1), at(1), false, false, 0)
			elector.KeyRead(at(2), at(2), true, LeaderRecord{Member: "n0", Boot: "b0", Attempt: 2}, 12)
		}, Leading, 12},
		{"response to a read executed before the renewal", func(elector *Elector) {
			elector.RenewToken(at(1))
			elector.KeyWritten(at(1), at(1), true, true, 12)
			elector.KeyRead(at(2), at(0.5), true, mine, 7)
		}, Leading, 12},
	} {
		t.Run(c.name, func(t *testing.T) {
			elector := newLeader(t)
			c.event(elector)
			if elector.State() != c.state || elector.Token() != c.token {
				t.Errorf("state %v with token %d", elector.State(), elector.Token())
			}
		})
	}
}

// A follower campaigns only if the key is absent or an earlier process of its own member holds it.
func TestCampaignsOnlyForFreeOrOwnKey(t *testing.T) {
	for _, c := range []struct {
		name     string
		event    func(elector *Elector) []Action
		revision uint64 // revision that the write expects
		attempt  bool
	}{
		{"key absent", func(elector *Elector) []Action {
			return elector.KeyRead(at(0), at(0), false, LeaderRecord{}, 0)
		}, 0, true},
		{"another member leads", func(elector *Elector) []Action {
			return elector.KeyRead(at(0), at(0), true, LeaderRecord{Member: "n1", Boot: "b", Attempt: 1}, 5)
		}, 0, false},
		// This member's earlier process can no longer act, so there is no wait for its lease to expire.
		{"earlier process of this member leads", func(elector *Elector) []Action {
			return elector.KeyRead(at(0), at(0), true, LeaderRecord{Member: "n0", Boot: "old", Attempt: 1}, 5)
		}, 5, true},
		{"outdated read of an earlier process's key", func(elector *Elector) []Action {
			elector.ObserveToken(at(0), 9)
			return elector.KeyRead(at(0), at(0), true, LeaderRecord{Member: "n0", Boot: "old", Attempt: 1}, 5)
		}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			elector := newElector()
			if got := len(c.event(elector)) == 1; got != c.attempt {
				t.Fatalf("begins an attempt: %v", got)
			}
			if c.attempt {
				if a := elector.LeaseGranted(at(0), 1); a[0].Revision != c.revision {
					t.Errorf("the write expects revision %d", a[0].Revision)
				}
			}
		})
	}
}

// A write of the key without a response may have been executed. The process follows until a read shows that
// it was, and then leads.
func TestAttemptWithoutResponse(t *testing.T) {
	elector := newElector()
	elector.KeyRead(at(0), at(0), false, LeaderRecord{}, 0)
	elector.LeaseGranted(at(0), 3)
	elector.KeyWritten(at(2), at(0), false, false, 0)
	if elector.State() != Following {
		t.Fatalf("state %v after an attempt without a response, want following", elector.State())
	}
	elector.KeyRead(at(3), at(2.9), true, LeaderRecord{Member: "n0", Boot: "b0", Attempt: 1}, 7)
	if elector.State() != Leading || elector.Token() != 7 || !elector.LastCheck().Equal(at(2.9)) {
		t.Errorf("state %v with token %d, last check at %v", elector.State(), elector.Token(), elector.LastCheck())
	}
}

// The leader lease counts from the time at which the last successful check was sent, not from the arrival of
// its response, and expires without any event.
func TestLeaseCountsFromSendTime(t *testing.T) {
	elector := newLeader(t)
	elector.KeyRead(at(15), at(5), true, LeaderRecord{Member: "n0", Boot: "b0", Attempt: 1}, 7)
	elector.ObserveJobsView(at(10))
	for s, want := range map[float64]bool{15: true, 24.9: true, 25: false, 60: false} {
		if got := elector.HoldsLease(at(s)); got != want {
			t.Errorf("at %v s: holds the lease: %v", s, got)
		}
	}
}

// The first successful read sets the lowest token that is not superseded; failed and later reads do not
// change it.
func TestMinToken(t *testing.T) {
	other := LeaderRecord{Member: "n1", Boot: "b1", Attempt: 1}
	for _, c := range []struct {
		name  string
		event func(elector *Elector)
		want  uint64
	}{
		{"no read", func(*Elector) {}, 0},
		{"failed read", func(elector *Elector) { elector.Tick(at(0)); elector.ReadFailed(at(1)) }, 0},
		{"another member leads", func(elector *Elector) { elector.KeyRead(at(0), at(0), true, other, 9) }, 9},
		{"key absent at revision 12", func(elector *Elector) {
			elector.KeyRead(at(0), at(0), false, LeaderRecord{}, 12)
		}, 13},
		{"second read", func(elector *Elector) {
			elector.KeyRead(at(0), at(0), true, other, 9)
			elector.KeyRead(at(1), at(1), true, other, 15)
		}, 9},
	} {
		elector := newElector()
		if c.event(elector); elector.MinToken() != c.want {
			t.Errorf("%s: MinToken is %d, want %d", c.name, elector.MinToken(), c.want)
		}
	}
}
