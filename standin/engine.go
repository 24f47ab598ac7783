package standin

// This file defines the stand-in engine: a token stream, pause and resume, cancel, a prefix
// cache of limited size with numbered events, and faults. Its slots stand in engineslots.go,
// reports and orders in enginereport.go. The invariant: a run that ends gives its slot back.

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	Address     string
	Model       string
	Slots       int
	Pace        time.Duration // for one token
	Prefill     time.Duration // before the first token, less with a cached prefix
	CacheSize   int           // prefixes held
	ReportLag   time.Duration // age of what reports say
	ChecksFence bool
	LoadTime    time.Duration // to load a model
}

// Engine is a stand-in engine.
type Engine struct {
	*server
	cfg       EngineConfig
	mu        sync.Mutex
	faults    Faults
	running   int
	queue     slotQueue
	runs      map[string]*engineRun
	paused    map[string]int // tokens generated of paused runs
	cache     []uint64
	events    []engineEvent
	sequence  uint64
	samples   []engineSample
	fence     uint64
	loaded    []string
	model     string
	loadedAt  time.Time
	generated int // tokens, in all
	refused   int
	started   map[string]int
}

type engineRun struct {
	stop   chan struct{}
	once   sync.Once
	paused bool
}

type engineEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix,string"`
	Evicted  bool   `json:"evicted,omitempty"`
}

type engineSample struct {
	at      time.Time
	running int
	waiting int
}

// NewEngine starts an engine.
func NewEngine(cfg EngineConfig) (*Engine, error) {
	if cfg.CacheSize == 0 {
		cfg.CacheSize = 64
	}
	e := &Engine{cfg: cfg, model: cfg.Model, runs: make(map[string]*engineRun), paused: make(map[string]int), started: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.generate)
	mux.HandleFunc("POST /control/cancel", func(w http.ResponseWriter, r *http.Request) { e.stopRun(r.FormValue("id"), false) })
	mux.HandleFunc("POST /control/pause", func(w http.ResponseWriter, r *http.Request) { e.stopRun(r.FormValue("id"), true) })
	mux.HandleFunc("GET /control/report", e.report)
	mux.HandleFunc("POST /control/order", e.order)
	mux.HandleFunc("POST /faults", e.putFaults)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.Counts()) })
	var err error
	e.server, err = serve(cfg.Address, mux)
	return e, err
}

// EngineCounts is what an engine has done.
type EngineCounts struct {
	Generated int            `json:"generated"` // tokens
	Running   int            `json:"running"`
	Refused   int            `json:"refused"` // turned away for a fault
	Starts    map[string]int `json:"starts"`  // by request id
}

// Counts returns what the engine has done.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	starts := make(map[string]int, len(e.started))
	for id, n := range e.started {
		starts[id] = n
	}
	return EngineCounts{e.generated, e.running, e.refused, starts}
}

type engineRequest struct {
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
}

// AnswerLength is how many tokens the stand-in generates for a last message: the
// number after "len=" in it, or one drawn from its hash.
func AnswerLength(last string, maxTokens int) int {
	n := 20 + int(textHash(last)%60)
	if _, after, ok := strings.Cut(last, "len="); ok {
		if _, err := fmt.Sscanf(after, "%d", &n); err != nil {
			n = 1
		}
	}
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return max(n, 1)
}

// AnswerToken is the token at place i of the answer to a last message.
func AnswerToken(last string, i int) string {
	return fmt.Sprintf("%08x.%d ", uint32(textHash(last)), i)
}

func textHash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	f := e.now()
	switch {
	case f.Drop:
		panic(http.ErrAbortHandler)
	case f.refuses():
		e.refuse(w, f)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, 8<<20))
	var req engineRequest
	if err != nil || json.Unmarshal(body, &req) != nil || len(req.Messages) == 0 {
		w.Header().Set("X-Ran", "no")
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	last := string(req.Messages[len(req.Messages)-1])
	id := r.Header.Get("X-Request-Id")
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	run := e.begin(id)
	defer e.finish(id, run)
	if !e.acquire(r, run, priority) {
		return
	}
	defer e.release()
	prefix := uint64(0)
	if len(req.Messages) > 1 {
		prefix = xxhash.Sum64(req.Messages[0])
	}
	e.stream(w, r, &engineStream{id: id, last: last, from: from, total: AnswerLength(last, req.MaxTokens),
		run: run, prefill: e.prefill(id, prefix)})
}

