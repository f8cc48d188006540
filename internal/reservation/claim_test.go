package reservation

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var t0 = time.Unix(1000, 0)

// Each event leads to the expected state, and has no effect in states from which it has no transition.
func TestStateTransitions(t *testing.T) {
	for _, c := range []struct {
		name  string
		event func(c *Claim)
		want  State
	}{
		{"new claim", func(*Claim) {}, Requested},
		{"stored", func(c *Claim) { c.Stored(1) }, Claimed},
		{"an older version is stored after a repair", func(c *Claim) { c.MemberFailed(0); c.Replace(0, "z"); c.Stored(1) }, Requested},
		{"ordered", func(c *Claim) { c.Stored(1); c.MembersOrdered() }, Starting},
		{"members are ordered before the claim is stored", func(c *Claim) { c.MembersOrdered() }, Requested},
		{"a member fails", func(c *Claim) { c.Stored(1); c.MembersOrdered(); c.MemberFailed(1) }, Repairing},
		{"one of two failed members is replaced", func(c *Claim) { c.MemberFailed(0); c.MemberFailed(1); c.Replace(1, "z") }, Repairing},
		{"both failed members are replaced, so the claim must be stored again", func(c *Claim) {
			c.Stored(1)
			c.MemberFailed(0)
			c.MemberFailed(1)
			c.Replace(1, "z")
			c.Replace(0, "y")
		}, Requested},
		{"the repaired version is stored", func(c *Claim) { c.MemberFailed(0); c.Replace(0, "y"); c.Stored(2) }, Claimed},
		{"all members run", func(c *Claim) { c.Stored(1); c.MembersOrdered(); c.MembersRunning() }, Running},
		{"a member fails after all members ran", func(c *Claim) { c.MembersRunning(); c.MemberFailed(0) }, Running},
		{"events after the claim was released", func(c *Claim) { c.Stored(1); c.Release(); c.Stored(1); c.MemberFailed(0) }, Released},
	} {
		claim := New(7, []string{"a", "b"}, t0)
		c.event(claim)
		if claim.State != c.want || claim.Active() != (c.want < Running) {
			t.Errorf("%s: %v, active %v", c.name, claim.State, claim.Active())
		}
	}
	var none *Claim
	if none.Active() {
		t.Error("a nil claim is active")
	}
}

// A failed member may be replaced only in the first two thirds of the time that the other members wait.
func TestMayRepair(t *testing.T) {
	const gangWait = 30 * time.Second
	claim := New(7, nil, t0)
	if !claim.MayRepair(t0.Add(19*time.Second), gangWait) || claim.MayRepair(t0.Add(20*time.Second), gangWait) {
		t.Error("MayRepair must be true after 19 s and false after 20 s")
	}
}

// A stored claim is restored with the same machines and attempt, the record of 300 members stays within the smallest
// size limit on stored values, and malformed records are refused.
func TestRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var machines []string
		for range rapid.IntRange(1, 300).Draw(t, "members") {
			machines = append(machines, fmt.Sprintf("vm-%06d", rapid.IntRange(0, 99999).Draw(t, "machine")))
		}
		text, err := json.Marshal(New(9, machines, t0).Record())
		if err != nil || len(text) > 3000 {
			t.Fatalf("record of %d members takes %d bytes, error %v", len(machines), len(text), err)
		}
		var record Record
		if err := json.Unmarshal(text, &record); err != nil {
			t.Fatal(err)
		}
		claim, err := record.Restore(t0)
		if err != nil || !reflect.DeepEqual(claim.Machines, machines) || claim.Attempt != 9 || claim.State != Claimed {
			t.Fatalf("restored claim %+v, error %v", claim, err)
		}
	})
	for _, record := range []Record{
		{},
		{Attempt: 1, Members: 2, Machines: New(1, []string{"a"}, t0).Record().Machines},
		{Attempt: 1, Members: 1, Machines: "AAAA"},
		{Attempt: 1, Machines: "?"},
	} {
		if claim, err := record.Restore(t0); err == nil {
			t.Errorf("malformed record %+v is restored as %+v", record, claim)
		}
	}
}
