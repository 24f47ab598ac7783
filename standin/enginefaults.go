package standin

// This file defines what can be wrong with a stand-in engine, and how it turns requests away. The invariant: a request that is
// turned away has not run, and says so.

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// Faults are what can be wrong with an engine.
type Faults struct {
	Slow     float64 `json:"slow"`      // factor on the pace; 0 is none
	CutAfter int     `json:"cut_after"` // tokens after which each stream breaks; 0 is none
	Refuse   bool    `json:"refuse"`    // answer that nothing runs here
	Leaving  bool    `json:"leaving"`
	Announce bool    `json:"announce"` // say that it is leaving, and serve on
	Pause    float64 `json:"pause"`    // refuse and ask for a pause of so many seconds; 0 is none
	Drop     bool    `json:"drop"`     // close connections without an answer
	Gap      bool    `json:"gap"`      // lose cache events
	Hang     bool    `json:"hang"`     // accept and generate nothing
}

// SetFaults puts faults in force, also for what runs.
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

func (e *Engine) now() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// refuses reports whether all requests are turned away.
func (f Faults) refuses() bool { return f.Refuse || f.Leaving || f.Pause > 0 }

// refuse turns a request away.
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
