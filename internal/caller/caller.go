// Package caller is the edge towards callers: HTTP in the shape that clients of
// language models already speak.
//
// A request is read and bounded here, handed to the decisions as an Arrival, and
// answered from what comes back through its Exchange. The invariants: a caller
// gets exactly one final answer; a stream that was not whole ends as an error;
// and a slow caller holds a bounded amount of memory.
package caller

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/table"
)

// Headers of the caller's side.
const (
	HeaderClass         = "X-Doormast-Class"
	HeaderRequest       = "X-Request-Id"        // the system's id, out
	HeaderClientRequest = "X-Client-Request-Id" // the caller's id, in and out
	HeaderNotRepeatable = "X-Doormast-Not-Repeatable"
	HeaderKey           = "Idempotency-Key"
	HeaderDeadline      = "X-Doormast-Deadline" // a duration, such as 30s
	HeaderRan           = "X-Doormast-Ran"      // no or unknown, in refusals
	HeaderReason        = "X-Doormast-Reason"
	headerAuthorize     = "Authorization"
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
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		// A connection on which nothing, or no whole request, was asked in time
		// gets no answer: it could be taken for that of a request which is just
		// on its way. fasthttp writes one all the same, so there is no connection
		// to write it to.
		_ = ctx.Conn().Close()
		return
	}
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
