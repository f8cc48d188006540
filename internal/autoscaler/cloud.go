package autoscaler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/model"
)

// The paths of the cloud's API.
const (
	typesPath     = "/machine_types"
	machinesPath  = "/hosts"
	terminatePath = "/hosts/release"
)

const (
	cloudConnections = 2       // maximum number of connections to the cloud's API
	maxHeadBytes     = 8 << 10 // of a response's head
	maxBodyBytes     = 1 << 20 // of a response's body
	minBurst         = 2       // minimum burst of the rate limiter, in calls
	listPageSize     = 500     // machines in one page of the list
)

// noCapacity is the error text with which the cloud refuses a launch request.
const noCapacity = "no capacity"

var errCloud = errors.New("cloud")

// StatusError is a response of the cloud with a status other than 200.
type StatusError struct {
	Status int
	Body   []byte
}

// Error returns the status and the beginning of the body.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %.100s", e.Status, e.Body) }

// Cloud is a rate-limited client of the cloud's API.
type Cloud struct {
	client  *httpwire.Client
	limiter *rate.Limiter
	timeout time.Duration // of a call, including the wait for the rate limiter
}

// NewCloud returns a client that sends at most rps calls per second on average.
func NewCloud(addr string, rps float64, timeout time.Duration) *Cloud {
	return &Cloud{
		client:  httpwire.NewClient(addr, cloudConnections, httpwire.Limits{Head: maxHeadBytes, Body: maxBodyBytes}),
		limiter: rate.NewLimiter(rate.Limit(rps), max(minBurst, int(rps))),
		timeout: timeout,
	}
}

// send makes one call and returns the cloud's response, whatever its status.
func (c *Cloud) send(ctx context.Context, method, target string, body any) (*httpwire.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, fmt.Errorf("%w: rate limit: %w", errCloud, err)
	}
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return nil, fmt.Errorf("%w: %w", errCloud, err)
		}
	}
	resp, err := c.client.Do(ctx, method, target, encoded)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCloud, err)
	}
	return resp, nil
}

// call makes one call and decodes the response into out, unless out is nil. It returns a
// StatusError if the status is not 200.
func (c *Cloud) call(ctx context.Context, method, target string, body, out any) error {
	resp, err := c.send(ctx, method, target, body)
	if err != nil {
		return err
	}
	if resp.Status != http.StatusOK {
		return fmt.Errorf("%w: %w", errCloud, &StatusError{Status: resp.Status, Body: resp.Body})
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body, out); err != nil {
		return fmt.Errorf("%w: %w", errCloud, err)
	}
	return nil
}

// Types returns the machine types that the cloud offers.
func (c *Cloud) Types(ctx context.Context) (model.Catalogue, error) {
	var out model.Catalogue
	err := c.call(ctx, http.MethodGet, typesPath, nil, &out)
	if err == nil && len(out.Types) == 0 {
		err = fmt.Errorf("%w: no machine types", errCloud)
	}
	return out, err
}

// launchBody is the JSON body of a launch request.
type launchBody struct {
	Name  string `json:"charter"`
	Type  string `json:"hull"`
	Spot  bool   `json:"loaners"`
	Count int    `json:"number"`
	Zone  string `json:"yard"`
}

// launchResponse is the JSON body of the response to a launch request.
type launchResponse struct {
	Machines []string `json:"berths"`
	Error    string   `json:"error"`
}

// Launch sends a launch request and returns its outcome and the names of the launched
// machines. If the response is missing or not recognized, the outcome is Unknown: the
// request may have taken effect.
func (c *Cloud) Launch(ctx context.Context, request LaunchRequest) (Result, []string) {
	resp, err := c.send(ctx, http.MethodPost, machinesPath, launchBody{
		Name:  request.Name,
		Type:  request.Pool.Type,
		Spot:  request.Spot,
		Count: request.Count,
		Zone:  request.Pool.Zone,
	})
	if err != nil {
		return Unknown, nil
	}
	var body launchResponse
	decodeErr := json.Unmarshal(resp.Body, &body)
	switch {
	case resp.Status == http.StatusOK && decodeErr == nil:
		return Granted, body.Machines
	case resp.Status == http.StatusServiceUnavailable && body.Error == noCapacity:
		return Refused, nil
	case resp.Status == http.StatusBadRequest:
		return Rejected, nil
	}
	return Unknown, nil
}

// terminateBody is the JSON body of a termination request.
type terminateBody struct {
	Machines []string `json:"berths"`
}

// Terminate terminates machines. If it returns nil, they no longer exist.
func (c *Cloud) Terminate(ctx context.Context, names []string) error {
	return c.call(ctx, http.MethodPost, terminatePath, terminateBody{Machines: names}, nil)
}

// listPage is a page of the cloud's list of machines.
type listPage struct {
	Machines []listedMachine `json:"berths"`
	More     bool            `json:"more"`
}

type listedMachine struct {
	Name  string  `json:"nameId"`
	Type  string  `json:"hull"`
	Zone  string  `json:"yard"`
	Spot  bool    `json:"loaners"`
	State string  `json:"stage"`
	AgeS  float64 `json:"ageS"`
}

func (m listedMachine) cloudMachine() CloudMachine {
	return CloudMachine{
		Name:    m.Name,
		Pool:    model.Pool{Type: m.Type, Zone: m.Zone},
		Spot:    m.Spot,
		Booting: m.State == "booting",
		Failed:  m.State == "failed",
		Age:     model.Seconds(m.AgeS),
	}
}

// List returns the cloud's list of machines, which it reads page by page.
func (c *Cloud) List(ctx context.Context) ([]CloudMachine, error) {
	var machines []CloudMachine
	after := ""
	for {
		target := machinesPath + "?after=" + url.QueryEscape(after) + "&most=" + strconv.Itoa(listPageSize)
		var page listPage
		if err := c.call(ctx, http.MethodGet, target, nil, &page); err != nil {
			return nil, err
		}
		for _, machine := range page.Machines {
			machines = append(machines, machine.cloudMachine())
			after = machine.Name
		}
		if !page.More || len(page.Machines) == 0 {
			return machines, nil
		}
	}
}
