package api

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"

	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/model"
)

// errStoreUnavailable means that the store can't be read. The request is answered with 503,
// because the answer may be neither an outdated status nor a 404.
var errStoreUnavailable = errors.New("the state service does not answer")

// maxRetryAfterSeconds is the upper bound of the random delay in RetryAnswer.
const maxRetryAfterSeconds = 3

// statusBody is the JSON body of an answer about a job.
type statusBody struct {
	ID      string      `json:"nameId"`
	Stage   model.Stage `json:"stage"`
	Done    *int        `json:"done,omitempty"`
	Running *int        `json:"running,omitempty"`
}

func jsonAnswer(status int, body any) httpwire.Answer {
	encoded, err := json.Marshal(body)
	if err != nil {
		return ErrorAnswer(http.StatusInternalServerError, "cannot encode the answer")
	}
	return httpwire.Answer{Status: status, Body: encoded}
}

// ErrorAnswer returns an error answer with a reason. For a temporary failure (429 or 503) it
// asks the client to retry after a second.
func ErrorAnswer(status int, reason string) httpwire.Answer {
	body, _ := json.Marshal(map[string]string{"error": reason})
	result := httpwire.Answer{Status: status, Body: body}
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		result.RetryAfter = 1
	}
	return result
}

// RetryAnswer returns the answer to a request that can't be served for lack of capacity. It asks
// the client to retry after a random one to three seconds, so that clients don't all retry at once.
func RetryAnswer(status int, reason string) httpwire.Answer {
	result := ErrorAnswer(status, reason)
	result.RetryAfter = 1 + rand.IntN(maxRetryAfterSeconds)
	return result
}

func unavailableAnswer() httpwire.Answer {
	return ErrorAnswer(http.StatusServiceUnavailable, errStoreUnavailable.Error())
}

func unknownJobAnswer() httpwire.Answer { return ErrorAnswer(http.StatusNotFound, "no such job") }

// statusAnswer returns an answer with a job's stage and the counts of its tasks.
func (s *Server) statusAnswer(status int, id string, current jobStatus) httpwire.Answer {
	done, running := current.final.Count, 0
	if !current.stage.Final() {
		done, running = current.record.Count, current.record.Running
		if counts, ok := s.options.JobCounts(id); ok {
			done, running = counts.Done, counts.Running
		}
	}
	return jsonAnswer(status, statusBody{ID: id, Stage: current.stage, Done: &done, Running: &running})
}
