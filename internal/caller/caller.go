// Package caller is the edge towards callers: HTTP in the shape that clients of
// language models already speak.
//
// A request is read and bounded here, handed to the decisions as an Arrival, and
// answered from what comes back through its Exchange. The invariants: a caller
// gets exactly one final answer; a stream that was not whole ends as an error;
// and a slow caller holds a bounded amount of memory.
package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/table"
	"github.com/doormast/doormast/timeline"
)

// Headers of the caller's side.
const (
	HeaderClass     = "X-Doormast-Class"
	HeaderRequest   = "X-Request-Id"        // the system's id, out
	HeaderOwn       = "X-Client-Request-Id" // the caller's id, in and out
	HeaderOnce      = "X-Doormast-Not-Repeatable"
	HeaderKey       = "Idempotency-Key"
	HeaderDeadline  = "X-Doormast-Deadline" // a duration, such as 30s
	HeaderRan       = "X-Doormast-Ran"      // no or unknown, in refusals
	HeaderReason    = "X-Doormast-Reason"
	headerAuthorize = "Authorization"
)

// Paths of the caller's side.
const (
	pathChat   = "/v1/chat/completions"
	pathModels = "/v1/models"
	pathKeys   = "/v1/idempotency-keys"
	pathHealth = "/healthz"
	pathMetric = "/metrics"
	pathPlain  = "/services/" // followed by the class: passed on to plain services
)

// Arrival is a request that the decisions have to take in.
type Arrival struct {
	Request  cell.Request
	Exchange *Exchange
}

// Core is what the edge needs of the box.
type Core interface {
	// Table returns the table in force, or nil.
	Table() *table.Table
	// NextID makes a request id.
	NextID() uint64
	// Arrive hands over a request; false means that the box can take no more.
	Arrive(a Arrival) bool
	// Left says that the caller of a request went away.
	Left(id uint64)
	// Mint makes an idempotency key, or "" if the box is too busy.
	Mint(ctx context.Context) string
	// Healthy reports whether the balancer should send requests here.
	Healthy() bool
	// Metrics writes the metrics in the scrapers' text format.
	Metrics() []byte
	// Refused counts a request that was refused before it got an id.
	Refused(reason decide.Reason)
}

// Config configures a Server.
type Config struct {
	Address    string
	Core       Core
	MaxBody    int
	MaxHeaders int           // bytes
	MaxConns   int           // connections, all callers together
	ReadWait   time.Duration // for a whole request to come in
	WriteWait  time.Duration // for a slow caller to take a piece
	Buffer     int           // events buffered for a caller
}

// Server serves callers.
type Server struct {
	cfg      Config
	server   *fasthttp.Server
	listener net.Listener
	done     chan error
	open     atomic.Int64
	mu       sync.Mutex
	watched  map[uint64]*watch
}

// watch is an open request whose connection is looked at for its caller leaving.
type watch struct {
	conn net.Conn
	x    *Exchange
}

// Listen starts a server; Close ends it.
func Listen(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, listener: l, done: make(chan error, 1), watched: make(map[uint64]*watch)}
	s.server = &fasthttp.Server{
		Handler:               s.handle,
		Name:                  "doormast",
		MaxRequestBodySize:    cfg.MaxBody,
		ReadBufferSize:        cfg.MaxHeaders,
		WriteBufferSize:       4 << 10,
		Concurrency:           cfg.MaxConns,
		ReadTimeout:           cfg.ReadWait,
		IdleTimeout:           2 * time.Minute,
		NoDefaultContentType:  true,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ErrorHandler:          s.badRequest,
		Logger:                silent{},
	}
	go func() { s.done <- s.server.Serve(l) }()
	return s, nil
}

// silent keeps fasthttp's own log lines away: the process has one log.
type silent struct{}

func (silent) Printf(string, ...any) {}

// Address is where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Open is how many requests are being answered.
func (s *Server) Open() int { return int(s.open.Load()) }

