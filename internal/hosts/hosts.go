// Package hosts keeps the records of the machines on which tasks may run. A new leader
// starts nothing before it knows of each of these machines, so a machine's record is stored
// before its first start and removed only when it can have no tasks. One record holds many
// machines: their number follows what the state service takes, not the size of the fleet.
//
// The ledger is pure: what is wanted goes in, transactions come out, one at a time. Every
// change guards the stamp under which its record was last known, so one that is carried out
// late, after a later change, fails.
package hosts

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/marlwood/marlwood/internal/model"
)

// Where records lie. A record of a single machine is what the versions before this one read
// and write; groups are only written where every controller reads them.
const (
	SinglePrefix = "host/"
	GroupPrefix  = "hosts/"
)

// Host is a machine on which tasks may run, and the record of a single one.
type Host struct {
	Kind model.Kind `json:"kind"`
	Spot bool       `json:"spot"`
	Addr string     `json:"addr"`
}

// part is what all machines of a group share.
type part struct {
	Kind model.Kind `json:"kind"`
	Spot bool       `json:"spot"`
}

// group is the record of many machines.
type group struct {
	part
	Hosts map[string]string `json:"hosts"` // addresses by name
}

// Item is a record as it lies in the state service.
type Item struct {
	Key   string
	Value []byte
	Stamp uint64
}

// Change is one write of a transaction: the record under Key, which must have the stamp
// Guard (0: be absent), becomes Value, or is removed if Value is nil.
type Change struct {
	Key   string
	Guard uint64
	Value any
}

// Phase is where the ledger stands.
type Phase int

// The phases.
const (
	Idle    Phase = iota // nothing is under way
	Writing              // a transaction is
	Unsure               // it was not carried out as meant, or maybe was: its records must be read
)

// record is a record as last known.
type record struct {
	stamp  uint64
	single bool
	closed bool // too large for the limits in force: its machines move to others
	doubt  bool // a change that went unanswered may yet be carried out, until another is
	part
	hosts map[string]string
}

// Options bound the records.
type Options struct {
	Ops        int // changes in one transaction
	ValueBytes int // most that a group's record is to take
	TxnBytes   int // most that the values of one transaction are to take together
}

// leastBytes is the least that a group's record may be bounded to.
const leastBytes = 256

// Ledger is the records of one term.
type Ledger struct {
	opt   Options
	token uint64
	made  uint64 // groups made in this term
	phase Phase
	ops   int // changes in the next transaction: fewer after one was refused
	most  int // changes that the service takes at once, as far as is known

	records *model.Table[string, *record]
	at      map[string][]string          // the records that name a machine
	wanted  *model.Table[string, Host]   // machines to be recorded
	leaving *model.Table[string, bool]   // machines whose records are to go
	drafts  *model.Table[string, *draft] // of the transaction under way
	bytes   int                          // of their records
}

// draft is a record as a transaction makes it.
type draft struct {
	guard uint64
	next  *record
	bytes int
}

// New makes the ledger of a term. The token makes its groups' names its own.
func New(opt Options, token uint64) *Ledger {
	return &Ledger{opt: opt, token: token, ops: opt.Ops, most: opt.Ops, records: model.NewTable[string, *record](), at: map[string][]string{},
		wanted: model.NewTable[string, Host](), leaving: model.NewTable[string, bool]()}
}

// Phase tells where the ledger stands.
func (l *Ledger) Phase() Phase { return l.phase }

// to is the one place where the phase changes.
func (l *Ledger) to(p Phase) { l.phase = p }

// Load takes in what an earlier leader left. What makes no sense is returned: its machines
// are not known, so nothing may be started.
func (l *Ledger) Load(items []Item) error {
	for _, it := range items {
		if err := l.read(it); err != nil {
			return err
		}
	}
	return nil
}

// read takes a record in as it lies in the state service.
func (l *Ledger) read(it Item) error {
	r := &record{stamp: it.Stamp, hosts: map[string]string{}}
	if name, ok := strings.CutPrefix(it.Key, SinglePrefix); ok {
		var h Host
		if err := json.Unmarshal(it.Value, &h); err != nil {
			return fmt.Errorf("hosts: record %s: %w", it.Key, err)
		}
		r.single, r.part, r.hosts[name] = true, part{h.Kind, h.Spot}, h.Addr
	} else {
		var g group
		if err := json.Unmarshal(it.Value, &g); err != nil {
			return fmt.Errorf("hosts: record %s: %w", it.Key, err)
		}
		r.part, r.hosts = g.part, g.Hosts
	}
	l.set(it.Key, r)
	return nil
}

// set is the one place where records change; nil removes one.
func (l *Ledger) set(key string, r *record) {
	if old := l.records.At(key); old != nil {
		for name := range old.hosts {
			if l.at[name] = slices.DeleteFunc(l.at[name], func(k string) bool { return k == key }); len(l.at[name]) == 0 {
				delete(l.at, name)
			}
		}
	}
	if r == nil {
		l.records.Drop(key)
		return
	}
	l.records.Put(key, r)
	for name := range r.hosts {
		l.at[name] = append(l.at[name], key)
	}
}

