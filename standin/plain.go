package standin

// This file defines the stand-in for a plain HTTP service. It counts executions by request body,
// so that tests can check that each request was executed at most once.

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// PlainFaults are the faults injected into a plain service; the zero value is none.
type PlainFaults struct {
	DropAfter bool `json:"drop_after"` // execute, then close the connection without a response
	Refuse    bool `json:"refuse"`     // reject requests as not executed
	DelayMS   int  `json:"delay_ms"`   // delay before the response, in milliseconds
	// What the header of a response starts with, such as a malformed status line or field; empty: what it has to.
	Start string `json:"start"`
}

// Plain is a stand-in for a plain HTTP service.
type Plain struct {
	*server
	mu         sync.Mutex
	faults     PlainFaults
	executions map[string]int
	total      int
}

// NewPlain starts a plain service that listens on address.
func NewPlain(address string) (*Plain, error) {
	p := &Plain{executions: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /executions", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Executions()) })
	mux.HandleFunc("POST /faults", p.putFaults)
	mux.HandleFunc("/", p.execute)
	var err error
	p.server, err = serve(address, mux)
	return p, err
}

// SetFaults replaces the injected faults.
func (p *Plain) SetFaults(f PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

func (p *Plain) putFaults(w http.ResponseWriter, r *http.Request) {
	var f PlainFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

// Executions returns the number of executions by request body.
func (p *Plain) Executions() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.executions))
	for k, n := range p.executions {
		out[k] = n
	}
	return out
}

// execute counts a request and echoes its body.
func (p *Plain) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	p.mu.Lock()
	f := p.faults
	if f.Refuse {
		p.mu.Unlock()
		w.Header().Set("X-Ran", "no")
		http.Error(w, "nothing runs here", http.StatusServiceUnavailable)
		return
	}
	p.executions[string(body)]++
	p.total++
	n := p.total
	p.mu.Unlock()
	if f.DelayMS > 0 {
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	}
	if f.DropAfter {
		panic(http.ErrAbortHandler)
	}
	if f.Start != "" {
		writeStart(w, f.Start, string(body))
		return
	}
	writeJSON(w, map[string]any{"executed": n, "echo": string(body)})
}

// writeStart writes a response whose header starts with the lines of start, and ends its connection.
func writeStart(w http.ResponseWriter, start, body string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "%s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", start, len(body), body)
}