// Close stops taking connections and waits until the requests in progress are
// answered, or for wait.
func (s *Server) Close(wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	err := s.server.ShutdownWithContext(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return errors.Join(err, <-s.done)
}

func (s *Server) badRequest(ctx *fasthttp.RequestCtx, err error) {
	s.cfg.Core.Refused(decide.BadRequest)
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	refuse(ctx, status, refusal{reason: decide.BadRequest, message: "the request cannot be read: " + err.Error()})
	ctx.SetConnectionClose()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == pathHealth:
		s.health(ctx)
	case path == pathMetric:
		ctx.SetContentType("text/plain; version=0.0.4")
		ctx.SetBody(s.cfg.Core.Metrics())
	case path == pathModels:
		s.models(ctx)
	case path == pathKeys && ctx.IsPost():
		s.mint(ctx)
	case path == pathChat && ctx.IsPost():
		s.chat(ctx)
	case strings.HasPrefix(path, pathPlain):
		s.plain(ctx, path)
	default:
		s.fail(ctx, fasthttp.StatusNotFound, "no such path, want POST "+pathChat)
	}
}

func (s *Server) health(ctx *fasthttp.RequestCtx) {
	if !s.cfg.Core.Healthy() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("leaving or without a table\n")
		return
	}
	ctx.SetBodyString("ok\n")
}

func (s *Server) fail(ctx *fasthttp.RequestCtx, status int, message string) {
	s.cfg.Core.Refused(decide.BadRequest)
	refuse(ctx, status, refusal{reason: decide.BadRequest, message: message})
}

// authenticate returns the caller's customer, or refuses.
func (s *Server) authenticate(ctx *fasthttp.RequestCtx) (*table.Table, *table.Customer) {
	t := s.cfg.Core.Table()
	if t == nil {
		s.cfg.Core.Refused(decide.NoTable)
		refuse(ctx, fasthttp.StatusServiceUnavailable, refusal{reason: decide.NoTable,
			message: "this box has no table yet", after: time.Second})
		return nil, nil
	}
	key, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(headerAuthorize)), "Bearer ")
	customer := t.Authenticate(key)
	if !ok || customer == nil {
		s.cfg.Core.Refused(decide.NotAllowed)
		refuse(ctx, fasthttp.StatusUnauthorized, refusal{reason: decide.NotAllowed,
			message: "want a bearer key of a customer in the table"})
		return nil, nil
	}
	return t, customer
}

func (s *Server) models(ctx *fasthttp.RequestCtx) {
	t, customer := s.authenticate(ctx)
	if customer == nil {
		return
	}
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, name := range t.Models() {
		list.Data = append(list.Data, model{name, "model"})
	}
	writeJSON(ctx, fasthttp.StatusOK, list)
}

func (s *Server) mint(ctx *fasthttp.RequestCtx) {
	if _, customer := s.authenticate(ctx); customer == nil {
		return
	}
	wait, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	key := s.cfg.Core.Mint(wait)
	if key == "" {
		refuse(ctx, fasthttp.StatusServiceUnavailable, refusal{reason: decide.Overloaded, message: "this box is too busy", after: time.Second})
		return
	}
	writeJSON(ctx, fasthttp.StatusCreated, map[string]string{"idempotency_key": key})
}

// chatRequest is what the edge needs to know of a request for an answer. The
// body itself goes on as it came.
type chatRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
}

func (s *Server) chat(ctx *fasthttp.RequestCtx) {
	t, customer := s.authenticate(ctx)
	if customer == nil {
		return
	}
	var body chatRequest
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		s.fail(ctx, fasthttp.StatusBadRequest, "the body is not the JSON that is wanted: "+err.Error())
		return
	}
	if len(body.Messages) == 0 || body.MaxTokens < 0 {
		s.fail(ctx, fasthttp.StatusBadRequest, "want messages, and max_tokens of 0 or more")
		return
	}
	req, class := s.request(ctx, t, customer, "")
	if class == nil {
		return
	}
	req.Resumable = true
	req.MaxTokens = body.MaxTokens
	if class.MaxTokens > 0 && (req.MaxTokens == 0 || req.MaxTokens > class.MaxTokens) {
		req.MaxTokens = class.MaxTokens
	}
	req.Prefix = prefixOf(body.Messages)
	x := NewExchange(s.cfg.Buffer)
	x.Path, x.Method, x.Type = pathChat, "POST", "application/json"
	x.Body = withLimit(ctx.PostBody(), req.MaxTokens, body.MaxTokens)
	s.serve(ctx, req, x, body.Stream)
}

