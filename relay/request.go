package relay

// This file defines how a caller's request is read. The invariant: what goes on to an
// upstream is everything but what concerns one connection, the caller's secret, and
// the headers that the box sets itself.

import (
	"bytes"
	"iter"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// request is what the box reads of a caller's request.
type request struct {
	id       string // of this attempt of the caller
	method   string
	uri      string // as it was sent
	host     string
	timeLeft time.Duration // the caller waits; 0: not said
	key      string        // the caller's secret
	prompt   Prompt
	body     []byte
	head     int    // bytes of its request line and headers
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
	q.head = len(h.RawHeaders()) + len(q.method) + len(q.uri) + len("  HTTP/1.1\r\n")
	return q
}

// header is a request's or an answer's.
type header interface {
	Peek(name string) []byte
	All() iter.Seq2[[]byte, []byte]
}

// headerValue finds a header whatever the case of its name.
func headerValue(h header, name string) string {
	if name == "" {
		return ""
	}
	if v := h.Peek(name); len(v) > 0 {
		return string(v)
	}
	for sent, value := range h.All() {
		if strings.EqualFold(string(sent), name) {
			return string(value)
		}
	}
	return ""
}

// passOn collects the headers that go to the upstream.
func (r *Relay) passOn(h *fasthttp.RequestHeader) []byte {
	vital := r.cfg.Protocol.alwaysForwarded()
	drop := slices.Concat(r.cfg.Protocol.neverForwarded(), hopHeaders)
	hop := connectionHeaders(h)
	var out bytes.Buffer
	for name, value := range h.All() {
		ofConnection := namedIn(hop, name) && !namedIn(vital, name)
		if !ofConnection && !namedIn(drop, name) {
			writeHeader(&out, string(name), string(value))
		}
	}
	return out.Bytes()
}

// connectionHeaders lists the headers that the caller says concern its connection only.
func connectionHeaders(h *fasthttp.RequestHeader) []string {
	var list []string
	for name, value := range h.All() { // it may come more than once
		if strings.EqualFold(string(name), "Connection") {
			list = append(list, listOf(string(value))...)
		}
	}
	return list
}

// listOf reads a list whose entries are joined by commas.
func listOf(value string) []string {
	list := strings.Split(value, ",")
	for i := range list {
		list[i] = strings.TrimSpace(list[i])
	}
	return list
}

// namedIn reports whether the list names a header, whatever the case.
func namedIn(list []string, header []byte) bool {
	return slices.ContainsFunc(list, func(name string) bool { return strings.EqualFold(name, string(header)) })
}

// path is the part of a URI that routes are found by.
func (q *request) path() string {
	path, _, _ := strings.Cut(q.uri, "?")
	return path
}
