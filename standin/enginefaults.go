package standin

// This file defines the faults that can be injected into a stand-in engine, and the rejection of
// requests. Invariant: a rejected request has not run, and its response says so.

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// Faults are the faults injected into an engine; the zero value is none.
type Faults struct {
	Slow     float64 `json:"slow"`      // multiplies the time per token; 0 is off
	CutAfter int     `json:"cut_after"` // tokens after which each stream's connection is closed; 0 is off
	Refuse   bool    `json:"refuse"`    // reject all requests as not executed
	Leaving  bool    `json:"leaving"`   // reject all requests, and say that the engine is shutting down
	Announce bool    `json:"announce"`  // say that the engine is shutting down, but keep serving
	Pause    float64 `json:"pause"`     // reject all requests with this Retry-After, in seconds; 0 is off
	Drop     bool    `json:"drop"`      // close connections without a response
	Gap      bool    `json:"gap"`       // omit cache events from reports
	Hang     bool    `json:"hang"`      // accept requests but generate no tokens
}

// SetFaults replaces the injected faults, also for runs in progress.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}

// currentFaults returns the injected faults.
func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// refuses reports whether all requests are rejected.
func (f Faults) refuses() bool { return f.Refuse || f.Leaving || f.Pause > 0 }

// refuse rejects a request with status 503 and marks it as not executed.
func (e *Engine) refuse(w http.ResponseWriter, f Faults) {
	e.mu.Lock()
	e.refused++
	e.mu.Unlock()
	w.Header().Set("X-Ran", "no")
	if f.Leaving {
		w.Header().Set("X-Leaving", "1")
	}
	if f.Pause > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(f.Pause, 'f', -1, 64))
	}
	http.Error(w, "nothing runs here", http.StatusServiceUnavailable)
}
