// Package loopback reserves ports of the loopback interface for processes that will listen on them later.
//
// A port that was found free and given back may be another program's before the process listens on it: the system
// gives free ports to outgoing connections and to listeners that ask for any.
package loopback

// Reservation is a port that the system gives to nobody else. A process that sets SO_REUSEADDR, as listeners of Go do,
// can listen on it meanwhile, and again after it has ended.
type Reservation struct {
	addr  string
	close func() error
}

// Addr returns the reserved address.
func (r *Reservation) Addr() string { return r.addr }

// Close gives the port back.
func (r *Reservation) Close() error { return r.close() }
