package controller

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

// handleSettings replies with the settings in force and, if requested, with the past records of settings.
func (t *leaderTerm) handleSettings(request *operatorspb.SettingsRequest, reply operatorReply) {
	response := &operatorspb.SettingsResponse{Number: t.ctrl.adoption.number}
	for _, field := range t.ctrl.settings.Fields() {
		response.Fields = append(response.Fields, &operatorspb.Setting{
			Name:    field.Name,
			Value:   field.Value,
			Note:    field.Note,
			Restart: field.Restart,
		})
	}
	done := func(err error) {
		if err != nil {
			reply(nil, status.Errorf(codes.Unavailable, "the state service does not tell: %v", err))
			return
		}
		reply(&operatorspb.Reply{What: &operatorspb.Reply_Settings{Settings: response}}, nil)
	}
	if !request.Past {
		done(nil)
		return
	}
	t.ctrl.env.Go(func() {
		var err error
		response.Past, err = t.pastSettings()
		done(err)
	})
}

// pastSettings returns the kept records of settings, the latest first, each with the reason why this controller cannot
// adopt it. It runs outside the loop.
func (t *leaderTerm) pastSettings() ([]*operatorspb.SettingsRecord, error) {
	records, err := listPastSettings(t.ctx, t.ctrl.store)
	var past []*operatorspb.SettingsRecord
	for _, record := range records {
		past = append(past, &operatorspb.SettingsRecord{
			Number:   record.Number,
			Who:      record.Who,
			AtUnixMs: record.At.UnixMilli(),
			Reason:   record.Reason,
			Text:     record.Text,
			Problem:  t.ctrl.CheckSettings(record.Text),
		})
	}
	return past, err
}

// changesTo returns the changes that the settings in text would make to the settings in force.
func (c *Controller) changesTo(text string) ([]*operatorspb.Change, error) {
	next, err := c.overlaidSettings(text)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	var changes []*operatorspb.Change
	for _, difference := range c.settings.Differences(next) {
		changes = append(changes, &operatorspb.Change{
			Name:    difference.Name,
			Running: difference.Value,
			Next:    difference.Next,
			Note:    difference.Note,
			Restart: difference.Restart,
		})
	}
	return changes, nil
}

// handleCompare replies with the changes that a text would make to the settings in force.
func (t *leaderTerm) handleCompare(request *operatorspb.CompareRequest, reply operatorReply) {
	changes, err := t.ctrl.changesTo(request.Text)
	if err != nil {
		reply(nil, err)
		return
	}
	reply(&operatorspb.Reply{What: &operatorspb.Reply_Compare{Compare: &operatorspb.CompareResponse{Number: t.ctrl.adoption.number, Changes: changes}}}, nil)
}
