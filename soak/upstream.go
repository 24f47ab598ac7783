package soak

// This file defines the upstreams: they run requests, sometimes badly, and write down
// which.

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/doormast/doormast/platform"
)

// upstream is one life of an upstream.
type upstream struct {
	id, domain string
	service    string
	born       int64 // Unix ms
	world      *world
	gate       *gate
	server     *http.Server
	coldTill   time.Time
	need       *need
	leaving    atomic.Bool // it says so in its answers
	pausing    atomic.Bool // it turns requests away, and asks for a pause

	mu   sync.Mutex
	runs map[string]int // events made, by request
}

// words are the deployment's, the same as the boxes use.
var words = platform.Protocol()

// startUpstream starts an upstream that is cold for a while.
func (w *world) startUpstream(i int, cold time.Duration) error {
	u, err := w.newUpstream(service, i, cold)
	if err != nil {
		return err
	}
	w.noteUpstream(u)
	w.upstreams = append(w.upstreams, u)
	w.list(u, false)
	return nil
}

// newUpstream starts an upstream that nobody knows of yet.
func (w *world) newUpstream(service string, i int, cold time.Duration) (*upstream, error) {
	l, err := w.listen(100)
	if err != nil {
		return nil, err
	}
	w.started++
	g, err := w.newGate(100, l.Addr().String())
	if err != nil {
		return nil, err
	}
	u := &upstream{id: fmt.Sprintf("u%d-%d", i, w.started), service: service, domain: domain(i), born: time.Now().UnixMilli(), world: w, gate: g,
		coldTill: time.Now().Add(cold), need: w.newNeed(), runs: make(map[string]int)}
	u.serve(l)
	return u, nil
}

// noteUpstream notes the present life of an upstream.
func (w *world) noteUpstream(u *upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives[u.id] = u
}

// upstreamOf is the last life of an upstream; nil where there was none.
func (w *world) upstreamOf(id string) *upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lives[id]
}

func (u *upstream) serve(l net.Listener) {
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: time.Second}
	go func() { _ = u.server.Serve(l) }()
}

func (u *upstream) close() {
	u.gate.close()
	u.crash()
}

// crash ends an upstream and all its connections at once; it says nothing of that.
func (u *upstream) crash() { _ = u.server.Close() }

// startAgain begins another life of an upstream that has crashed, under its id and address. It
// does nothing where the upstream was replaced meanwhile, or has started again.
func (w *world) startAgain(before *upstream) error {
	i := slices.Index(w.upstreams, before)
	if i < 0 {
		return nil
	}
	l, err := net.Listen("tcp", before.gate.target)
	if err != nil {
		return err
	}
	u := &upstream{id: before.id, service: before.service, domain: before.domain, born: max(time.Now().UnixMilli(), before.born+1), world: w, gate: before.gate,
		need: w.newNeed(), runs: make(map[string]int)}
	u.serve(l)
	w.noteUpstream(u)
	w.upstreams[i] = u
	w.list(u, false)
	return nil
}

const (
	eventsOfStream = 6
	eventPause     = 15 * time.Millisecond
	workLongest    = 30 // ms
)

// bodyOf is the answer to a request, which only that request can have.
func bodyOf(id string) string { return "answer to " + id + strings.Repeat(".", len(id)*8) }

func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// ServeHTTP runs a request as its id says: some are refused, cut or lost.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if u.leaving.Load() {
		w.Header().Set(words.Leaving, "1")
	}
	if call := words.ReportCall(); r.Method == call.Method && r.URL.Path == call.Path {
		u.report(w)
		return
	}
	id := r.Header.Get(words.RequestID)
	w.Header().Set(words.RequestID, id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // it broke off before it was whole
	}
	u.world.ledger.arrived(u, id, string(body), r.Header.Get(words.Customer), r.Header.Get(words.Instance))
	if r.Header.Get(words.Instance) != u.id {
		w.Header().Set(words.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.need.reached(u, u.world.ledger.boxOf(id))
	u.need.put(w.Header())
	if u.asksForPause(w, id) {
		return
	}
	switch luck := rand.IntN(100); {
	case string(body) == fatalBody:
		u.world.fatal.sentTo(u.world.ledger, id)
		u.world.endUnder(u)
		return
	case u.service == soundService:
	case luck < 4, u.fails():
		u.world.ledger.sentTo(u)
		w.Header().Set(words.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case luck < 7:
		u.world.ledger.sentTo(u)
		u.world.ledger.ran(id)
		hangUp(w) // its answer is lost
		return
	}
	u.world.ledger.sentTo(u)
	u.world.ledger.ran(id)
	u.note(id, 0)
	defer u.ended(id)
	w.Header().Set(words.Signature, u.id+" "+id)
	if isStream(r.URL.Path) {
		u.stream(w, r, id)
		return
	}
	time.Sleep(time.Duration(rand.IntN(workLongest)) * time.Millisecond)
	switch rand.IntN(spoiltShare) {
	case 0:
		cutAnswer(w, id)
	case 1:
		answerTwice(w, u.id, id)
	default:
		_, _ = io.WriteString(w, bodyOf(id))
	}
}

// spoiltShare is one in how many plain answers is spoilt in each way.
const spoiltShare = 20

// cutAnswer breaks off within an answer.
func cutAnswer(w http.ResponseWriter, id string) {
	body := bodyOf(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	hangUp(w)
}

// answerTwice answers an earlier request late, and then this one.
func answerTwice(w http.ResponseWriter, upstream, id string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	for _, of := range []string{"before-" + id, id} {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s %s\r\nContent-Length: %d\r\n\r\n%s",
			words.RequestID, of, words.Signature, upstream, of, len(bodyOf(of)), bodyOf(of))
	}
	_ = c.Close()
}

func isStream(path string) bool {
	return strings.HasPrefix(path, "/flow/") || strings.HasPrefix(path, "/fixed/")
}

// stream sends events; one in ten streams is cut within an event.
func (u *upstream) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, err := strconv.Atoi(r.Header.Get(words.LastEvent))
	if err != nil {
		from = 0
	}
	cut := eventsOfStream + 1
	if rand.IntN(10) == 0 {
		cut = 1 + rand.IntN(eventsOfStream)
	}
	for n := from + 1; n <= eventsOfStream; n++ {
		event := eventOf(id, n)
		if n == cut {
			event = event[:len(event)/2]
		}
		if _, err := io.WriteString(w, event); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		u.note(id, n)
		if n == cut {
			hangUp(w)
			return
		}
		time.Sleep(eventPause)
	}
}

// note notes how many events of a request were made.
func (u *upstream) note(id string, events int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[id] = events
}

func (u *upstream) ended(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.runs, id)
}

// report tells what runs.
func (u *upstream) report(w http.ResponseWriter) {
	u.mu.Lock()
	body, err := platform.EncodeReport(u.runs)
	u.mu.Unlock()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body)
}

// hangUp closes the connection under an answer.
func hangUp(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		reset(c)
	}
}
