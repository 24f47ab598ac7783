package stand

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Item is an item of the store, or the tombstone of a deleted one.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Gone     bool   `json:"tombstone,omitempty"`
}

type page struct {
	Items    []Item `json:"items,omitempty"`
	Events   []Item `json:"events,omitempty"`
	Revision uint64 `json:"currentRev"`
	More     bool   `json:"truncated"`
}

// Store stands in for the platform's store.
type Store struct {
	Address string

	server *http.Server
	mu     sync.Mutex
	items  map[string]Item
	log    []Item
	rev    uint64
	change chan struct{}
	down   bool
}

// NewStore starts a store at an IP, on a free port.
func NewStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), items: make(map[string]Item), rev: 1, change: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes an item; the store's answer, at the return, is the acknowledgement.
func (s *Store) Put(key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.write(Item{Key: key, Value: text})
	return nil
}

// Delete removes an item.
func (s *Store) Delete(key string) { s.write(Item{Key: key, Gone: true}) }

func (s *Store) write(it Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it.Revision = s.rev
	if it.Gone {
		delete(s.items, it.Key)
	} else {
		it.Created = s.rev
		if old, ok := s.items[it.Key]; ok {
			it.Created = old.Created
		}
		s.items[it.Key] = it
	}
	s.log = append(s.log, it)
	close(s.change)
	s.change = make(chan struct{})
}

// SetDown makes the store answer every call with 503, or ends that. Calls that wait are cut.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.change)
	s.change = make(chan struct{})
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *Store) serveRange(w http.ResponseWriter, _ *http.Request) {
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	p := page{Revision: s.rev}
	for _, it := range s.items {
		p.Items = append(p.Items, it)
	}
	s.mu.Unlock()
	writePage(w, p)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("afterRev"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	change, idle := s.change, s.rev <= after && !s.down
	s.mu.Unlock()
	if idle {
		select {
		case <-change:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	p := page{Revision: s.rev}
	for _, it := range s.log {
		if it.Revision > after {
			p.Events = append(p.Events, it)
		}
	}
	s.mu.Unlock()
	writePage(w, p)
}

func writePage(w http.ResponseWriter, p page) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p) // the box has disconnected, or gets a truncated body
}
