// Command 1 shows that a box ends a stream as complete whose run was stopped for its move.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/doormast/doormast/review/stand"
)

const (
	length   = 60 * time.Second
	runners  = 7
	slowFrom = 10 * time.Second // the first of the times at which the slow runner is slow, one every 10 s
	slowFor  = 5 * time.Second
	slowBy   = 4
	maxShare = 0.02 // of the slow runner's answers that have no length, meanwhile
	events   = 50
	gap      = 20 * time.Millisecond // between two events of a stream
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: 1 DOORMASTD DIR RECORD")
		os.Exit(2)
	}
	code, err := run(os.Args[1], os.Args[2], os.Args[3], os.Getenv("TROUBLE"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// world is what the clients and the runners share.
type world struct {
	record  *stand.Record
	slows   bool // a runner turns slow at times
	garbles bool // some of its answers lack a length meanwhile
	resets  bool // runners reset the connections of such answers where they stop their runs
	began   time.Time
	handles atomic.Int64

	sent, answered, refused, cut, broken, moves, unframed atomic.Int64
}

// slow reports whether it is a time at which the slow runner is slow.
func (w *world) slow() bool {
	t := time.Since(w.began) - slowFrom
	return w.slows && t >= 0 && t%(10*time.Second) < slowFor
}

// streamRun is a stream that a runner is making.
type streamRun struct {
	made int
	stop chan struct{} // closed when it is to stop
	done chan struct{} // closed when it has ended
}

// engine is the state of a runner.
type engine struct {
	*stand.Runner
	world  *world
	isSlow bool // at times

	mu       sync.Mutex
	answers  int // while it is slow
	unframed int // of them, those without a length
	runs     map[string]*streamRun
}

// counted counts an answer and reports whether it is sent without a length.
func (e *engine) counted(isStream bool) bool {
	if !e.isSlow || !e.world.slow() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers++
	if !isStream || !e.world.garbles || float64(e.unframed+1) > maxShare*float64(e.answers) {
		return false
	}
	e.unframed++
	return true
}

func (e *engine) serve(c net.Conn, req *http.Request, body []byte) error {
	id := req.Header.Get("Request-Id")
	switch path := req.URL.Path; {
	case path == "/report":
		_, err := c.Write(stand.Answer(http.StatusOK, "", "", "application/json", e.report()))
		return err
	case path == "/kv-move":
		return e.move(c, body)
	case strings.HasPrefix(path, "/kv-handle/"):
		_, err := c.Write(stand.Answer(http.StatusOK, "", "", "text/plain", ""))
		return err
	case strings.HasPrefix(path, "/draft/"):
		return e.stream(c, req, id)
	}
	e.counted(false)
	time.Sleep(time.Duration(1+rand.IntN(4)) * time.Millisecond)
	_, err := c.Write(stand.Answer(http.StatusOK, id, e.Stamp(id), "text/plain", answer(id)))
	return err
}

func answer(id string) string { return "the answer to " + id }

func (e *engine) report() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := []any{}
	for id, r := range e.runs {
		list = append(list, []any{id, 300, r.made, 0})
	}
	text, _ := json.Marshal(map[string]any{"stage": "colocated", "models": []any{}, "busy": false, "seq": 0, "waiting": 0, "running": len(list),
		"kvUsed": 300 * len(list), "kvTotal": 400000, "kvHandles": 0, "state": "ready", "nextToken": 0, "runs": list})
	return string(text)
}

// move stops a run and answers once its memory is copied.
func (e *engine) move(c net.Conn, body []byte) error {
	var call struct {
		ID string `json:"id"`
		To string `json:"targetVersion"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return err
	}
	e.mu.Lock()
	r := e.runs[call.ID]
	delete(e.runs, call.ID)
	e.mu.Unlock()
	if r == nil {
		_, err := c.Write(stand.Answer(http.StatusNotFound, "", "", "application/json", "{}"))
		return err
	}
	close(r.stop)
	<-r.done
	e.world.moves.Add(1)
	e.world.record.Note("runner %s stops %s after event %d, to move it to %s", e.ID, call.ID, r.made, call.To)
	time.Sleep(30 * time.Millisecond) // the copy
	text := fmt.Sprintf(`{"kvHandle":"h%d","created":%d}`, e.world.handles.Add(1), r.made)
	_, err := c.Write(stand.Answer(http.StatusOK, "", "", "application/json", text))
	return err
}

// errStopped closes a connection on which a run was stopped, or an answer without a length ends.
var errStopped = errors.New("stopped")

// stream makes the events of a stream after the last one that the request names.
func (e *engine) stream(c net.Conn, req *http.Request, id string) error {
	unframed := e.counted(true)
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	r := &streamRun{made: after, stop: make(chan struct{}), done: make(chan struct{})}
	e.mu.Lock()
	e.runs[id] = r
	e.mu.Unlock()
	defer close(r.done)
	e.world.record.Note("runner %s runs %s after event %d, Kv-From %q, without a length: %v", e.ID, id, after, req.Header.Get("Kv-From"), unframed)
	head, chunk := string(stand.StreamHead(id, e.Stamp(id))), stand.Chunk
	if unframed {
		e.world.unframed.Add(1)
		head = strings.Replace(head, "Transfer-Encoding: chunked\r\n", "", 1)
		chunk = func(text string) []byte { return []byte(text) }
	}
	if _, err := c.Write([]byte(head)); err != nil {
		return err
	}
	for n := after + 1; n <= events; n++ {
		pause := gap
		if e.isSlow && e.world.slow() {
			pause *= slowBy
		}
		select {
		case <-r.stop:
			if tcp, ok := c.(*net.TCPConn); ok && unframed && e.world.resets {
				_ = tcp.SetLinger(0)
			}
			return errStopped // its stream is closed without its end
		case <-time.After(pause):
		}
		if _, err := c.Write(chunk(fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n))); err != nil {
			e.forget(id)
			return err
		}
		e.mu.Lock()
		r.made = n
		e.mu.Unlock()
	}
	e.forget(id)
	if unframed {
		return errStopped
	}
	_, err := c.Write(stand.LastChunk)
	return err
}

func (e *engine) forget(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.runs, id)
}

// request sends a request on a connection and judges the answer; false: the connection is no longer to be used.
func (w *world) request(c net.Conn, in *bufio.Reader, id, path string) bool {
	method, more := http.MethodGet, ""
	isStream := strings.HasPrefix(path, "/draft/")
	if isStream {
		method = http.MethodPost
		more = fmt.Sprintf("Model: m\r\nToken-Count: 200,80\r\nLength-Hint: %d\r\nPrefix-Hash: 5c1e07a2:100,%x:100\r\nContent-Length: 0\r\n", events, rand.Uint32())
	}
	w.sent.Add(1)
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nX-Api-Key: %s\r\n%s\r\n", method, path, stand.Host, id, stand.Key, more)
	if err != nil {
		w.cut.Add(1)
		return false
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		w.cut.Add(1)
		return false
	}
	got, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	switch {
	case err != nil:
		w.cut.Add(1)
		w.record.Note("client got %s broken off", id)
		return false
	case resp.StatusCode != http.StatusOK:
		w.refused.Add(1)
		w.record.Note("client got %d for %s", resp.StatusCode, id)
	case isStream && string(got) != wholeStream(id):
		w.broken.Add(1)
		w.record.Note("ORDER: client got %s as complete, with %d of %d events", id, strings.Count(string(got), "data: "+id+" "), events)
	case !isStream && string(got) != answer(id):
		w.broken.Add(1)
		w.record.Note("client got another answer for %s: %.80q", id, got)
	default:
		w.answered.Add(1)
	}
	return !resp.Close
}

func wholeStream(id string) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d\n\n", n, id, n)
	}
	return b.String()
}

// client sends requests one after another on a kept connection until the end.
func (w *world) client(n int, box *stand.Box, path string, pause time.Duration) {
	var c net.Conn
	var in *bufio.Reader
	for i := 0; time.Since(w.began) < length; i++ {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", box.Callers(), time.Second); err != nil {
				c = nil
				time.Sleep(pause)
				continue
			}
			in = bufio.NewReader(c)
		}
		if !w.request(c, in, fmt.Sprintf("%s-%d-%d", strings.Trim(path, "/"), n, i), path+"2f") {
			_ = c.Close()
			c = nil
		}
		time.Sleep(pause)
	}
	if c != nil {
		_ = c.Close()
	}
}

func (w *world) startRunners(lo stand.Net, store *stand.Store) ([]*engine, error) {
	var list []*engine
	for i := range runners {
		e := &engine{Runner: &stand.Runner{ID: fmt.Sprintf("i-%d", i+1), Service: "llm", Zone: "zone-a", Slots: 64}, world: w, isSlow: i == 0, runs: make(map[string]*streamRun)}
		e.Serve = e.serve
		if err := e.Start(lo.IP(100 + i)); err != nil {
			return list, err
		}
		list = append(list, e)
		if err := store.Put(e.Key(), e.Entry("ready", 1)); err != nil {
			return list, err
		}
	}
	return list, nil
}

// run plays the case. trouble 0 leaves both disruptions out, and slow only that answers lack a length; with reset, runners
// reset the connections of such answers where they stop their runs.
func run(program, dir, file, trouble string) (int, error) {
	out, err := os.Create(file)
	if err != nil {
		return 2, err
	}
	defer func() { _ = out.Close() }()
	w := &world{record: stand.NewRecord(out), slows: trouble != "0", garbles: trouble != "0" && trouble != "slow", resets: trouble == "reset", began: time.Now()}
	lo, err := stand.NewNet()
	if err != nil {
		return 2, err
	}
	store, err := stand.NewStore(lo.IP(2))
	if err != nil {
		return 2, err
	}
	defer store.Close()
	routes := []stand.Route{
		{Name: "draft", Prefix: "/draft/", Kind: "streaming", Service: "llm", TimeoutMs: 3000, TargetMs: 1500, Attempts: 2, Sticky: true, Resumable: true, GapMs: 500},
		{Name: "lookup", Prefix: "/lookup/", Kind: "safe", Service: "llm", TimeoutMs: 3000, TargetMs: 150, Attempts: 2},
	}
	if err := store.Put("op/config", stand.EngineConfig(7, routes, "llm", 15000)); err != nil {
		return 2, err
	}
	engines, err := w.startRunners(lo, store)
	for _, e := range engines {
		defer e.Stop()
	}
	if err != nil {
		return 2, err
	}
	boxes, err := stand.Deployment{Program: program, Dir: dir, Net: lo, Store: store.Address, Zones: []string{"zone-a", "zone-a"}}.Boxes()
	if err != nil {
		return 2, err
	}
	for _, b := range boxes {
		if err := b.Start(); err != nil {
			return 2, err
		}
		defer b.Kill()
	}
	if err := stand.AwaitReady(boxes, 10*time.Second); err != nil {
		return 2, err
	}
	time.Sleep(3 * time.Second)
	w.began = time.Now()
	var all sync.WaitGroup
	for n, b := range boxes {
		for k := range 12 {
			all.Go(func() { w.client(n*100+k, b, "/draft/", 100*time.Millisecond) })
		}
		for k := range 12 {
			all.Go(func() { w.client(n*100+k, b, "/lookup/", 20*time.Millisecond) })
		}
	}
	all.Wait()
	w.record.Note("sent %d, answered %d, refused %d, cut %d; %d streams stopped to move, %d without a length; ended as complete before their last event: %d",
		w.sent.Load(), w.answered.Load(), w.refused.Load(), w.cut.Load(), w.moves.Load(), w.unframed.Load(), w.broken.Load())
	switch {
	case w.broken.Load() > 0:
		return 1, nil
	case w.answered.Load() == 0 || w.slows && w.moves.Load() == 0 || w.garbles && w.unframed.Load() == 0:
		return 2, errors.New("the case did not run")
	}
	return 0, nil
}
