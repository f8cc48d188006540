package placement

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/reservation"
)

// writeState tracks which part of a job's state is stored, and when the rest is to be written.
type writeState struct {
	dirty          bool           // some state is not written yet
	writing        bool           // a write is in flight
	lastWrite      time.Time      // when the last write was sent
	writeDue       time.Time      // since when a write is due, less its head start; zero: no write is due
	writeHeadStart bool           // writeDue includes the head start of the final write
	storedFinished *model.TaskSet // the finished tasks that the state service has stored

	tasksPerPart int  // tasks in one split part of the completion bitmap
	oversized    bool // the job's record has no space for a part of the completion bitmap beside the spec
}

// JobWrite is a pending write of a job's records. It is encoded in snapshots under the names of its fields.
type JobWrite struct {
	Number        uint64            // identifies the write within the term when its outcome is reported
	ID            string            // of the job
	Stamp         uint64            // revision of the job's record, which is the write's precondition
	Over          *FinalJobRecord   // final record that replaces the record of a finished job; nil: the job is not finished
	Record        *JobRecord        // record of a job that is not finished; nil: it is not written
	Parts         map[string]string // parts of the completion bitmap beside the record, by name
	Claim         int               // version of the gang's claim that the record holds; 0: none
	finishedTasks *model.TaskSet    // finished tasks that are stored once the write succeeds
}

// hasSplitParts reports whether the write contains split parts.
func (w *JobWrite) hasSplitParts() bool {
	for name := range w.Parts {
		return strings.HasPrefix(name, splitPartMarker)
	}
	return false
}

// DisplayOnly reports whether the write only records that an array's first tasks are running, which serves only
// for display.
func (w *JobWrite) DisplayOnly() bool {
	return w.Record != nil && w.Record.Count == 0 && w.Record.Claim == nil && len(w.Parts) == 0 && w.Record.Job.Shape == model.Array
}

// splitPartMarker is the prefix of the name of a split part of a completion bitmap; the index of the part's first
// task follows it. Other parts are named by their numbers.
const splitPartMarker = "t"

// firstTaskOfPart returns the index of a part's first task; for an invalid name it returns an index beyond all tasks.
func (cs *ClusterState) firstTaskOfPart(name string) int {
	from, per := name, cs.opt.PartTasks
	if rest, split := strings.CutPrefix(name, splitPartMarker); split {
		from, per = rest, 1
	}
	n, err := strconv.Atoi(from)
	if err != nil || n < 0 || n > model.MaxTasks {
		return model.MaxTasks
	}
	return n * per
}

// SplitParts switches to writing completion bitmaps in split parts, which fit the tightest limits. The unsplit form
// is written as long as some controller cannot read split parts.
//
// Guard: the limits of the state service can become lower without notice. Records that were stored earlier are then
// larger than it accepts.
func (cs *ClusterState) SplitParts() {
	if cs.splitParts {
		return
	}
	cs.splitParts = true
	for _, job := range cs.jobs.All() {
		cs.splitJobParts(job)
	}
}

// splitJobParts marks all finished tasks of a job as not stored, if its completion bitmap needs several split parts.
// The bitmap is then written again in split parts of the present size; the stored form is not deleted before that.
func (cs *ClusterState) splitJobParts(job *Job) {
	if job.Spec.Tasks <= job.tasksPerPart || job.Cancelled {
		return
	}
	job.storedFinished = model.NewTaskSet(job.Spec.Tasks)
	job.dirty = job.dirty || job.finished.Len() > 0
}

const (
	// maxWritesInFlight is the most writes that are in flight at a time: the number of connections of a client of
	// the state service.
	maxWritesInFlight = 12

	// finalWriteHeadStart is how much earlier than it is a job's final write counts as due.
	finalWriteHeadStart = 5 * time.Second
)

