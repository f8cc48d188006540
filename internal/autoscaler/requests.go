package autoscaler

import (
	"fmt"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

// MaxLaunchCount is the maximum number of machines in one launch request.
const MaxLaunchCount = 50

// LaunchPrefix is the key prefix of the launch requests' records.
const LaunchPrefix = "charter/"

// sendDelay is the minimum time from storing a request's record, or from its last
// unanswered attempt, to its next attempt.
const sendDelay = time.Second

// LaunchState is the state of a launch request. Its numeric values are stored in recordings.
type LaunchState int

// The states of a launch request.
const (
	Intended LaunchState = iota // its record is being stored
	Stored                      // its record is stored: it may be sent, and must be resolved
	Sent                        // it was sent, and its outcome is not known yet
)

// LaunchRequest is a request to the cloud for machines of a market. Its record is stored
// before it is sent, and its name is never reused for another request.
type LaunchRequest struct {
	Name  string     `json:"name"`
	Pool  model.Pool `json:"kind"`
	Spot  bool       `json:"spot"`
	Count int        `json:"count"`
	state LaunchState
	since time.Time // time of the last state change
}

func (r *LaunchRequest) market() Market { return Market{Pool: r.Pool, Spot: r.Spot} }

// setState is the only place where a launch request's state changes.
func (r *LaunchRequest) setState(state LaunchState, now time.Time) { r.state, r.since = state, now }

// Result is the outcome of sending a launch request. Its numeric values are stored in
// recordings.
type Result int

// The outcomes of a launch request.
const (
	Granted  Result = iota // some or all machines were launched
	Refused                // the cloud has no capacity
	Unknown                // no valid response: it is retried under the same name
	Rejected               // malformed: it is not retried
)

// String returns the name of the outcome for logs.
func (r Result) String() string {
	return [...]string{"granted", "refused", "unknown", "rejected"}[r]
}

// newRequest adds a launch request in state Intended.
func (a *Autoscaler) newRequest(market Market, count int, now time.Time) *LaunchRequest {
	a.requestCount++
	request := &LaunchRequest{
		Name:  fmt.Sprintf("c-%d-%d", a.token, a.requestCount),
		Pool:  market.Pool,
		Spot:  market.Spot,
		Count: count,
		since: now,
	}
	a.requests.Put(request.Name, request)
	return request
}

// RestoreLaunchRequest adds an unresolved launch request of an earlier leader in state Stored.
func (a *Autoscaler) RestoreLaunchRequest(request LaunchRequest, now time.Time) {
	request.state, request.since = Stored, now
	a.requests.Put(request.Name, &request)
}

// LaunchRequestRecorded handles the outcome of storing a launch request's record; ok means
// that it was stored.
func (a *Autoscaler) LaunchRequestRecorded(name string, ok bool, now time.Time) {
	request := a.requests.At(name)
	if request == nil {
		return
	}
	if !ok {
		a.requests.Delete(name) // it was never sent
		return
	}
	request.setState(Stored, now)
}

// dueRequests marks the launch requests that are due as sent and returns the actions that
// send them.
func (a *Autoscaler) dueRequests(now time.Time) []Action {
	var actions []Action
	for _, request := range a.requests.All() {
		if request.state == Stored && (request.since.IsZero() || now.Sub(request.since) >= sendDelay) {
			request.setState(Sent, now)
			actions = append(actions, Action{Launch: request})
		}
	}
	return actions
}

// LaunchDone handles the outcome of a launch request; names are the launched machines. It
// reports whether the request is resolved, so that its record can be deleted.
func (a *Autoscaler) LaunchDone(name string, result Result, names []string, now time.Time) bool {
	request := a.requests.At(name)
	if request == nil {
		return true
	}
	market := request.market()
	switch result {
	case Granted:
		for _, machine := range names {
			a.booting.Put(machine, &bootingMachine{market: market, since: now})
		}
		a.capacity.launched(market, len(names), request.Count, now)
	case Refused:
		a.capacity.launched(market, 0, request.Count, now)
	case Unknown:
		request.setState(Stored, now)
		return false
	}
	a.requests.Delete(name)
	return true
}

// requestedMachines returns the number of machines of a market in unresolved launch requests.
func (a *Autoscaler) requestedMachines(market Market) (count int) {
	for _, request := range a.requests.All() {
		if request.market() == market {
			count += request.Count
		}
	}
	return count
}
