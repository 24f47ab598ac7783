package relay

// This file defines how a caller's request is read. The invariant: an upstream gets all headers except
// hop-by-hop headers, the caller's API key, and those that the box sets itself.

import (
	"bytes"
	"cmp"
	"iter"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// request is a caller's request as read by the box.
type request struct {
	id               string // ID of this attempt of the caller
	method           string
	uri              string // as sent
	host             string
	timeLeft         time.Duration // how long the caller waits; 0: not stated
	customerKey      string        // the caller's API key
	prompt           Prompt
	body             []byte
	headBytes        int    // length of the request line and headers
	forwardedHeaders []byte // header lines to forward
	lastEventID      string // the last event that the caller has received, as sent
	resumes          string // ID of the attempt that brought the first event of the stream that it continues
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
	"te", "trailer", "transfer-encoding", "upgrade", "expect", "content-length", "host"}

// readRequest parses the request passed to the handler.
func (r *Relay) readRequest(ctx *fasthttp.RequestCtx) *request {
	h := &ctx.Request.Header
	p := &r.cfg.Protocol
	get := func(name string) string { return headerValue(h, name) }
	q := &request{
		id:          get(p.RequestID),
		method:      string(h.Method()),
		uri:         string(h.RequestURI()),
		host:        string(h.Host()),
		customerKey: get(p.Key),
		body:        ctx.Request.Body(),
		lastEventID: get(p.LastEvent),
		resumes:     get(p.Resumes),
	}
	if ms, err := strconv.ParseInt(get(p.TimeLeft), 10, 64); err == nil && ms > 0 {
		q.timeLeft = time.Duration(ms) * time.Millisecond
	}
	if p.Prompt != nil {
		q.prompt = p.Prompt(get)
	}
	q.forwardedHeaders = r.forwardHeaders(h)
	q.headBytes = len(h.RawHeaders()) + len(q.method) + len(q.uri) + len("  HTTP/1.1\r\n")
	return q
}

// headerReader is a request or response header.
type headerReader interface {
	Peek(name string) []byte
	All() iter.Seq2[[]byte, []byte]
}

// headerValue returns the value of a header, whose name is case-insensitive; empty if there is none.
func headerValue(h headerReader, name string) string {
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

// forwardHeaders returns the header lines to forward to the upstream.
func (r *Relay) forwardHeaders(h *fasthttp.RequestHeader) []byte {
	vital := r.cfg.Protocol.alwaysForwarded()
	drop := slices.Concat(r.cfg.Protocol.neverForwarded(), hopByHopHeaders)
	hop := connectionHeaders(h)
	var out bytes.Buffer
	for name, value := range h.All() {
		ofConnection := containsHeader(hop, name) && !containsHeader(vital, name)
		if !ofConnection && !containsHeader(drop, name) {
			writeHeader(&out, string(name), string(value))
		}
	}
	return out.Bytes()
}

// connectionHeaders returns the names listed in the caller's Connection headers.
func connectionHeaders(h *fasthttp.RequestHeader) []string {
	var list []string
	for name, value := range h.All() { // Connection may occur more than once
		if strings.EqualFold(string(name), "Connection") {
			list = append(list, splitList(string(value))...)
		}
	}
	return list
}

// splitList splits a comma-separated list and trims its entries.
func splitList(value string) []string {
	list := strings.Split(value, ",")
	for i := range list {
		list[i] = strings.TrimSpace(list[i])
	}
	return list
}

// containsHeader reports whether the list contains a header name, ignoring case.
func containsHeader(list []string, header []byte) bool {
	return slices.ContainsFunc(list, func(name string) bool { return strings.EqualFold(name, string(header)) })
}

// firstID is the ID of the request that brought the stream's first event: of an earlier one if this
// request takes a stream up.
func (q *request) firstID() string {
	if q.lastEventID == "" {
		return q.id
	}
	return cmp.Or(q.resumes, q.id)
}

// path returns the part of the URI that routes match: all before the query.
func (q *request) path() string {
	path, _, _ := strings.Cut(q.uri, "?")
	return path
}
