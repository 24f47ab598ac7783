package standin

// This file defines the stand-in platform, which publishes the configuration table and the list
// of boxes, and counts reads. Invariant: over HTTP, only the operators' paths change what it
// publishes.

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

// Platform is a stand-in for the platform.
type Platform struct {
	*server
	mu         sync.Mutex
	changed    chan struct{} // closed and replaced at each change
	document   []byte
	revision   uint64
	list       platform.List
	down       bool
	stale      []byte // if set, served in place of document, to simulate a stale platform
	calls      int
	watches    int // watches in progress
	maxWatches int // highest number of concurrent watches
}

// NewPlatform starts a platform that listens on address.
func NewPlatform(address string) (*Platform, error) {
	p := &Platform{changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/table", func(w http.ResponseWriter, r *http.Request) { p.watch(w, r, p.tableAfter) })
	mux.HandleFunc("GET /v1/list", func(w http.ResponseWriter, r *http.Request) { p.watch(w, r, p.listAfter) })
	mux.HandleFunc("PUT /operators/table", p.putTable)
	mux.HandleFunc("PUT /operators/list", p.putList)
	mux.HandleFunc("GET /operators/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Calls()) })
	mux.HandleFunc("POST /operators/down", func(_ http.ResponseWriter, r *http.Request) { p.SetDown(r.FormValue("on") == "1") })
	var err error
	p.server, err = serve(address, mux)
	return p, err
}

// PlatformCalls holds the total of reads and the highest number of concurrent ones.
type PlatformCalls struct {
	Calls       int `json:"calls"`
	MostWatches int `json:"most_watches"`
}

// Calls returns the counters of reads.
func (p *Platform) Calls() PlatformCalls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PlatformCalls{p.calls, p.maxWatches}
}

// SetTable publishes a table under the next revision, which it returns.
func (p *Platform) SetTable(t *table.Table) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.document = t.WithRevision(p.revision).Document()
	p.notifyWatches()
	return p.revision
}

// SetRaw publishes a document without validating it, and returns the platform's next revision.
func (p *Platform) SetRaw(document []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.document = document
	p.notifyWatches()
	return p.revision
}

// SetList publishes a list of boxes under the next revision.
func (p *Platform) SetList(l platform.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.Revision = p.list.Revision + 1
	p.list = l
	p.notifyWatches()
}

// SetDown makes the platform answer every read with status 503, or serve again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyWatches()
}

// ServeOld makes the platform serve the given document to every read of the table, or the
// latest table again if document is nil.
func (p *Platform) ServeOld(document []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = document
	p.notifyWatches()
}

// notifyWatches makes all watches check for changes. The caller holds p.mu.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// tableAfter returns the table if it is newer than revision after, or nil.
func (p *Platform) tableAfter(after uint64) any {
	if p.stale != nil {
		return json.RawMessage(p.stale)
	}
	if p.document == nil || p.revision <= after {
		return nil
	}
	return json.RawMessage(p.document)
}

// listAfter returns the list if it is newer than revision after, or nil.
func (p *Platform) listAfter(after uint64) any {
	if p.list.Revision == 0 || p.list.Revision <= after {
		return nil
	}
	l := p.list
	return l
}

// watch serves a long poll: it responds as soon as there is a revision newer than the form
// value "after", or with status 304 when the duration "wait" has passed.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request, newer func(uint64) any) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := time.ParseDuration(r.FormValue("wait"))
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	p.countWatch(1)
	defer p.countWatch(-1)
	for {
		p.mu.Lock()
		down, v, changed := p.down, newer(after), p.changed
		p.mu.Unlock()
		switch {
		case down:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case v != nil:
			writeJSON(w, v)
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

// countWatch adds n to the watches in progress, and counts a call if n is positive.
func (p *Platform) countWatch(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n > 0 {
		p.calls++
	}
	p.watches += n
	p.maxWatches = max(p.maxWatches, p.watches)
}

// putTable publishes an operator's table. If-Match, if sent, names the revision that the edit
// is based on; the platform rejects the edit if the table has changed since.
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
	base, current := r.Header.Get("If-Match"), strconv.FormatUint(p.revision, 10)
	p.mu.Unlock()
	if base != "" && base != current {
		http.Error(w, "the table is at revision "+current, http.StatusPreconditionFailed)
		return
	}
	writeJSON(w, map[string]uint64{"revision": p.SetTable(t)})
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
