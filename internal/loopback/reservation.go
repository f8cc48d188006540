// Package loopback reserves ports of the loopback interface for processes that will listen on them later.
//
// Finding a free port and releasing it again is not enough: another program may get the port before the process
// listens on it, because the system assigns free ports to outgoing connections and to listeners on port 0.
package loopback

// Reservation is a port that the system assigns to no other program. While it is held, a process that sets
// SO_REUSEADDR, as Go's listeners do, can listen on the port, and can do so again after a restart.
type Reservation struct {
	addr  string
	close func() error
}

// Addr returns the reserved address.
func (r *Reservation) Addr() string { return r.addr }

// Close releases the port.
func (r *Reservation) Close() error { return r.close() }
