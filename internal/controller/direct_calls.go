package controller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/workers"
)

// makeDirectCalls makes the direct calls to workers that are due. They carry commands that would
// otherwise wait for the next heartbeat. The calls run outside the event loop.
func (c *Controller) makeDirectCalls(now time.Time) {
	for _, call := range c.registry.DueCalls(now) {
		c.env.Go(func() {
			outcome, heartbeat := c.sendDirectCall(call)
			c.post(func() {
				doneAt := c.env.Now()
				c.log.Debug("direct call done", "machine", call.Machine, "token", call.Token, "session", call.Epoch, "commands", call.Commands,
					"outcome", outcome.String(), "took", doneAt.Sub(now))
				c.registry.CallDone(doneAt, call, outcome, heartbeat)
				c.makeDirectCalls(doneAt)
				if c.term != nil {
					c.term.startRoundSoon()
				}
			})
		})
	}
}

// sendDirectCall sends one direct call and classifies its outcome. It runs outside the event loop.
func (c *Controller) sendDirectCall(call workers.Call) (workers.CallOutcome, *model.Heartbeat) {
	ctx, cancel := context.WithTimeout(c.ctx, c.fileSettings.Service.DirectCall)
	defer cancel()
	if !c.env.Now().Before(call.Deadline) { // the lease expired before the call was sent, as when the process was suspended
		return workers.Refused, nil
	}
	commands := model.DirectCommands{Token: call.Token, Session: call.Epoch, Commands: call.Commands}
	status, heartbeat, err := c.env.SendCommands(ctx, call.Addr, commands)
	switch {
	case errors.Is(err, httpwire.ErrNotSent), status == http.StatusBadRequest:
		return workers.Refused, nil
	case err != nil, heartbeat == nil, status != http.StatusOK && status != http.StatusConflict:
		return workers.Unanswered, nil
	case status == http.StatusConflict:
		return workers.Refused, heartbeat
	}
	return workers.Executed, heartbeat
}