// prefixOf hashes the first message, which requests of one kind share.
func prefixOf(messages []json.RawMessage) uint64 {
	if len(messages) < 2 {
		return 0
	}
	return xxhash.Sum64(messages[0])
}

// withLimit copies a body, and adds the class's limit on the answer's length if
// the caller asked for more.
func withLimit(body []byte, limit, asked int) []byte {
	out := append([]byte(nil), body...)
	if limit == asked {
		return out
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(out, &fields); err != nil {
		return out
	}
	fields["max_tokens"] = json.RawMessage(strconv.Itoa(limit))
	limited, err := json.Marshal(fields)
	if err != nil {
		return out
	}
	return limited
}

// plain passes a request on to a plain service: /services/CLASS/PATH.
func (s *Server) plain(ctx *fasthttp.RequestCtx, path string) {
	t, customer := s.authenticate(ctx)
	if customer == nil {
		return
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(path, pathPlain), "/")
	req, class := s.request(ctx, t, customer, name)
	if class == nil {
		return
	}
	x := NewExchange(s.cfg.Buffer)
	x.Plain, x.Path, x.Method = true, "/"+rest, string(ctx.Method())
	x.Type = string(ctx.Request.Header.ContentType())
	x.Body = append([]byte(nil), ctx.PostBody()...)
	s.serve(ctx, req, x, false)
}

// request reads what the headers say, or refuses and returns no class.
func (s *Server) request(ctx *fasthttp.RequestCtx, t *table.Table, customer *table.Customer, name string) (cell.Request, *table.Class) {
	h := &ctx.Request.Header
	if name == "" {
		name = string(h.Peek(HeaderClass))
	}
	if name == "" {
		name = customer.DefaultClass
	}
	class := t.Class(name)
	if class == nil {
		s.fail(ctx, fasthttp.StatusBadRequest, fmt.Sprintf("unknown class %q", name))
		return cell.Request{}, nil
	}
	if !customer.MayUse(name) {
		s.cfg.Core.Refused(decide.NotAllowed)
		refuse(ctx, fasthttp.StatusForbidden, refusal{reason: decide.NotAllowed, message: fmt.Sprintf("class %q is not among the customer's", name)})
		return cell.Request{}, nil
	}
	req := cell.Request{ID: s.cfg.Core.NextID(), Class: name, Customer: customer.Name, Repeatable: class.Repeatable}
	if once := string(h.Peek(HeaderOnce)); once == "1" || once == "true" {
		req.Repeatable = false
	}
	if key := string(h.Peek(HeaderKey)); key != "" {
		if _, err := decide.ParseKey(key); err != nil {
			s.fail(ctx, fasthttp.StatusBadRequest, err.Error())
			return cell.Request{}, nil
		}
		req.Key = customer.Name + "/" + key
		if strings.HasPrefix(key, "dm") {
			req.Key = key
		}
	}
	if text := string(h.Peek(HeaderDeadline)); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			s.fail(ctx, fasthttp.StatusBadRequest, fmt.Sprintf("%s: found %q, want a duration above 0, such as 30s", HeaderDeadline, text))
			return cell.Request{}, nil
		}
		req.Deadline = d
	}
	return req, class
}

