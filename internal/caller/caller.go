// Package caller defines the HTTP server for callers, in the format of the common
// API for language models.
//
// The server reads and validates a request, submits it to a Core as an Arrival, and
// answers the caller from the pieces that its Exchange delivers. The invariants: a
// caller receives exactly one final answer; an incomplete stream ends with an error;
// and a slow caller occupies a bounded amount of memory.
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
	"github.com/doormast/doormast/internal/account"
	"github.com/doormast/doormast/internal/framing"
	"github.com/doormast/doormast/table"
)

// Headers of callers' requests and of their answers.
const (
	HeaderClass         = "X-Doormast-Class"
	HeaderRequest       = "X-Request-Id"        // id that the box assigns, in answers
	HeaderClientRequest = "X-Client-Request-Id" // id that the caller assigns, in requests and answers
	HeaderNotRepeatable = "X-Doormast-Not-Repeatable"
	HeaderKey           = "Idempotency-Key"
	HeaderDeadline      = "X-Doormast-Deadline" // a duration, such as 30s
	HeaderRan           = "X-Doormast-Ran"      // "no" or "unknown", in refusals
	HeaderReason        = "X-Doormast-Reason"
	headerAuthorize     = "Authorization"
)

// Paths of the server.
const (
	pathChat   = "/v1/chat/completions"
	pathModels = "/v1/models"
	pathKeys   = "/v1/idempotency-keys"
	pathHealth = "/healthz"
	pathMetric = "/metrics"
	pathPlain  = "/services/" // followed by the class and the path at the plain service
)

// Arrival is a request that is submitted to a Core, with the exchange through which
// it is answered.
type Arrival struct {
	Request  cell.Request
	Exchange *Exchange
}

// Core defines the functions of the box that the server uses.
type Core interface {
	// Table returns the table in force, or nil.
	Table() *table.Table
	// NextID returns a new request id.
	NextID() uint64
	// Arrive submits a request. It returns false if the box is overloaded.
	Arrive(a Arrival) bool
	// Disconnected reports that the caller of a request has disconnected.
	Disconnected(id uint64)
	// Mint issues an idempotency key, or returns "" if the box is too busy.
	Mint(ctx context.Context) string
	// Healthy reports whether the load balancer should send requests to this box.
	Healthy() bool
	// Metrics returns the metrics in the Prometheus text format.
	Metrics() []byte
	// Refused counts a request that the server refused without submitting it.
	Refused(reason decide.Reason)
}

// Config configures a Server.
type Config struct {
	Address      string // IP:port to listen on, TCP
	Core         Core
	MaxBody      int              // largest body of a request, in bytes
	MaxHeaders   int              // largest size of a request's headers, in bytes
	MaxConns     int              // connections of all callers together
	ReadTimeout  time.Duration    // timeout for reading a whole request
	WriteTimeout time.Duration    // timeout for writing one piece of a stream
	Buffer       int              // pieces buffered for each request
	Memory       *account.Account // of the answers that are assembled; nil: no limit
}

// Server serves callers.
type Server struct {
	cfg         Config
	server      *fasthttp.Server
	listener    net.Listener
	connections *connections
	served      chan struct{} // closed when no connection is accepted any more
	leaving     atomic.Bool   // each answer ends its connection
	shutdown    shutdown
	open        atomic.Int64 // requests being answered
	mu          sync.Mutex
	watched     map[uint64]*watch // open requests by id
}

// Listen starts a server. The caller must call Close.
func Listen(cfg Config) (*Server, error) {
	if cfg.Memory == nil {
		cfg.Memory = account.New(0)
	}
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, listener: l, connections: &connections{unused: make(map[*conn]bool)}, served: make(chan struct{}),
		shutdown: shutdown{ended: make(chan struct{})}, watched: make(map[uint64]*watch)}
	s.server = &fasthttp.Server{
		Handler:               s.handle,
		Name:                  "doormast",
		MaxRequestBodySize:    cfg.MaxBody,
		ReadBufferSize:        cfg.MaxHeaders,
		WriteBufferSize:       4 << 10,
		Concurrency:           cfg.MaxConns,
		ReadTimeout:           cfg.ReadTimeout,
		IdleTimeout:           2 * time.Minute,
		NoDefaultContentType:  true,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ErrorHandler:          s.badRequest,
		Logger:                discardLogger{},
	}
	go func() {
		defer close(s.served)
		_ = s.server.Serve(listener{l, s.connections}) // ends when Shutdown closes the listener
	}()
	return s, nil
}

// discardLogger drops fasthttp's log lines, which would mix with the log of the
// process.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Open returns the number of requests being answered.
func (s *Server) Open() int { return int(s.open.Load()) }

// badRequest handles a request that could not be read.
func (s *Server) badRequest(ctx *fasthttp.RequestCtx, err error) {
	s.cfg.Core.Refused(decide.BadRequest)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		// No complete request arrived in time. The server sends no answer, since the
		// caller could take it for the answer to a request that it is just sending.
		// fasthttp always writes one after this handler, so the connection is closed
		// here.
		_ = ctx.Conn().Close()
		return
	}
	status := fasthttp.StatusBadRequest
	var headersTooLarge *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &headersTooLarge):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	refuse(ctx, status, refusal{reason: decide.BadRequest, message: "the request cannot be read: " + err.Error()})
	ctx.SetConnectionClose()
}

// handle dispatches a request by its path.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	defer s.endConnectionIfLeaving(ctx)
	if err := checkRequest(ctx); err != nil {
		s.badRequest(ctx, err)
		return
	}
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

// checkRequest checks the header and the trailer of a request against the grammar.
func checkRequest(ctx *fasthttp.RequestCtx) error {
	if err := framing.CheckRequest(&ctx.Request.Header); err != nil {
		return err
	}
	c, ok := ctx.Conn().(*conn)
	if !ok {
		return nil
	}
	return c.trailers.Err(ctx.ConnRequestNum())
}

// endConnectionIfLeaving makes the answer end its connection if the server leaves, also if it began to after the
// request had come.
func (s *Server) endConnectionIfLeaving(ctx *fasthttp.RequestCtx) {
	if s.leaving.Load() {
		ctx.SetConnectionClose()
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

// fail refuses a request as a bad request.
func (s *Server) fail(ctx *fasthttp.RequestCtx, status int, message string) {
	s.cfg.Core.Refused(decide.BadRequest)
	refuse(ctx, status, refusal{reason: decide.BadRequest, message: message})
}

// models answers with the list of models in the table.
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

// mint answers with a new idempotency key.
func (s *Server) mint(ctx *fasthttp.RequestCtx) {
	if _, customer := s.authenticate(ctx); customer == nil {
		return
	}
	wait, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	key := s.cfg.Core.Mint(wait)
	if key == "" {
		refuse(ctx, fasthttp.StatusServiceUnavailable, refusal{reason: decide.Overloaded, message: "this box is too busy", retryAfter: time.Second})
		return
	}
	writeJSON(ctx, fasthttp.StatusCreated, map[string]string{"idempotency_key": key})
}
