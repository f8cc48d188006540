package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/marlwood/marlwood/internal/lab"
	"github.com/marlwood/marlwood/internal/model"
)

// use sends the requests of users and operators while a controller leads, with the commands of both builds.
func (c *check) use(number, controller int) error {
	c.jobs += 2
	runs, stays := fmt.Sprintf("own-%d-%d", number, controller), fmt.Sprintf("cancelled-%d-%d", number, controller)
	if err := errors.Join(c.submit(runs, model.Array, 2), c.submit(stays, model.Service, 0)); err != nil {
		return err
	}
	isNew := controller%2 == 0 // the operator's build
	if err := c.drain(isNew); err != nil {
		return err
	}
	if err := c.reload(number, controller, isNew); err != nil {
		return err
	}
	if err := c.awaitStage(stays, model.Running, ""); err != nil {
		return err
	}
	if err := c.awaitStage(stays, model.Cancelled, "/cancel"); err != nil {
		return err
	}
	return c.awaitStage(runs, model.Done, "")
}

// drain drains a zone with one build's command and undrains it with the other's.
func (c *check) drain(isNew bool) error {
	if err := c.retry(func() error {
		_, err := c.command(isNew, "drain", "--zone", "b", "--force", "--deadline", "1s", "--reason", "mixed builds")
		if err != nil && strings.Contains(err.Error(), "is drained since") {
			return nil // an earlier attempt was executed
		}
		return err
	}); err != nil {
		return err
	}
	if err := c.shows(!isNew, "mixed builds", "drains"); err != nil {
		return err
	}
	return c.retry(func() error {
		_, err := c.command(!isNew, "undrain", "--zone", "b")
		if err != nil && strings.Contains(err.Error(), "is not drained") {
			return nil
		}
		return err
	})
}

// reload applies new settings with one build's command. The other build's command must then show this reload and the
// first one in the history of settings.
func (c *check) reload(number, controller int, isNew bool) error {
	reason := fmt.Sprintf("reload %d-%d", number, controller)
	path := filepath.Join(c.dir, "reload.sexp")
	if err := os.WriteFile(path, fmt.Appendf(nil, "(marlwood (fleet (idle \"%ds\")))\n", 11+3*number+controller), 0o600); err != nil {
		return err
	}
	if err := c.retry(func() error {
		_, err := c.command(isNew, "reload", path, "--reason", reason)
		return err
	}); err != nil {
		return err
	}
	for _, reason := range []string{reason, "reload 0-0"} {
		if err := c.shows(!isNew, reason, "settings", "history"); err != nil {
			return err
		}
	}
	return c.shows(!isNew, "bounded", "teams")
}

// shows runs an operator's command and returns an error unless its output contains a text.
func (c *check) shows(isNew bool, text string, arguments ...string) error {
	out, err := c.command(isNew, arguments...)
	if err == nil && !strings.Contains(out, text) {
		err = fmt.Errorf("%s: no %q in %s", strings.Join(arguments, " "), text, out)
	}
	return err
}

// retry repeats a request until it succeeds or leaderWait is over, because controllers may refuse it while they start.
func (c *check) retry(do func() error) error {
	var err error
	for end := time.Now().Add(leaderWait); time.Now().Before(end); time.Sleep(pollEvery) {
		if err = do(); err == nil {
			return nil
		}
	}
	return err
}

// awaitLeader waits until a controller leads and starts tasks; "" stands for any.
func (c *check) awaitLeader(name string) error {
	return c.retry(func() error {
		out, err := c.command(true, "status")
		if err != nil {
			return err
		}
		first, _, _ := strings.Cut(out, "\n")
		if !strings.Contains(first, "starts tasks") || (name != "" && !strings.Contains(first, name+",")) {
			return fmt.Errorf("%s does not lead: %s", name, first)
		}
		return nil
	})
}

// awaitAll waits until every controller serves users.
func (c *check) awaitAll() error {
	return c.retry(func() error {
		for i, addr := range c.cluster.Users() {
			resp, err := http.Get("http://" + addr + "/up")
			if err != nil {
				return err
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("%s: status %d", lab.Controllers[i], resp.StatusCode)
			}
		}
		return nil
	})
}

// submit submits a job; a service runs until it is cancelled.
func (c *check) submit(id string, shape model.Shape, seconds float64) error {
	body, err := json.Marshal(map[string]any{"nameId": id, "docket": "own", "crew": "free", "shape": shape, "rank": "high", "pieces": 1,
		"cpus": 1, "cards": 0, "memoryGb": 1, "kit": "i", "sizeGb": 1, "together": false, "apart": false, "loaners": false,
		"guessS": seconds, "snapshotEveryS": 0, "snapshotCostS": 0})
	if err != nil {
		return err
	}
	return c.retry(func() error {
		status, _, err := c.request(http.MethodPost, "/api/jobs", body)
		if err == nil && status != http.StatusOK && status != http.StatusCreated {
			err = fmt.Errorf("submission of %s: status %d", id, status)
		}
		return err
	})
}

// awaitStage repeats a request about a job until a controller answers that the job is in the wanted stage. action is
// "/cancel" to request its cancellation, or empty to query its stage.
func (c *check) awaitStage(id string, want model.Stage, action string) error {
	method := http.MethodGet
	if action != "" {
		method = http.MethodPost
	}
	var seen string
	for end := time.Now().Add(jobWait); time.Now().Before(end); time.Sleep(pollEvery) {
		_, stage, err := c.request(method, "/api/jobs/"+id+action, nil)
		if err == nil && model.Stage(stage) == want {
			return nil
		}
		seen = fmt.Sprintf("%q, %v", stage, err)
	}
	return fmt.Errorf("%s is not %s after %v: %s", id, want, jobWait, seen)
}

// client is the users' HTTP client.
var client = &http.Client{Timeout: 5 * time.Second}

// request sends a user's request to each controller in turn until one answers with a status below 500.
func (c *check) request(method, path string, body []byte) (status int, stage string, err error) {
	for _, addr := range c.cluster.Users() {
		status, stage, err = requestFrom(method, "http://"+addr+path, body)
		if err == nil && status < http.StatusInternalServerError {
			return status, stage, nil
		}
	}
	return status, stage, err
}

// requestFrom sends a user's request to one controller.
func requestFrom(method, url string, body []byte) (status int, stage string, err error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil {
		return resp.StatusCode, "", err
	}
	var answer struct {
		Stage string `json:"stage"`
	}
	if json.Unmarshal(text, &answer) != nil {
		return resp.StatusCode, "", fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return resp.StatusCode, answer.Stage, nil
}