// Hosts returns all machines that have a record, and a stamp of it.
func (l *Ledger) Hosts() (names []string, hosts []Host, stamps []uint64) {
	seen := map[string]bool{}
	for _, r := range l.records.All() {
		for _, name := range slices.Sorted(maps.Keys(r.hosts)) {
			if !seen[name] {
				seen[name] = true
				names, hosts, stamps = append(names, name), append(hosts, Host{r.Kind, r.Spot, r.hosts[name]}), append(stamps, r.stamp)
			}
		}
	}
	return names, hosts, stamps
}

// Len counts the records.
func (l *Ledger) Len() int { return l.records.Len() }

// Want asks for a machine's record. With a stamp other than 0 it has one already, which
// nothing under way removes.
func (l *Ledger) Want(name string, h Host) (stamp uint64) {
	l.leaving.Drop(name)
	if stamp := l.Stamp(name); stamp != 0 && l.phase == Idle {
		l.wanted.Drop(name)
		return stamp
	}
	l.wanted.Put(name, h)
	return 0
}

// Leave asks for the removal of a machine's record. The machine must be gone, or have no
// tasks until another Want is answered.
func (l *Ledger) Leave(name string) {
	l.wanted.Drop(name)
	if len(l.at[name]) > 0 || l.phase != Idle {
		l.leaving.Put(name, true)
	}
}

// size is about how much a machine takes in its group's record.
func size(name, addr string) int { return len(name) + len(addr) + 8 }

func (r *record) size() int {
	n := len(r.Kind.Type) + len(r.Kind.Zone) + 80
	for name, addr := range r.hosts {
		n += size(name, addr)
	}
	return n
}

// draft returns a record's draft, a new one as long as the transaction takes another
// change; nil: it does not.
func (l *Ledger) draft(key string, from *record) *draft {
	d := l.drafts.At(key)
	if d == nil && l.drafts.Len() < l.ops && l.bytes+from.size() <= l.opt.TxnBytes {
		l.bytes += from.size()
		next := *from
		next.hosts = maps.Clone(from.hosts)
		d = &draft{guard: from.stamp, next: &next, bytes: from.size()}
		l.drafts.Put(key, d)
	}
	return d
}

// room returns the draft of a group that takes one more machine, or nil.
func (l *Ledger) room(p part, bytes int) *draft {
	for _, d := range l.drafts.All() {
		if !d.next.single && !d.next.closed && d.next.part == p && d.bytes+bytes <= l.opt.ValueBytes {
			return d
		}
	}
	for key, r := range l.records.All() {
		if !r.single && !r.closed && r.part == p && l.drafts.At(key) == nil && r.size()+bytes <= l.opt.ValueBytes {
			return l.draft(key, r)
		}
	}
	l.made++
	return l.draft(fmt.Sprintf("%s%016x-%06d", GroupPrefix, l.token, l.made), &record{part: p, hosts: map[string]string{}})
}

// add drafts a machine into a record; false: the transaction is full.
func (l *Ledger) add(name string, h Host, groups bool) bool {
	var d *draft
	if p := (part{h.Kind, h.Spot}); groups {
		d = l.room(p, size(name, h.Addr))
	} else {
		from := l.records.At(SinglePrefix + name)
		if from == nil {
			from = &record{single: true, part: p, hosts: map[string]string{}}
		}
		d = l.draft(SinglePrefix+name, from)
	}
	if d == nil {
		return false
	}
	if _, has := d.next.hosts[name]; !has {
		if l.bytes+size(name, h.Addr) > l.opt.TxnBytes {
			return false
		}
		d.bytes += size(name, h.Addr)
		l.bytes += size(name, h.Addr)
	}
	d.next.hosts[name] = h.Addr
	return true
}

// Next begins a transaction: what is wanted first, for starts wait for it. nil: there is
// nothing to do, or one is under way. groups tells that every controller reads groups.
func (l *Ledger) Next(groups bool) (out []Change) {
	if l.phase != Idle {
		return nil
	}
	l.drafts, l.bytes = model.NewTable[string, *draft](), 0
	for key, r := range l.records.All() {
		if r.closed { // it goes as a whole: what is left of it may still be too large
			l.ops = l.opt.Ops
			l.move(key, r, groups)
			return l.begin()
		}
	}
	for name, h := range l.wanted.All() {
		if keys := l.at[name]; len(keys) > 0 { // written anew, a late change of it fails
			l.draft(keys[0], l.records.At(keys[0]))
		} else if !l.add(name, h, groups) {
			break
		}
	}
	for name := range l.leaving.All() {
		if len(l.at[name]) == 0 {
			l.leaving.Drop(name)
			continue
		}
		for _, key := range l.at[name] {
			if d := l.draft(key, l.records.At(key)); d != nil {
				delete(d.next.hosts, name)
			}
		}
	}
	for key, r := range l.records.All() { // groups that must not be are taken apart
		if !groups && !r.single {
			l.move(key, r, groups)
		}
	}
	return l.begin()
}

