package controller

import (
	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/sockets"
)

// connectionAdmission lets the socket budget decide which connections the listener accepts.
type connectionAdmission struct{ *sockets.Budget }

// DutyOf returns the purpose of a connection, which follows from the path of a request on it.
func (connectionAdmission) DutyOf(req *httpwire.Request) sockets.Duty {
	switch req.Path {
	case heartbeatPath:
		return sockets.Workers
	case healthPath:
		return sockets.Health
	}
	return sockets.Users
}

// CloseOrder lists the purposes of idle connections in the order in which they are closed. Workers come first,
// because they open a new connection with their next heartbeat. Connections without a request yet come
// last, because they are likely about to be used.
func (connectionAdmission) CloseOrder() []sockets.Duty {
	return []sockets.Duty{sockets.Workers, sockets.Users, sockets.UnknownDuty}
}
