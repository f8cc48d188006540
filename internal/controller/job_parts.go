package controller

import (
	"maps"
	"slices"
	"strings"

	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// shardRevisions maps jobs and the shards of their completion bitmaps to the last known revision of each
// shard. A shard that is not stored has no entry: its key does not exist. It is not safe for concurrent use.
//
// Guard: a write that contains only shards does not change the revision of the job's record. When such a
// write was executed late, after a newer one, it replaced newer bitmaps, and the next leader ran tasks
// again (TestLateShardWriteKeepsNewerCompletions).
//
// Versions without these revisions have only the record's revision as a precondition for writing shards;
// their late writes fail because of their fencing token.
type shardRevisions map[string]map[string]uint64

func (p shardRevisions) set(job, part string, revision uint64) {
	if p[job] == nil {
		p[job] = map[string]uint64{}
	}
	p[job][part] = revision
}

// load records the revisions of stored shards.
func (p shardRevisions) load(items []store.Item) {
	for _, item := range items {
		rest := strings.TrimPrefix(item.Key, placement.PartPrefix)
		if i := strings.LastIndexByte(rest, '/'); i >= 0 {
			p.set(rest[:i], rest[i+1:], item.Revision)
		}
	}
}

// retain removes the jobs that are not open.
func (p shardRevisions) retain(isOpen func(job string) bool) {
	maps.DeleteFunc(p, func(job string, _ map[string]uint64) bool { return !isOpen(job) })
}

// written records that a write was executed at a revision.
func (p shardRevisions) written(write *placement.JobWrite, revision uint64) {
	for part := range write.Parts {
		p.set(write.ID, part, revision)
	}
}

// reread replaces the revisions of a job's shards by those that were read after a write.
func (p shardRevisions) reread(write *placement.JobWrite, items []store.Item) {
	delete(p, write.ID)
	p.load(items)
}

// jobWriteTxn adds a job's write to a transaction that already has the leader's precondition.
func jobWriteTxn(txn store.Txn, write *placement.JobWrite, parts shardRevisions) store.Txn {
	record := placement.JobPrefix + write.ID
	txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: record, Revision: write.Stamp})
	if write.Over != nil {
		txn.Writes = append(txn.Writes, store.Delete(record), store.Put(placement.DonePrefix+write.ID, write.Over))
	}
	if write.Record != nil {
		txn.Writes = append(txn.Writes, store.Put(record, write.Record))
	}
	for _, part := range slices.Sorted(maps.Keys(write.Parts)) {
		key := placement.PartPrefix + write.ID + "/" + part
		txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: key, Revision: parts[write.ID][part]})
		txn.Writes = append(txn.Writes, store.Put(key, write.Parts[part]))
	}
	return txn
}
