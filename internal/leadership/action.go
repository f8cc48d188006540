package leadership

// Key is the store key that elects the leader. Its revision is the fencing token.
const Key = "leader"

// LeaderRecord is the value stored under Key. Boot and Attempt make every attempt of every process distinct,
// so that a process that reads the key can recognise its own attempt whose response was lost. Lease is the
// store lease that the key is attached to; 0 means that an earlier version wrote the record.
type LeaderRecord struct {
	Member  string `json:"member"`
	Boot    string `json:"boot"`
	Attempt int    `json:"claim"`
	Lease   uint64 `json:"hold,omitempty"`
}

// Action is a request that the caller must send.
type Action struct {
	Op       Op
	Record   LeaderRecord // WriteKey: the value to write
	Revision uint64       // WriteKey: the revision that the key must have; 0: the key must be absent
	Lease    uint64       // WriteKey: the lease to attach the key to; KeepAlive: the lease to keep alive
}

// Op is the kind of an Action.
type Op int

// The kinds of actions, each with the Elector methods that report its outcome.
const (
	ReadKey    Op = iota // read the key: KeyRead or ReadFailed
	GrantLease           // create a lease: LeaseGranted or LeaseFailed
	WriteKey             // compare-and-swap the key: KeyWritten
	KeepAlive            // extend the lease: KeepAliveDone
)