func (e *Engine) begin(id string) *engineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	run := &engineRun{stop: make(chan struct{})}
	e.runs[id] = run
	e.started[id]++
	return run
}

func (e *Engine) finish(id string, run *engineRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[id] == run {
		delete(e.runs, id)
	}
}

func (e *Engine) stopRun(id string, pause bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if run := e.runs[id]; run != nil {
		run.once.Do(func() {
			run.paused = pause
			close(run.stop)
		})
	}
	if !pause {
		delete(e.paused, id)
	}
}

// prefill is how long the prompt takes: a tenth if its prefix is cached or the
// run is resumed.
func (e *Engine) prefill(id string, prefix uint64) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.paused[id]; ok {
		delete(e.paused, id)
		return e.cfg.Prefill / 10
	}
	if prefix == 0 {
		return e.cfg.Prefill
	}
	for _, p := range e.cache {
		if p == prefix {
			return e.cfg.Prefill / 10
		}
	}
	e.cache = append(e.cache, prefix)
	e.announce(engineEvent{Prefix: prefix})
	if len(e.cache) > e.cfg.CacheSize {
		e.announce(engineEvent{Prefix: e.cache[0], Evicted: true})
		e.cache = e.cache[1:]
	}
	return e.cfg.Prefill
}

// eventsHeld bounds the cache events that can still be asked for.
const eventsHeld = 256

func (e *Engine) announce(ev engineEvent) {
	ev.Sequence = uint64(1)
	if n := len(e.events); n > 0 {
		ev.Sequence = e.events[n-1].Sequence + 1
	}
	e.events = append(e.events, ev)
	if len(e.events) > eventsHeld {
		e.events = e.events[1:]
	}
}

// engineStream is one answer being generated.
type engineStream struct {
	id      string
	last    string
	from    int
	total   int
	run     *engineRun
	prefill time.Duration
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *engineStream) {
	if e.now().Announce {
		w.Header().Set("X-Leaving", "1")
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	if !e.pass(r, s.run, s.prefill) {
		e.endEarly(w, s, s.from)
		return
	}
	for i := s.from; i < s.total; i++ {
		f := e.now()
		if f.CutAfter > 0 && i-s.from >= f.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if f.Hang {
			e.pass(r, s.run, time.Hour)
			return
		}
		pace := e.cfg.Pace
		if f.Slow > 0 {
			pace = time.Duration(float64(pace) * f.Slow)
		}
		if !e.pass(r, s.run, pace) {
			e.endEarly(w, s, i)
			return
		}
		e.count()
		if _, err := fmt.Fprintf(w, "data: {\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n",
			e.cfg.Model, AnswerToken(s.last, i)); err != nil {
			return
		}
		flusher.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func (e *Engine) count() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.generated++
}

// pass lets time pass; false means that the run was stopped meanwhile.
func (e *Engine) pass(r *http.Request, run *engineRun, d time.Duration) bool {
	if d <= 0 {
		select {
		case <-run.stop:
			return false
		default:
			return r.Context().Err() == nil
		}
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-run.stop:
	case <-r.Context().Done():
	}
	return false
}

// endEarly ends a run that was paused; one that was cancelled just stops.
func (e *Engine) endEarly(w http.ResponseWriter, s *engineStream, at int) {
	e.mu.Lock()
	paused := s.run.paused
	if paused {
		e.paused[s.id] = at
	}
	e.mu.Unlock()
	if paused {
		_, _ = io.WriteString(w, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"paused\"}]}\n\n")
	}
}
