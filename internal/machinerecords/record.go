package machinerecords

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"

	"github.com/marlwood/marlwood/internal/model"
)

// The prefixes of stored keys. Earlier versions read and write only records of single machines; group records
// are written only if every controller can read them.
const (
	SingleRecordPrefix = "host/"
	GroupRecordPrefix  = "hosts/"
)

// The estimated overhead of the encoding, in bytes, per record and per machine.
const (
	recordOverhead  = 80
	machineOverhead = 8
)

// Registration is a machine on which tasks may run. It is also the stored value of a single machine's
// record.
type Registration struct {
	Pool model.Pool `json:"kind"`
	Spot bool       `json:"spot"`
	Addr string     `json:"addr"`
}

// Machine is a registered machine with its name and the revision of its record.
type Machine struct {
	Name         string
	Registration Registration
	Revision     uint64
}

// poolKey holds the properties that all machines of a group have in common.
type poolKey struct {
	Pool model.Pool `json:"kind"`
	Spot bool       `json:"spot"`
}

// groupRecord is the stored value of a group record.
type groupRecord struct {
	poolKey
	Machines map[string]string `json:"hosts"` // addresses by machine name
}

// Item is a stored record with its key and revision.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Change is one write of a transaction: it sets the record under Key to Value, or deletes it if Value is nil.
// The stored record must have the given Revision; 0 means that it must be absent.
type Change struct {
	Key      string
	Revision uint64
	Value    any
}

// record is the last known state of a stored record.
type record struct {
	revision  uint64
	single    bool
	oversized bool // too large for the current limits: its machines are moved to other records
	ambiguous bool // a change with unknown outcome may still be executed, until a later change is committed
	poolKey
	machines map[string]string // addresses by machine name
}

// decodeRecord decodes a stored record.
func decodeRecord(item Item) (*record, error) {
	name, single := strings.CutPrefix(item.Key, SingleRecordPrefix)
	if !single {
		var group groupRecord
		if err := json.Unmarshal(item.Value, &group); err != nil {
			return nil, fmt.Errorf("decode machine group record %s: %w", item.Key, err)
		}
		return &record{revision: item.Revision, poolKey: group.poolKey, machines: group.Machines}, nil
	}
	var registration Registration
	if err := json.Unmarshal(item.Value, &registration); err != nil {
		return nil, fmt.Errorf("decode machine record %s: %w", item.Key, err)
	}
	return &record{
		revision: item.Revision,
		single:   true,
		poolKey:  registration.poolKey(),
		machines: map[string]string{name: registration.Addr},
	}, nil
}

// poolKey returns the properties that decide which groups may contain the machine.
func (r Registration) poolKey() poolKey { return poolKey{r.Pool, r.Spot} }

// registration returns the registration of one of the record's machines.
func (r *record) registration(name string) Registration {
	return Registration{Pool: r.Pool, Spot: r.Spot, Addr: r.machines[name]}
}

// value returns the value to store under the record's key, or nil if the record has no machines and is to be
// deleted.
func (r *record) value(key string) any {
	switch {
	case len(r.machines) == 0:
		return nil
	case r.single:
		return r.registration(strings.TrimPrefix(key, SingleRecordPrefix))
	default:
		return groupRecord{r.poolKey, r.machines}
	}
}

// clone returns a copy that shares nothing with the record.
func (r *record) clone() *record {
	copied := *r
	copied.machines = maps.Clone(r.machines)
	return &copied
}

// encodedBytes estimates the size of the stored value.
func (r *record) encodedBytes() int {
	total := len(r.Pool.Type) + len(r.Pool.Zone) + recordOverhead
	for name, addr := range r.machines {
		total += machineBytes(name, addr)
	}
	return total
}

// machineBytes estimates how many bytes a machine adds to its group's stored value.
func machineBytes(name, addr string) int { return len(name) + len(addr) + machineOverhead }