// serve hands the request over and answers the caller with what comes back.
func (s *Server) serve(ctx *fasthttp.RequestCtx, req cell.Request, x *Exchange, stream bool) {
	x.ID = req.ID
	ctx.Response.Header.Set(HeaderRequest, timeline.RequestText(req.ID))
	if own := ctx.Request.Header.Peek(HeaderOwn); len(own) > 0 && len(own) <= 128 {
		ctx.Response.Header.SetBytesV(HeaderOwn, own)
	}
	s.open.Add(1)
	s.watch(req.ID, ctx.Conn(), x)
	if !s.cfg.Core.Arrive(Arrival{req, x}) {
		s.unwatch(req.ID)
		s.open.Add(-1)
		s.cfg.Core.Refused(decide.Overloaded)
		refuse(ctx, fasthttp.StatusServiceUnavailable, refusal{reason: decide.Overloaded, message: "this box can take no more", after: time.Second})
		return
	}
	if stream {
		s.serveStream(ctx, x)
		return
	}
	defer s.open.Add(-1)
	defer s.unwatch(req.ID)
	s.serveWhole(ctx, x)
}

// serveWhole waits for the end and answers in one piece.
func (s *Server) serveWhole(ctx *fasthttp.RequestCtx, x *Exchange) {
	var parts aggregate
	for {
		e, ok := x.next()
		switch {
		case !ok || e.kind == endLeft:
			ctx.SetConnectionClose()
			return
		case e.kind == endRefused:
			refuse(ctx, statusOf(e.final), refusalOf(e.final))
			return
		case e.kind == pieceWhole:
			ctx.SetStatusCode(e.status)
			ctx.SetContentType(e.contentType)
			ctx.SetBody(e.data)
			return
		case e.kind == endWhole:
			writeJSON(ctx, fasthttp.StatusOK, parts.answer(timeline.RequestText(x.ID)))
			return
		default:
			parts.add(e.data)
		}
	}
}

// serveStream answers with server-sent events. The status is only sent once
// there is something to send, so that a refusal still has its own status.
func (s *Server) serveStream(ctx *fasthttp.RequestCtx, x *Exchange) {
	first, ok := x.next()
	done := func() {
		s.unwatch(x.ID)
		s.open.Add(-1)
	}
	if !ok || first.kind == endLeft {
		done()
		ctx.SetConnectionClose()
		return
	}
	if first.kind == endRefused {
		done()
		refuse(ctx, statusOf(first.final), refusalOf(first.final))
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.Response.ImmediateHeaderFlush = true
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer done()
		s.stream(conn, w, x, first)
	})
}

// stream writes events until the end, each flushed by itself.
func (s *Server) stream(conn net.Conn, w *bufio.Writer, x *Exchange, e piece) {
	for {
		_ = conn.SetWriteDeadline(time.Now().Add(s.cfg.WriteWait))
		if err := writePiece(w, e); err != nil {
			x.Leave()
			s.cfg.Core.Left(x.ID)
			return
		}
		if e.kind != pieceEvent {
			return
		}
		next, ok := x.next()
		if !ok {
			return
		}
		e = next
	}
}

func writePiece(w *bufio.Writer, e piece) error {
	switch e.kind {
	case pieceEvent:
		writeEvent(w, e.data)
	case endWhole:
		writeEvent(w, []byte("[DONE]"))
	case endRefused:
		// The answer was cut: the caller must not take it for a short one.
		writeEvent(w, errorBody(refusalOf(e.final)))
	}
	return w.Flush()
}

func writeEvent(w *bufio.Writer, data []byte) {
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
}

func (s *Server) watch(id uint64, conn net.Conn, x *Exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watched[id] = &watch{conn, x}
}

func (s *Server) unwatch(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watched, id)
}

// Sweep looks for callers that went away while nothing is being sent to them,
// which no write would show. It is called every few tens of milliseconds.
func (s *Server) Sweep() {
	s.mu.Lock()
	var gone []uint64
	for id, w := range s.watched {
		if closedByPeer(w.conn) {
			w.x.Leave()
			gone = append(gone, id)
			delete(s.watched, id)
		}
	}
	s.mu.Unlock()
	for _, id := range gone {
		s.cfg.Core.Left(id)
	}
}
