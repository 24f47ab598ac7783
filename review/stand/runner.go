package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Runner stands in for a runner. It reads one request after another on each connection and hands it to Serve.
type Runner struct {
	ID, Service, Zone, Address string
	Slots                      int

	// Serve answers a request, by writing to the connection; an error closes it.
	Serve func(c net.Conn, req *http.Request, body []byte) error

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// Start listens at an IP, on a free port.
func (r *Runner) Start(ip string) error {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	r.listener, r.Address, r.conns = l, l.Addr().String(), make(map[net.Conn]bool)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[c] = true
			r.mu.Unlock()
			go r.serve(c)
		}
	}()
	return nil
}

func (r *Runner) serve(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || r.Serve(c, req, body) != nil {
			return
		}
	}
}

// Stop ends the runner and its connections.
func (r *Runner) Stop() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Entry is the runner's item in the store.
func (r *Runner) Entry(state string, seq int) map[string]any {
	return map[string]any{"service": r.Service, "addr": r.Address, "zone": r.Zone, "version": "v1", "slots": r.Slots, "state": state, "coldLeftMs": 0,
		"stage": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": seq}
}

// Key is the key of the runner's item.
func (r *Runner) Key() string { return "servers/" + r.ID }

// Answer is a whole answer; without an id and a stamp those headers are left out.
func Answer(status int, id, stamp, kind, body string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "Request-Id: %s\r\n", id)
	}
	if stamp != "" {
		fmt.Fprintf(&b, "Server-Stamp: %s\r\n", stamp)
	}
	fmt.Fprintf(&b, "Content-Type: %s\r\nContent-Length: %d\r\n\r\n%s", kind, len(body), body)
	return []byte(b.String())
}

// StreamHead starts a stream of events.
func StreamHead(id, stamp string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, stamp)
}

// Chunk is one chunk of a body.
func Chunk(text string) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", len(text), text) }

// LastChunk ends a body.
var LastChunk = []byte("0\r\n\r\n")

// Stamp is a runner's stamp for a request.
func (r *Runner) Stamp(id string) string { return r.ID + "." + id }

// Record is the file in which a script writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

// NewRecord returns a record that writes to out.
func NewRecord(out io.Writer) *Record { return &Record{out: out, began: time.Now()} }

// Note writes a line with the time since the start in seconds.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