// move empties a record into others, as far as the transaction takes it.
func (l *Ledger) move(key string, r *record, groups bool) {
	d := l.draft(key, r)
	if d == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(d.next.hosts)) {
		if l.leaving.At(name) || l.add(name, Host{r.Kind, r.Spot, r.hosts[name]}, groups) {
			delete(d.next.hosts, name)
		}
	}
}

// begin begins the transaction that the drafts make.
func (l *Ledger) begin() (out []Change) {
	for key, d := range l.drafts.All() {
		c := Change{Key: key, Guard: d.guard}
		switch {
		case len(d.next.hosts) == 0 && d.guard == 0: // there was no room left in the transaction
			l.drafts.Drop(key)
			continue
		case len(d.next.hosts) == 0:
		case d.next.single:
			c.Value = Host{d.next.Kind, d.next.Spot, d.next.hosts[strings.TrimPrefix(key, SinglePrefix)]}
		default:
			c.Value = group{d.next.part, d.next.hosts}
		}
		out = append(out, c)
	}
	if len(out) > 0 {
		l.to(Writing)
	}
	return out
}

// Done takes in that the transaction under way was carried out, under a stamp. It names the
// machines that have a record now and those whose records are gone.
func (l *Ledger) Done(stamp uint64) (stored, removed []string) {
	for key, d := range l.drafts.All() {
		if len(d.next.hosts) == 0 {
			l.set(key, nil)
			continue
		}
		d.next.stamp, d.next.doubt = stamp, false
		l.set(key, d.next)
	}
	l.ops = min(l.most, l.ops+1)
	return l.settle()
}

// settle tells what of the wishes has come true, once no transaction is under way.
func (l *Ledger) settle() (stored, removed []string) {
	l.to(Idle)
	for name := range l.wanted.All() {
		if l.Stamp(name) != 0 {
			l.wanted.Drop(name)
			stored = append(stored, name)
		}
	}
	for name := range l.leaving.All() {
		if len(l.at[name]) == 0 {
			l.leaving.Drop(name)
			removed = append(removed, name)
		}
	}
	return stored, removed
}

// Refused takes in that the transaction under way was not and will not be carried out.
// tooLarge tells that the service's limits are in the way, which may have become tighter
// than the settings say. It names the machines like Done.
//
// Guard: the limit on the number of changes may be the one that fell. With only the records made
// smaller, five changes were sent again and again where four are taken: no machine had a record
// any more, and all stood empty (explorer, 1100001427). So fewer are sent first; one change that is
// refused by itself, or a record that is taken apart as a whole, is too large.
func (l *Ledger) Refused(tooLarge bool) (stored, removed []string) {
	n, apart := l.drafts.Len(), false
	for _, d := range l.drafts.All() {
		apart = apart || d.next.closed
	}
	switch {
	case !tooLarge:
		l.ops = max(1, l.ops/2)
	case n > 1 && !apart:
		l.ops, l.most = n/2, n-1
	default:
		l.most, l.opt.ValueBytes = l.opt.Ops, max(leastBytes, l.opt.ValueBytes/2)
		for _, r := range l.records.All() {
			r.closed = r.closed || !r.single && r.size() > l.opt.ValueBytes
		}
	}
	return l.settle()
}

// Lost takes in that a guard of the transaction failed, or that no answer came. It names
// the records that must be read before anything else is written.
func (l *Ledger) Lost() (keys []string) {
	for key := range l.drafts.All() {
		keys = append(keys, key)
	}
	l.to(Unsure)
	return keys
}

// Found takes in the records that Lost named as they were read; those that are missing here
// were absent.
//
// Guard: the transaction may be carried out even later, and take a machine's record away
// that was read as being there. So what was read counts for a machine only once its record
// has been written again: of the two, the one that comes second finds its guard broken. A
// group that is made late only names more machines than it need.
func (l *Ledger) Found(items []Item) (stored, removed []string, err error) {
	drafts := l.drafts
	for key := range drafts.All() {
		if !slices.ContainsFunc(items, func(it Item) bool { return it.Key == key }) {
			l.set(key, nil)
		}
	}
	if err := l.Load(items); err != nil {
		return nil, nil, err
	}
	for key, d := range drafts.All() {
		if r := l.records.At(key); r != nil {
			r.doubt = r.stamp == d.guard
		}
	}
	stored, removed = l.settle()
	return stored, removed, nil
}

// Stamp is the stamp of a record that a machine surely has, or 0.
func (l *Ledger) Stamp(name string) uint64 {
	for _, key := range l.at[name] {
		if r := l.records.At(key); !r.doubt {
			return r.stamp
		}
	}
	return 0
}
