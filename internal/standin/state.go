// Package standin provides small substitutes for the external systems, for tests over real
// sockets: a state service, and a cloud with its workers. They are written from the published
// protocol and use the standard library's HTTP, so that the project's own HTTP parser is tested
// against another implementation.
package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlwood/marlwood/internal/model"
)

type entry struct {
	value    json.RawMessage
	revision uint64
	lease    uint64
}

type change struct {
	Set      string          `json:"set,omitempty"`
	Delete   string          `json:"delete,omitempty"`
	Value    json.RawMessage `json:"value,omitempty"`
	Revision uint64          `json:"stamp"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// State is a stand-in for the state service.
type State struct {
	*httptest.Server
	mu       sync.Mutex
	keys     map[string]entry
	rev      uint64
	log      []change
	leases   map[uint64]*lease
	lastID   uint64
	refuse   bool
	maxDelay time.Duration // each response is delayed by up to this
	maxValue int           // limit of a value's bytes; 0: unlimited
	maxOps   int           // limit of a transaction's writes; 0: unlimited
	changed  chan struct{}
	fates    func(keys []string) Fate // chooses a transaction's fate by the keys that it writes; nil: all are Answered
	delayed  [][]byte                 // bodies of the transactions that Deliver will execute
	mux      *http.ServeMux
	jobs     map[string]*model.Job // descriptions of all jobs that were ever stored, by ID
	requests atomic.Int64          // number of requests
	writes   atomic.Int64          // puts and deletes, including those of transactions whose preconditions failed
}

// RequestCounts returns the numbers of requests so far, and of puts and deletes in them.
func (s *State) RequestCounts() (requests, writes int64) { return s.requests.Load(), s.writes.Load() }

// Value returns the value of a key, or nil if the key is not stored.
func (s *State) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key].value
}

// NewState starts a state service on a loopback port.
func NewState() *State {
	s := &State{keys: map[string]entry{}, leases: map[uint64]*lease{}, jobs: map[string]*model.Job{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key...}", s.get)
	mux.HandleFunc("GET /kv", s.list)
	mux.HandleFunc("POST /txn", s.txn)
	mux.HandleFunc("POST /holds", s.grantLease)
	mux.HandleFunc("POST /holds/{id}/touch", s.keepAlive)
	mux.HandleFunc("GET /changes", s.watch)
	s.mux = mux
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		s.mu.Lock()
		refuse, maxDelay := s.refuse, s.maxDelay
		s.expire()
		s.mu.Unlock()
		if refuse {
			reply(w, 503, map[string]string{"error": "trouble"})
			return
		}
		if r.Method == http.MethodPost && r.URL.Path == "/txn" {
			r = s.applyFate(r)
		}
		if maxDelay == 0 {
			mux.ServeHTTP(w, r)
			return
		}
		response := httptest.NewRecorder()
		mux.ServeHTTP(response, r)
		time.Sleep(rand.N(maxDelay))
		w.WriteHeader(response.Code)
		_, _ = w.Write(response.Body.Bytes())
	}))
	return s
}

// Fate says whether a transaction is executed at once and whether its response is lost.
type Fate int

// The fates of a transaction.
const (
	Answered   Fate = iota
	Unanswered      // executed at once; the response is lost
	Late            // executed later, by Deliver; there is no response
)

// Fates makes f choose the fate of each transaction from now on, by the keys that it writes.
func (s *State) Fates(f func(keys []string) Fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fates = f
}

// applyFate returns the transaction's request if the fate is Answered. Otherwise it aborts the
// request without a response, by a panic with http.ErrAbortHandler.
func (s *State) applyFate(r *http.Request) *http.Request {
	s.mu.Lock()
	fates := s.fates
	s.mu.Unlock()
	if fates == nil {
		return r
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r = txnRequest(body)
	var t struct {
		Writes []struct{ Set, Delete string }
	}
	_ = json.Unmarshal(body, &t) // the handler of transactions rejects a malformed body
	var keys []string
	for _, w := range t.Writes {
		keys = append(keys, w.Set+w.Delete)
	}
	switch fates(keys) {
	case Unanswered:
		s.mux.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	case Late:
		s.mu.Lock()
		s.delayed = append(s.delayed, body)
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	return r
}

func txnRequest(body []byte) *http.Request {
	return httptest.NewRequest(http.MethodPost, "/txn", bytes.NewReader(body))
}

// Deliver executes the transactions whose fate was Late, and returns their response statuses, which
// no client receives.
func (s *State) Deliver() (statuses []int) {
	s.mu.Lock()
	delayed := s.delayed
	s.delayed = nil
	s.mu.Unlock()
	for _, body := range delayed {
		w := httptest.NewRecorder()
		s.mux.ServeHTTP(w, txnRequest(body))
		statuses = append(statuses, w.Code)
	}
	return statuses
}

// Refuse starts or ends an outage. After the outage every lease has its full TTL.
func (s *State) Refuse(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = on
	for _, l := range s.leases {
		l.expires = time.Now().Add(l.ttl)
	}
}

// Slow delays each response from now on by a random time of up to by; 0 means no delay. Requests
// are still executed at once.
func (s *State) Slow(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxDelay = by
}

// Limit sets the limits of a value's bytes and of a transaction's writes from now on; 0: unlimited.
func (s *State) Limit(maxValue, maxOps int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxValue, s.maxOps = maxValue, maxOps
}

// Job returns the description of a job that was stored at some time, or nil if there was none. It
// stands for the description that users upload for the workers.
func (s *State) Job(id string) *model.Job {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[id]
}

// recordJob keeps the job description that a stored record contains, if there is one.
func (s *State) recordJob(value json.RawMessage) {
	var r struct {
		Job *model.Job `json:"job"`
	}
	if json.Unmarshal(value, &r) == nil && r.Job != nil && s.jobs[r.Job.ID] == nil {
		s.jobs[r.Job.ID] = r.Job
	}
}

// Has reports whether a key is stored.
func (s *State) Has(key string) bool { return s.Revision(key) != 0 }

// Revision returns the revision of a key's last change, or 0 if the key is not stored.
func (s *State) Revision(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key].revision
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// expire deletes expired leases and their keys, unless there is an outage.
func (s *State) expire() {
	if s.refuse {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			delete(s.leases, id)
			for k, e := range s.keys {
				if e.lease == id {
					s.rev++
					s.record(change{Delete: k, Revision: s.rev})
					delete(s.keys, k)
				}
			}
		}
	}
}

func (s *State) record(c change) {
	s.log = append(s.log, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *State) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.PathValue("key")
	e, ok := s.keys[key]
	if !ok {
		reply(w, 404, map[string]uint64{"ledgerRev": s.rev})
		return
	}
	reply(w, 200, map[string]any{"k": key, "value": e.value, "stamp": e.revision})
}

// Limits of a page of a listing.
const (
	pageItems = 1000
	pageBytes = 512 << 10
)

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	most, _ := strconv.Atoi(q.Get("most"))
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, q.Get("starts")) && k > q.Get("after") {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	pairs, bytes := []map[string]any{}, 0
	for _, k := range names[:min(most, len(names), pageItems)] {
		if bytes += len(k) + len(s.keys[k].value) + 40; bytes > pageBytes {
			break
		}
		pairs = append(pairs, map[string]any{"k": k, "value": s.keys[k].value, "stamp": s.keys[k].revision})
	}
	reply(w, 200, map[string]any{"pairs": pairs, "more": len(names) > len(pairs), "ledgerRev": s.rev})
}

// transaction is the body of a request to change keys under conditions.
type transaction struct {
	Guards []struct {
		K     string `json:"k"`
		Stamp uint64 `json:"stamp"`
	} `json:"guards"`
	Writes []keyWrite `json:"writes"`
}

// keyWrite sets or deletes one key.
type keyWrite struct {
	Set    string          `json:"set"`
	Value  json.RawMessage `json:"value"`
	Permit uint64          `json:"permit"`
	Delete string          `json:"delete"`
}

func (s *State) txn(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, 400, map[string]string{"error": "malformed"})
		return
	}
	s.writes.Add(int64(len(t.Writes)))
	s.mu.Lock()
	defer s.mu.Unlock()
	if problem := s.problemOf(&t); problem != "" {
		reply(w, 400, map[string]string{"error": problem})
		return
	}
	if failed := s.failedGuards(&t); len(failed) > 0 {
		reply(w, 409, map[string]any{"failed": failed, "ledgerRev": s.rev})
		return
	}
	if len(t.Writes) > 0 {
		s.rev++
	}
	for _, write := range t.Writes {
		s.apply(write)
	}
	reply(w, 200, map[string]uint64{"ledgerRev": s.rev})
}

// problemOf returns why a transaction is refused whatever its conditions, or "".
func (s *State) problemOf(t *transaction) string {
	for _, write := range t.Writes {
		if write.Set != "" && write.Permit != 0 && s.leases[write.Permit] == nil {
			return "no such lease"
		}
	}
	tooLarge := s.maxOps > 0 && (len(t.Writes) > s.maxOps || len(t.Guards) > 4*s.maxOps)
	for _, write := range t.Writes {
		tooLarge = tooLarge || (s.maxValue > 0 && len(write.Value) > s.maxValue)
	}
	if tooLarge {
		return "above the limits"
	}
	return ""
}

// failedGuards returns the keys that do not have the revision which a transaction requires.
func (s *State) failedGuards(t *transaction) (failed []string) {
	for _, guard := range t.Guards {
		if s.keys[guard.K].revision != guard.Stamp {
			failed = append(failed, guard.K)
		}
	}
	return failed
}

// apply applies a write at the present revision.
func (s *State) apply(write keyWrite) {
	if write.Set == "" {
		delete(s.keys, write.Delete)
		s.record(change{Delete: write.Delete, Revision: s.rev})
		return
	}
	s.keys[write.Set] = entry{write.Value, s.rev, write.Permit}
	if strings.HasPrefix(write.Set, "job") {
		s.recordJob(write.Value)
	}
	s.record(change{Set: write.Set, Value: write.Value, Revision: s.rev})
}

func (s *State) grantLease(w http.ResponseWriter, r *http.Request) {
	var h struct {
		TTL int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&h) != nil || h.TTL < 100 || h.TTL > 600000 {
		reply(w, 400, map[string]string{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(h.TTL) * time.Millisecond
	s.leases[s.lastID] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, 200, map[string]uint64{"permit": s.lastID})
}

func (s *State) keepAlive(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, 404, map[string]string{"error": "no such lease"})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, 200, map[string]uint64{"permit": id})
}

func (s *State) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	block, _ := strconv.Atoi(q.Get("blockMs"))
	end := time.After(time.Duration(block) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.log {
			if c.Revision > after && strings.HasPrefix(c.Set+c.Delete, q.Get("starts")) {
				events = append(events, c)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"ledgerRev": rev, "news": events})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, 200, map[string]any{"ledgerRev": rev, "news": events})
			return
		case <-r.Context().Done():
			return
		}
	}
}
