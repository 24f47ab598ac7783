package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item, or an event, in the store's format.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is a stand-in of the platform's store: reads, pages and watches of items.
type Store struct {
	listener net.Listener

	mu       sync.Mutex
	items    map[string]storeItem
	log      []storeItem
	revision uint64
	changed  chan struct{} // closed, and replaced, at each change
	delay    time.Duration // of each answer
}

// pageSize is the number of items in a page.
const pageSize = 500

// NewStore starts a store on a free port of an IP.
func NewStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: l, items: make(map[string]storeItem), revision: 100, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.readRange)
	mux.HandleFunc("GET /kv-watch", s.watch)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// Address returns IP:port of the store.
func (s *Store) Address() string { return s.listener.Addr().String() }

// SetDelay sets how long each answer takes.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Put writes an item, as JSON unless it is a slice of bytes.
func (s *Store) Put(key string, value any) {
	b, isRaw := value.([]byte)
	if !isRaw {
		b, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	created := s.revision + 1
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.revision++
	it := storeItem{Key: key, Value: b, Revision: s.revision, Created: created}
	s.items[key] = it
	s.append(it)
}

// Delete removes an item.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.append(storeItem{Key: key, Revision: s.revision, Tombstone: true})
}

// append adds an event and wakes the watches. The caller holds mu.
func (s *Store) append(it storeItem) {
	s.log = append(s.log, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) wait() {
	s.mu.Lock()
	d := s.delay
	s.mu.Unlock()
	time.Sleep(d)
}

func (s *Store) readRange(w http.ResponseWriter, r *http.Request) {
	s.wait()
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("afterRev")
	s.mu.Lock()
	page := struct {
		Items     []storeItem `json:"items"`
		Truncated bool        `json:"truncated"`
		Revision  uint64      `json:"currentRev"`
	}{Items: []storeItem{}, Revision: s.revision}
	for _, it := range s.items {
		if strings.HasPrefix(it.Key, prefix) && it.Key > after {
			page.Items = append(page.Items, it)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(page.Items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Items) > pageSize {
		page.Items, page.Truncated = page.Items[:pageSize], true
	}
	writeJSON(w, page)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("pathPrefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("afterRev"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	answer := struct {
		Events   []storeItem `json:"events"`
		Revision uint64      `json:"currentRev"`
	}{Events: []storeItem{}}
	for over := false; ; {
		s.mu.Lock()
		changed := s.changed
		for _, it := range s.log {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				answer.Events = append(answer.Events, it)
			}
		}
		answer.Revision = s.revision
		s.mu.Unlock()
		if len(answer.Events) > 0 || over {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
	s.wait()
	writeJSON(w, answer)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// Proxy leads one box to the store. While it is silent, it forwards nothing and accepts nothing new,
// as a partition does that drops packets.
type Proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	silent bool
	opened chan struct{} // closed, and replaced, when the proxy forwards again
}

// NewProxy starts a proxy on a free port of an IP.
func NewProxy(ip, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, opened: make(chan struct{})}
	go p.accept()
	return p, nil
}

// Address returns IP:port of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetSilent stops or resumes forwarding.
func (p *Proxy) SetSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent && !silent {
		close(p.opened)
		p.opened = make(chan struct{})
	}
	p.silent = silent
}

// awaitOpen waits while the proxy is silent.
func (p *Proxy) awaitOpen() {
	for {
		p.mu.Lock()
		silent, opened := p.silent, p.opened
		p.mu.Unlock()
		if !silent {
			return
		}
		<-opened
	}
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *Proxy) forward(c net.Conn) {
	p.awaitOpen()
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	go p.copy(up, c)
	p.copy(c, up)
}

// copy copies one direction until it ends, and closes both.
func (p *Proxy) copy(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		p.awaitOpen()
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