// DueWrites starts and returns the writes that are due: at most one at a time for each job. Unless a job is finished
// or its claim is pending, at least pause passes between its writes. A transaction holds at most maxParts parts
// beside a record.
//
// Guard: when more writes are due than the state service accepts, those that have been due for longest are sent
// first, and a failed write keeps its place. When all were sent at once, they were stored in random order: with small
// jobs arriving four a second, some were reported finished four minutes after others that had ended later.
func (cs *ClusterState) DueWrites(now time.Time, pause time.Duration, maxParts int) []*JobWrite {
	if cs.maxPartsAccepted > 0 {
		maxParts = min(maxParts, cs.maxPartsAccepted)
	}
	due, free := cs.dueWrites[:0], maxWritesInFlight
	for _, job := range cs.jobs.All() {
		if job.writing {
			free--
		}
		if job.writeIsDue(now, pause) {
			job.setWriteDue(now)
			due = append(due, job)
		}
	}
	cs.dueWrites = due // reuses the buffer
	slices.SortStableFunc(due, compareDueWrites)
	var writes []*JobWrite
	for _, job := range due[:min(len(due), max(free, 0))] {
		writes = append(writes, cs.startWrite(job, now, maxParts))
	}
	return writes
}

// writeIsDue reports whether a job's records are to be written now.
func (j *Job) writeIsDue(now time.Time, pause time.Duration) bool {
	if !j.dirty || j.writing || j.Cancelled {
		return false
	}
	return j.allTasksFinished() || j.claimPending() || now.Sub(j.lastWrite) >= pause
}

// setWriteDue records since when a job's write is due. The final write gets a head start.
func (j *Job) setWriteDue(now time.Time) {
	if j.writeDue.IsZero() {
		j.writeDue = now
	}
	if j.allTasksFinished() && !j.writeHeadStart {
		j.writeDue, j.writeHeadStart = j.writeDue.Add(-finalWriteHeadStart), true
	}
}

// compareDueWrites orders jobs by the priority of their writes: first those with a pending claim, then those whose
// writes do not only serve for display, then by how long the write has been due.
func compareDueWrites(x, y *Job) int {
	return cmp.Or(
		cmp.Compare(sortTrueFirst(x.claimPending()), sortTrueFirst(y.claimPending())),
		cmp.Compare(sortTrueFirst(!x.displayOnly()), sortTrueFirst(!y.displayOnly())),
		x.writeDue.Compare(y.writeDue),
	)
}

// startWrite marks a job's records as being written, and returns the write.
func (cs *ClusterState) startWrite(job *Job, now time.Time, maxParts int) *JobWrite {
	job.writing, job.lastWrite, job.dirty = true, now, false
	cs.writeCount++
	write := &JobWrite{Number: cs.writeCount, ID: job.Spec.ID, Stamp: job.Revision}
	if job.allTasksFinished() {
		write.Over = &FinalJobRecord{Stage: model.Done, Tasks: job.Spec.Tasks, Count: job.Spec.Tasks}
	} else {
		cs.fillWrite(write, job, maxParts)
	}
	return write
}

// claimPending reports whether a gang's members wait for its claim to be stored. Such writes have the highest
// priority.
func (j *Job) claimPending() bool { return j.claim.Active() && j.claim.State == reservation.Requested }

// displayOnly reports whether a write of the job only records that an array's first tasks are running. Such writes
// have the lowest priority.
func (j *Job) displayOnly() bool {
	return j.Spec.Shape == model.Array && j.finished.Len() == 0 && !j.claim.Active()
}

// partLayout returns the number of tasks in one part of a job's completion bitmap, and a function that names a part
// by its number.
func (cs *ClusterState) partLayout(job *Job) (tasksPerPart int, name func(part int) string) {
	if !cs.splitParts {
		return cs.opt.PartTasks, strconv.Itoa
	}
	return job.tasksPerPart, func(part int) string { return splitPartMarker + strconv.Itoa(part*job.tasksPerPart) }
}

