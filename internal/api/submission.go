package api

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/placement"
	"github.com/marlwood/marlwood/internal/store"
)

// Reasons to reject a submission, besides a validationError and a *model.FieldError.
var (
	errNoTypes           = errors.New("the machine types are not known yet")
	errUnknownDependency = errors.New("field awaits: a job that it awaits was never accepted; submit that one first")
	errTooLong           = errors.New("fields docket, kit, hulls, awaits: description too long; use shorter names or fewer of them")
)

// validationError states why a well-formed job can never run in this deployment.
type validationError struct {
	fields []string // JSON names of the fields
	reason string
	remedy string
}

// Error returns the fields, the reason and the remedy as a message for the user.
func (e *validationError) Error() string {
	label := "field"
	if len(e.fields) > 1 {
		label = "fields"
	}
	return fmt.Sprintf("%s %s: %s; %s", label, strings.Join(e.fields, ", "), e.reason, e.remedy)
}

// Submit accepts or rejects a submitted job. Submissions are idempotent by the job's id: a
// repeated submission is answered with the job's status.
//
// Guard: a submission that can't be validated or accepted may still repeat a known job. Its user
// then gets the job's status, also while the machine types are unknown or a dependency can't be read.
func (s *Server) Submit(ctx context.Context, body []byte) httpwire.Answer {
	job, err := model.ParseJob(body)
	if err != nil {
		return s.rejectUnlessKnown(ctx, body, err)
	}
	// Guard: a write whose preconditions fail counts against the store's budget like any other.
	// Repeated submissions took a quarter of that budget when four small jobs a second were submitted.
	if s.isKnown(job.ID) {
		if current, err := s.find(ctx, job.ID); err == nil && current.known {
			return s.answerRepeat(ctx, job.ID, current)
		}
	}
	types := s.options.Types()
	if len(types) == 0 {
		return s.rejectUnlessKnown(ctx, body, errNoTypes)
	}
	if err := s.validate(job, types); err != nil {
		return s.rejectUnlessKnown(ctx, body, err)
	}
	dropUnknownTypes(job, types)
	write, stage, err := s.admissionWrite(ctx, job)
	if err != nil {
		return s.rejectUnlessKnown(ctx, body, err)
	}
	return s.commitSubmission(ctx, body, job.ID, write, stage)
}

// validate returns an error if a job can never run in this deployment.
//
// A zone may run at most half of the tasks of a job with anti-affinity, rounded up, at a time. If such
// a job is limited to one zone, an array runs its other tasks later and a service runs with half of its
// replicas, but a gang with more tasks than that never starts.
func (s *Server) validate(job *model.Job, types map[string]model.MachineType) error {
	team, ok := s.options.Teams[job.Team]
	if !ok {
		return &validationError{[]string{"crew"}, fmt.Sprintf("unknown team %.100q", job.Team), "name one of the settings' teams"}
	}
	zones := allowedZones(job, types)
	concurrent := 1 // tasks that must run at the same time
	if job.Shape != model.Array {
		concurrent = job.Tasks
	}
	zoneCap, gang := job.ZoneCap(), job.Shape == model.Gang
	switch {
	case len(zones) == 0:
		return &validationError{[]string{"cpus", "cards", "memoryGb", "hulls", "yard"},
			"a task fits no allowed machine type", "ask for less, or allow more types or zones"}
	case gang && job.OneZone && concurrent > zoneCap:
		return &validationError{[]string{"together", "apart"},
			fmt.Sprintf("one zone may hold %d of the %d tasks and has to hold all", zoneCap, concurrent), "unset one of the two"}
	case gang && concurrent > zoneCap*len(zones):
		return &validationError{[]string{"apart", "hulls", "yard"},
			fmt.Sprintf("the one allowed zone may hold %d of the %d tasks", zoneCap, concurrent), "allow another zone, or unset apart"}
	case !team.WithinLimit(job.Size.Times(concurrent)):
		return &validationError{[]string{"cpus", "cards", "pieces"},
			"needs more than the limit of team " + job.Team, "ask for less"}
	}
	return nil
}

