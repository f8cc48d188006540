package main

import (
	"context"
	"crypto/rand"

	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

// drainsOrigin returns the origin of a change of drains: a fresh name, and the revision of the drains now. A change that
// is held on its way is refused if the drain has been changed since.
func (conn *connection) drainsOrigin() (*operatorspb.Origin, error) {
	out, err := call(conn, false, func(ctx context.Context, s operatorspb.OperatorsClient) (*operatorspb.DrainsResponse, error) {
		return s.Drains(ctx, &operatorspb.DrainsRequest{})
	})
	return &operatorspb.Origin{Id: rand.Text(), Seen: out.GetRevision()}, err
}

// settingsOrigin returns the origin of a reload: a fresh name, and the number of the settings in force.
func (conn *connection) settingsOrigin() (*operatorspb.Origin, error) {
	out, err := call(conn, false, func(ctx context.Context, s operatorspb.OperatorsClient) (*operatorspb.SettingsResponse, error) {
		return s.Settings(ctx, &operatorspb.SettingsRequest{})
	})
	return &operatorspb.Origin{Id: rand.Text(), Seen: out.GetNumber()}, err
}
