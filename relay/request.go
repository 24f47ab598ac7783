package relay

// This file defines how a caller's request is read and what of it goes to an
// upstream: everything but what concerns one connection, the caller's secret, and
// the headers that the box sets itself.

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/route"
)

// request is what the box reads of a caller's request.
type request struct {
	id       string
	method   string
	uri      string // as it was sent
	host     string
	timeLeft time.Duration // the caller waits; 0: not said
	key      string
	prompt   Prompt
	body     []byte
	passed   []byte // the headers that go on, as lines
	lastSeen string // the caller's last event, as it was sent
}

// hopHeaders concern one connection only.
var hopHeaders = []string{"connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
	"te", "trailer", "transfer-encoding", "upgrade", "expect", "content-length", "host"}

// readRequest reads what the handler was given.
func (r *Relay) readRequest(ctx *fasthttp.RequestCtx) *request {
	h := &ctx.Request.Header
	p := &r.cfg.Protocol
	get := func(name string) string { return headerValue(h, name) }
	q := &request{
		id:       get(p.RequestID),
		method:   string(h.Method()),
		uri:      string(h.RequestURI()),
		host:     string(h.Host()),
		key:      get(p.Key),
		body:     ctx.Request.Body(),
		lastSeen: get(p.LastEvent),
	}
	if ms, err := strconv.ParseInt(get(p.TimeLeft), 10, 64); err == nil && ms > 0 {
		q.timeLeft = time.Duration(ms) * time.Millisecond
	}
	if p.Prompt != nil {
		q.prompt = p.Prompt(get)
	}
	q.passed = r.passOn(h)
	return q
}

// headerValue finds a header whatever the case of its name.
func headerValue(h *fasthttp.RequestHeader, name string) string {
	if name == "" {
		return ""
	}
	if v := h.Peek(name); v != nil {
		return string(v)
	}
	for k, v := range h.All() {
		if strings.EqualFold(string(k), name) {
			return string(v)
		}
	}
	return ""
}

// passOn collects the headers that go to the upstream.
func (r *Relay) passOn(h *fasthttp.RequestHeader) []byte {
	p := &r.cfg.Protocol
	drop := append([]string{p.TimeLeft, p.Key, p.Customer, p.Instance, p.Priority, p.LastEvent, p.Fetch}, hopHeaders...)
	for _, name := range strings.Split(string(h.Peek("Connection")), ",") {
		drop = append(drop, strings.TrimSpace(name))
	}
	var out bytes.Buffer
	for k, v := range h.All() {
		if !containsFold(drop, string(k)) {
			writeHeader(&out, string(k), string(v))
		}
	}
	return out.Bytes()
}

func containsFold(list []string, name string) bool {
	for _, v := range list {
		if v != "" && strings.EqualFold(v, name) {
			return true
		}
	}
	return false
}

func writeHeader(b *bytes.Buffer, name, value string) {
	if name == "" || value == "" {
		return
	}
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// path is the part of a URI that routes are found by.
func (q *request) path() string {
	path, _, _ := strings.Cut(q.uri, "?")
	return path
}

// run is what differs from one run of a request to the next.
type run struct {
	upstream balance.Upstream
	timeLeft time.Duration
	urgency  int
	customer *route.Customer
	fetch    string
	lastSeen string
}

// outgoing writes the request for a run.
func (r *Relay) outgoing(q *request, n run) outgoing {
	p := &r.cfg.Protocol
	var b bytes.Buffer
	b.WriteString(q.method + " " + q.uri + " HTTP/1.1\r\n")
	writeHeader(&b, "Host", q.host)
	b.Write(q.passed)
	writeHeader(&b, p.TimeLeft, strconv.FormatInt(max(1, n.timeLeft.Milliseconds()), 10))
	writeHeader(&b, p.Instance, n.upstream.ID)
	if n.customer != nil {
		writeHeader(&b, p.Customer, n.customer.Name)
	}
	if len(q.prompt.Parts) > 0 {
		writeHeader(&b, p.Priority, strconv.Itoa(n.urgency))
		writeHeader(&b, p.Fetch, n.fetch)
	}
	writeHeader(&b, p.LastEvent, n.lastSeen)
	if len(q.body) > 0 || q.method != fasthttp.MethodGet && q.method != fasthttp.MethodHead {
		writeHeader(&b, "Content-Length", strconv.Itoa(len(q.body)))
	}
	b.WriteString("\r\n")
	return outgoing{head: b.Bytes(), body: q.body, id: q.id}
}
