// Package ops serves and makes the operators' calls, and the bulk transfer of
// the table and list between boxes, over connect.
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

// Backend answers the calls.
type Backend interface {
	Status(ctx context.Context) (*wire.StatusResponse, error)
	Timeline(ctx context.Context, req *wire.TimelineRequest) (*wire.TimelineResponse, error)
	Drain(ctx context.Context) (*wire.DrainResponse, error)
	Pull(ctx context.Context, req *wire.PullRequest) (*wire.PullResponse, error)
}

// maxMessage bounds a request; maxAnswer what a client takes.
const (
	maxMessage = 64 << 10
	maxAnswer  = 64 << 20
)

// Config configures a Server.
type Config struct {
	Address string
	OpsKey  string // of operators: every call
	PeerKey string // of boxes: Pull only
	Backend Backend
}

// Server serves the calls.
type Server struct {
	backend  Backend
	server   *http.Server
	listener net.Listener
	done     chan error
}

var _ wire.BoxesHandler = (*Server)(nil)

// Listen starts a server; Close ends it.
func Listen(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, err
	}
	s := &Server{backend: cfg.Backend, listener: l, done: make(chan error, 1)}
	path, handler := wire.NewBoxesHandler(s,
		connect.WithInterceptors(authorizer(cfg)), connect.WithReadMaxBytes(maxMessage))
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second}
	go func() { s.done <- s.server.Serve(l) }()
	return s, nil
}

// Address is where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and waits for the calls in progress.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := s.server.Shutdown(ctx)
	if end := <-s.done; !errors.Is(end, http.ErrServerClosed) {
		err = errors.Join(err, end)
	}
	return err
}

var errKey = errors.New("want the operators' key")

// authorizer lets a call pass only with the right key.
func authorizer(cfg Config) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			key, _ := strings.CutPrefix(req.Header().Get("Authorization"), "Bearer ")
			pull := req.Spec().Procedure == wire.BoxesPullProcedure
			allowed := same(key, cfg.OpsKey) || pull && same(key, cfg.PeerKey)
			if !allowed {
				return nil, connect.NewError(connect.CodeUnauthenticated, errKey)
			}
			return next(ctx, req)
		}
	}
}

func same(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }

// Status answers a call.
func (s *Server) Status(ctx context.Context, _ *connect.Request[wire.StatusRequest]) (*connect.Response[wire.StatusResponse], error) {
	return answer(s.backend.Status(ctx))
}

// Timeline answers a call.
func (s *Server) Timeline(ctx context.Context, r *connect.Request[wire.TimelineRequest]) (*connect.Response[wire.TimelineResponse], error) {
	return answer(s.backend.Timeline(ctx, r.Msg))
}

// Drain answers a call.
func (s *Server) Drain(ctx context.Context, _ *connect.Request[wire.DrainRequest]) (*connect.Response[wire.DrainResponse], error) {
	return answer(s.backend.Drain(ctx))
}

// Pull answers a call.
func (s *Server) Pull(ctx context.Context, r *connect.Request[wire.PullRequest]) (*connect.Response[wire.PullResponse], error) {
	return answer(s.backend.Pull(ctx, r.Msg))
}

func answer[T any](m *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(m), nil
}

// Client makes calls to one box.
type Client struct {
	boxes wire.BoxesClient
	http  *http.Client
}

// Dial returns a client of the box at address, IP:port.
func Dial(address, key string) *Client {
	h := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{IdleConnTimeout: 10 * time.Second}}
	c := wire.NewBoxesClient(h, "http://"+address, connect.WithReadMaxBytes(maxAnswer),
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

// Status asks for a box's status.
func (c *Client) Status(ctx context.Context) (*wire.StatusResponse, error) {
	return message(c.boxes.Status(ctx, connect.NewRequest(&wire.StatusRequest{})))
}

// Timeline asks for a box's events.
func (c *Client) Timeline(ctx context.Context, r *wire.TimelineRequest) (*wire.TimelineResponse, error) {
	return message(c.boxes.Timeline(ctx, connect.NewRequest(r)))
}

// Drain begins a planned stop.
func (c *Client) Drain(ctx context.Context) (*wire.DrainResponse, error) {
	return message(c.boxes.Drain(ctx, connect.NewRequest(&wire.DrainRequest{})))
}

// Pull fetches what is newer than the revisions held.
func (c *Client) Pull(ctx context.Context, r *wire.PullRequest) (*wire.PullResponse, error) {
	return message(c.boxes.Pull(ctx, connect.NewRequest(r)))
}

func message[T any](r *connect.Response[T], err error) (*T, error) {
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}
