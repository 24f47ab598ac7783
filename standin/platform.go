package standin

// This file defines the stand-in platform: it publishes a table and a list, and
// counts who asks. Only the operators' side of it can be written to.

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/doormast/doormast/internal/platform"
	"github.com/doormast/doormast/table"
)

// Platform is a stand-in platform.
type Platform struct {
	*server
	mu       sync.Mutex
	changed  chan struct{}
	document []byte
	revision uint64
	list     platform.List
	down     bool
	old      []byte // served instead of the document, to play a stale platform
	calls    int
	watches  int
	most     int // watches at once
}

// NewPlatform starts a platform at address.
func NewPlatform(address string) (*Platform, error) {
	p := &Platform{changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/table", func(w http.ResponseWriter, r *http.Request) { p.watch(w, r, p.newTable) })
	mux.HandleFunc("GET /v1/list", func(w http.ResponseWriter, r *http.Request) { p.watch(w, r, p.newList) })
	mux.HandleFunc("PUT /operators/table", p.putTable)
	mux.HandleFunc("PUT /operators/list", p.putList)
	mux.HandleFunc("GET /operators/calls", func(w http.ResponseWriter, _ *http.Request) { reply(w, p.Calls()) })
	mux.HandleFunc("POST /operators/down", func(_ http.ResponseWriter, r *http.Request) { p.SetDown(r.FormValue("on") == "1") })
	var err error
	p.server, err = serve(address, mux)
	return p, err
}

// PlatformCalls counts what the platform was asked.
type PlatformCalls struct {
	Calls       int `json:"calls"`
	MostWatches int `json:"most_watches"`
}

// Calls returns the counts.
func (p *Platform) Calls() PlatformCalls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PlatformCalls{p.calls, p.most}
}

// SetTable publishes a table and returns its revision.
func (p *Platform) SetTable(t *table.Table) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.document = t.WithRevision(p.revision).Document()
	p.wake()
	return p.revision
}

// SetRaw publishes a document as it is, right or wrong.
func (p *Platform) SetRaw(document []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.document = document
	p.wake()
	return p.revision
}

// SetList publishes a list.
func (p *Platform) SetList(l platform.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.Revision = p.list.Revision + 1
	p.list = l
	p.wake()
}

// SetDown makes the platform fail every call, or work again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wake()
}

// ServeOld makes the platform serve an old document, or the newest if nil.
func (p *Platform) ServeOld(document []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.old = document
	p.wake()
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) newTable(after uint64) any {
	if p.old != nil {
		return json.RawMessage(p.old)
	}
	if p.document == nil || p.revision <= after {
		return nil
	}
	return json.RawMessage(p.document)
}

func (p *Platform) newList(after uint64) any {
	if p.list.Revision == 0 || p.list.Revision <= after {
		return nil
	}
	l := p.list
	return l
}

// watch answers once there is something newer than the caller has, or its time
// is over.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request, newer func(uint64) any) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := time.ParseDuration(r.FormValue("wait"))
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	p.enter(1)
	defer p.enter(-1)
	for {
		p.mu.Lock()
		down, v, changed := p.down, newer(after), p.changed
		p.mu.Unlock()
		switch {
		case down:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case v != nil:
			reply(w, v)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) enter(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n > 0 {
		p.calls++
	}
	p.watches += n
	p.most = max(p.most, p.watches)
}

// putTable takes an operator's edit. If-Match names the revision that it was
// made from, so that of two racing edits one fails.
func (p *Platform) putTable(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, table.MaxSize+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t, err := table.Parse("table", body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	p.mu.Lock()
	from, current := r.Header.Get("If-Match"), strconv.FormatUint(p.revision, 10)
	p.mu.Unlock()
	if from != "" && from != current {
		http.Error(w, "the table is at revision "+current, http.StatusPreconditionFailed)
		return
	}
	reply(w, map[string]uint64{"revision": p.SetTable(t)})
}

func (p *Platform) putList(w http.ResponseWriter, r *http.Request) {
	var l platform.List
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetList(l)
	w.WriteHeader(http.StatusNoContent)
}