// fillWrite adds to a write the parts of a job's completion bitmap that are not stored, and its record, which holds
// the first part. After the size of the parts was halved, the last part is added first. The record is added only
// when all parts fit into the write.
//
// Guard: a record or a part that was stored with more tasks shrinks when it is written again. It is written only
// after the later parts hold all tasks that it loses. Without this order, a leader that failed in between left
// finished tasks that were in neither.
func (cs *ClusterState) fillWrite(write *JobWrite, job *Job, maxParts int) {
	tasksPerPart, partName := cs.partLayout(job)
	write.Parts, write.finishedTasks = map[string]string{}, model.NewTaskSet(job.Spec.Tasks)
	first := 1 // the first part is in the record
	if job.oversized {
		first = 0
	}
	last := (job.Spec.Tasks - 1) / tasksPerPart
	halved := cs.splitParts && job.tasksPerPart < cs.opt.SplitTasks
	for i := first; i <= last; i++ {
		part := i
		if halved {
			part = last - (i - first)
		}
		from, to := part*tasksPerPart, min((part+1)*tasksPerPart, job.Spec.Tasks)
		if !job.finished.Differs(job.storedFinished, from, to) {
			continue
		}
		if len(write.Parts) >= maxParts {
			job.dirty = true // the next write contains the rest
			return
		}
		write.Parts[partName(part)] = job.finished.Encode(from, to)
		write.finishedTasks.Union(job.finished, from, to)
	}
	if job.oversized {
		return
	}
	to := min(tasksPerPart, job.Spec.Tasks)
	write.finishedTasks.Union(job.finished, 0, to)
	write.Record = &JobRecord{
		Job:        job.Spec,
		AcceptedMS: job.Accepted.UnixMilli(),
		Started:    job.Started,
		Finished:   job.finished.Encode(0, to),
		Count:      job.finished.Len(),
		Running:    job.running,
	}
	if job.claim.Active() {
		write.Record.Claim, write.Claim = job.claim.Record(), job.claim.Version
	}
}

// WriteDone records the outcome of a write. ok is true only if a response confirmed the success; a failed write is
// retried with the revision that the job has by then.
func (cs *ClusterState) WriteDone(write *JobWrite, ok bool, revision uint64) {
	job := cs.jobs.At(write.ID)
	if job == nil {
		return
	}
	job.writing = false
	if !ok {
		job.dirty = true
		return
	}
	job.writeDue, job.writeHeadStart = time.Time{}, false
	if write.Over != nil {
		cs.endJob(job)
		return
	}
	if write.Record != nil {
		job.Revision = max(job.Revision, revision)
	}
	storedTo := job.Spec.Tasks
	if cs.splitParts && !write.hasSplitParts() {
		// Guard: a record in the unsplit form that was in flight when bitmaps began to be split holds more tasks than
		// the next record. When all of its tasks counted as stored, those that the next record omits were stored
		// nowhere.
		storedTo = min(job.tasksPerPart, storedTo)
	}
	job.storedFinished.Union(write.finishedTasks, 0, storedTo)
	cs.forgetExitedTasks(write.ID)
	cs.claimStored(job, write.Claim)
}

// minTasksPerPart is the fewest tasks that a part may be reduced to; the size of every part is a multiple of it.
const minTasksPerPart = 64

// WriteTooLarge records that the state service rejected a write as too large. The write is retried with fewer or
// smaller parts, or without the gang's claim.
func (cs *ClusterState) WriteTooLarge(write *JobWrite) {
	job := cs.jobs.At(write.ID)
	if job == nil {
		return
	}
	job.writing = false
	if write.Claim > 0 {
		job.claimTooLarge, job.dirty = true, true
		cs.releaseClaim(job, job.lastWrite)
		return
	}
	if !cs.splitParts {
		job.dirty = true
		cs.SplitParts()
		return
	}
	if n := len(write.Parts); n > 1 {
		cs.maxPartsAccepted, job.dirty = n/2, true
		return
	}
	smaller := max(minTasksPerPart, job.tasksPerPart/2/minTasksPerPart*minTasksPerPart)
	if smaller == job.tasksPerPart && (job.oversized || write.Record == nil) {
		// Guard: a write that cannot be made smaller is not repeated. With several such parts due, one was written again
		// for ever. A job whose last task has finished meanwhile still gets its final write, without these parts.
		job.dirty = write.Over == nil && job.allTasksFinished()
		cs.opt.Log.Error("completion bitmap cannot be stored", "job", write.ID, "parts", len(write.Parts))
		return
	}
	halved := smaller < job.tasksPerPart
	job.tasksPerPart, job.oversized, job.dirty = smaller, job.oversized || write.Record != nil, true
	if halved {
		// Guard: a halved part has the same name as the larger part that it overwrites. Without marking all tasks as not
		// stored, the tasks at the end of the larger part counted as stored and were stored nowhere.
		cs.splitJobParts(job)
	}
}
