package reservation

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/compress"
)

// errMalformedRecord is returned for a stored claim that has no attempt, or whose number of machines differs from
// its number of members.
var errMalformedRecord = errors.New("claim record has no attempt, or its machine count differs from its member count")

// machineSeparator separates the machine names in a Record.
const machineSeparator = "\n"

// Record is a claim in its stored form.
type Record struct {
	Attempt  uint64 `json:"attempt"`
	Members  int    `json:"pieces"`
	Machines string `json:"machines"` // machine names by member, one per line, compressed by package compress
}

// Record returns the claim in its stored form.
func (c *Claim) Record() *Record {
	return &Record{
		Attempt:  c.Attempt,
		Members:  len(c.Machines),
		Machines: compress.Encode([]byte(strings.Join(c.Machines, machineSeparator))),
	}
}

// Restore returns the claim that an earlier leader stored. The leader may already have ordered the start of
// members.
func (r *Record) Restore(now time.Time) (*Claim, error) {
	text, err := compress.Decode(r.Machines)
	if err != nil {
		return nil, fmt.Errorf("decode machines of claim %x: %w", r.Attempt, err)
	}
	machines := strings.Split(string(text), machineSeparator)
	if r.Attempt == 0 || len(machines) != r.Members {
		return nil, errMalformedRecord
	}
	return &Claim{Attempt: r.Attempt, Machines: machines, State: Claimed, Since: now, Version: 1}, nil
}
