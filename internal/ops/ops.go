// Package ops defines the server and the client of the operators' API, and of the
// transfer of the table and the list between boxes, over Connect RPC.
//
// The invariant: each call is authorized by a bearer key before its handler runs.
package ops

import (
	"context"
	"crypto/subtle"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/doormast/doormast/wire"
)

// Backend implements the calls.
type Backend interface {
	Status(ctx context.Context) (*wire.StatusResponse, error)
	Timeline(ctx context.Context, req *wire.TimelineRequest) (*wire.TimelineResponse, error)
	Drain(ctx context.Context) (*wire.DrainResponse, error)
	Pull(ctx context.Context, req *wire.PullRequest) (*wire.PullResponse, error)
}

const (
	maxRequest  = 64 << 10 // largest request that a server accepts, in bytes
	maxResponse = 64 << 20 // largest response that a client accepts, in bytes
)

// Config configures a Server.
type Config struct {
	Address string // IP:port to listen on, TCP
	OpsKey  string // key of operators, valid for every call
	PeerKey string // key of boxes, valid for Pull only
	Backend Backend
}

// Server serves the operators' API.
type Server struct {
	backend  Backend
	server   *http.Server
	listener net.Listener
	done     chan error
}

var _ wire.BoxesHandler = (*Server)(nil)

// Listen starts a server. The caller must call Close.
func Listen(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, err
	}
	s := &Server{backend: cfg.Backend, listener: l, done: make(chan error, 1)}
	path, handler := wire.NewBoxesHandler(s,
		connect.WithInterceptors(authorizer(cfg)), connect.WithReadMaxBytes(maxRequest))
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second}
	go func() { s.done <- s.server.Serve(l) }()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and waits up to 5 s for the calls in progress.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := s.server.Shutdown(ctx)
	if serveErr := <-s.done; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	return err
}

var errUnauthorized = errors.New("want the operators' key")

// authorizer returns an interceptor that rejects calls without a valid key.
func authorizer(cfg Config) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			key, _ := strings.CutPrefix(req.Header().Get("Authorization"), "Bearer ")
			pull := req.Spec().Procedure == wire.BoxesPullProcedure
			allowed := equalKeys(key, cfg.OpsKey) || pull && equalKeys(key, cfg.PeerKey)
			if !allowed {
				return nil, connect.NewError(connect.CodeUnauthenticated, errUnauthorized)
			}
			return next(ctx, req)
		}
	}
}

// equalKeys compares keys in constant time.
func equalKeys(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }

// Status implements wire.BoxesHandler.
func (s *Server) Status(ctx context.Context, _ *connect.Request[wire.StatusRequest]) (*connect.Response[wire.StatusResponse], error) {
	return newResponse(s.backend.Status(ctx))
}

// Timeline implements wire.BoxesHandler.
func (s *Server) Timeline(ctx context.Context, r *connect.Request[wire.TimelineRequest]) (*connect.Response[wire.TimelineResponse], error) {
	return newResponse(s.backend.Timeline(ctx, r.Msg))
}

// Drain implements wire.BoxesHandler.
func (s *Server) Drain(ctx context.Context, _ *connect.Request[wire.DrainRequest]) (*connect.Response[wire.DrainResponse], error) {
	return newResponse(s.backend.Drain(ctx))
}

// Pull implements wire.BoxesHandler.
func (s *Server) Pull(ctx context.Context, r *connect.Request[wire.PullRequest]) (*connect.Response[wire.PullResponse], error) {
	return newResponse(s.backend.Pull(ctx, r.Msg))
}

// newResponse wraps a backend's message, or returns its error as CodeUnavailable.
func newResponse[T any](m *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(m), nil
}

// Client calls the operators' API of one box.
type Client struct {
	boxes wire.BoxesClient
	http  *http.Client
}

// Dial returns a client for the box at address, an IP:port, that authenticates with
// key. It opens no connection before the first call.
func Dial(address, key string) *Client {
	h := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{IdleConnTimeout: 10 * time.Second}}
	c := wire.NewBoxesClient(h, "http://"+address, connect.WithReadMaxBytes(maxResponse),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
			return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
				req.Header().Set("Authorization", "Bearer "+key)
				return next(ctx, req)
			}
		})))
	return &Client{boxes: c, http: h}
}

// Close closes the idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Status returns the box's status.
func (c *Client) Status(ctx context.Context) (*wire.StatusResponse, error) {
	return message(c.boxes.Status(ctx, connect.NewRequest(&wire.StatusRequest{})))
}

// Timeline returns the events of the box's timeline that r selects.
func (c *Client) Timeline(ctx context.Context, r *wire.TimelineRequest) (*wire.TimelineResponse, error) {
	return message(c.boxes.Timeline(ctx, connect.NewRequest(r)))
}

// Drain begins a planned stop of the box.
func (c *Client) Drain(ctx context.Context) (*wire.DrainResponse, error) {
	return message(c.boxes.Drain(ctx, connect.NewRequest(&wire.DrainRequest{})))
}

// Pull fetches the table and the list if they are newer than the revisions in r.
func (c *Client) Pull(ctx context.Context, r *wire.PullRequest) (*wire.PullResponse, error) {
	return message(c.boxes.Pull(ctx, connect.NewRequest(r)))
}

// message returns the message of a response.
func message[T any](r *connect.Response[T], err error) (*T, error) {
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}
