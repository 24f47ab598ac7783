package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// Run is a request that has reached a runner.
type Run struct {
	Runner  *Runner
	Conn    net.Conn
	Request *http.Request
	ID      string // Request-Id
	Body    []byte
}

// Answer writes an answer with the request's ID and the runner's signature.
func (r *Run) Answer(status int, body string, headers ...string) {
	_, _ = io.WriteString(r.Conn, r.Head(status, append(headers, fmt.Sprintf("Content-Length: %d", len(body)))...)+body)
}

// Head returns the head of an answer.
func (r *Run) Head(status int, headers ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if r.ID != "" {
		head += "Request-Id: " + r.ID + "\r\n"
	}
	head += "Server-Stamp: " + r.Runner.ID + "\r\n"
	for _, h := range headers {
		head += h + "\r\n"
	}
	return head + "\r\n"
}

// Runner is a stand-in of a runner. It answers 421 to requests for another one, and passes all others
// to a function.
type Runner struct {
	ID, Service, Zone string
	serve             func(*Run) bool
	listener          net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewRunner starts a runner on a free port of an IP. serve answers a request and reports whether the
// connection stays open.
func NewRunner(ip, id, service, zone string, serve func(*Run) bool) (*Runner, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &Runner{ID: id, Service: service, Zone: zone, serve: serve, listener: l, conns: make(map[net.Conn]bool)}
	go r.accept()
	return r, nil
}

// Entry returns the runner's entry in the store.
func (r *Runner) Entry(state string) Entry {
	return Entry{Service: r.Service, Addr: r.listener.Addr().String(), Zone: r.Zone, Version: "v1", Slots: 64, State: state, Seq: 1}
}

// Address returns IP:port of the runner.
func (r *Runner) Address() string { return r.listener.Addr().String() }

// Close ends the runner: its connections are closed, and new ones refused.
func (r *Runner) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *Runner) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.handle(c)
	}
}

func (r *Runner) handle(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		run := &Run{Runner: r, Conn: c, Request: req, ID: req.Header.Get("Request-Id"), Body: body}
		if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != r.ID {
			run.Answer(http.StatusMisdirectedRequest, "", "Instance-Id: "+r.ID)
			continue
		}
		if strings.HasPrefix(req.URL.Path, "/healthz") {
			run.Answer(http.StatusOK, "", "Instance-Id: "+r.ID)
			continue
		}
		if !r.serve(run) {
			return
		}
	}
}