// allowedZones returns the zones with a machine type that the job's tasks may run on.
func allowedZones(job *model.Job, types map[string]model.MachineType) map[string]bool {
	zones := map[string]bool{}
	for _, machineType := range types {
		for _, zone := range machineType.Zones {
			if job.Allows(machineType, zone) {
				zones[zone] = true
			}
		}
	}
	return zones
}

// dropUnknownTypes removes unknown and duplicate machine types from a job, because they have no
// effect and take space in its record.
func dropUnknownTypes(job *model.Job, types map[string]model.MachineType) {
	if job.Types == nil {
		return
	}
	kept := []string{}
	for _, name := range job.Types {
		if _, ok := types[name]; ok && !slices.Contains(kept, name) {
			kept = append(kept, name)
		}
	}
	job.Types = kept
}

// commitSubmission writes a new job's record unless the job is known already.
func (s *Server) commitSubmission(ctx context.Context, body []byte, id string, write store.Write, stage model.Stage) httpwire.Answer {
	result, err := s.store.Commit(ctx, store.Txn{
		Preconditions: []store.Precondition{
			{Key: placement.JobPrefix + id},
			{Key: placement.DonePrefix + id},
			{Key: placement.WaitPrefix + id},
		},
		Writes: []store.Write{write},
	})
	if err == nil && result.Succeeded() {
		return jsonAnswer(http.StatusCreated, statusBody{ID: id, Stage: stage})
	}
	if errors.Is(err, store.ErrTooLarge) {
		return s.rejectUnlessKnown(ctx, body, errTooLong)
	}
	if err != nil && !errors.Is(err, store.ErrUnknown) {
		return unavailableAnswer()
	}
	// Either the job is known already or the outcome is unknown; a read finds out which.
	current, err := s.find(ctx, id)
	if err != nil || !current.known {
		return unavailableAnswer()
	}
	return s.answerRepeat(ctx, id, current)
}

// isKnown reports whether a job is in one of the caches. The caches may be outdated, so a hit
// justifies a read before the write, but it is not enough for an answer.
func (s *Server) isKnown(id string) bool {
	_, open := s.statuses.lookup(id)
	return open || s.finals.Contains(id)
}

// answerRepeat answers a repeated submission with the job's status.
func (s *Server) answerRepeat(ctx context.Context, id string, current jobStatus) httpwire.Answer {
	err := error(nil)
	if current.waiting {
		err = s.statuses.refresh(ctx)
	}
	if err == nil {
		current, err = s.cancelIfDependencyFailed(ctx, id, current)
	}
	if err != nil {
		return unavailableAnswer()
	}
	return s.statusAnswer(http.StatusOK, id, current)
}

// rejectUnlessKnown rejects a submission for cause, unless it repeats a known job; that is
// answered with the job's status.
func (s *Server) rejectUnlessKnown(ctx context.Context, body []byte, cause error) httpwire.Answer {
	if id := model.JobID(body); id != "" {
		current, err := s.find(ctx, id)
		if err != nil {
			return unavailableAnswer()
		}
		if current.known {
			return s.answerRepeat(ctx, id, current)
		}
	}
	return rejection(cause)
}

// rejection returns the answer to a submission that is rejected for cause. A stored record that
// can't be parsed counts as a failure of the store, even if its error wraps a *model.FieldError.
func rejection(cause error) httpwire.Answer {
	var malformed *model.FieldError
	var invalid *validationError
	switch {
	case errors.Is(cause, errStoreUnavailable):
		return unavailableAnswer()
	case errors.Is(cause, errNoTypes):
		return ErrorAnswer(http.StatusServiceUnavailable, cause.Error())
	case errors.Is(cause, errTooLong), errors.As(cause, &malformed):
		return ErrorAnswer(http.StatusBadRequest, cause.Error())
	case errors.Is(cause, errUnknownDependency), errors.As(cause, &invalid):
		return ErrorAnswer(http.StatusUnprocessableEntity, cause.Error())
	}
	return unavailableAnswer()
}
