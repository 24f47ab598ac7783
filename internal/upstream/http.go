package upstream

// This file defines the runner for upstreams that speak HTTP. It uses fasthttp only
// to encode requests and decode responses, and manages the connections itself, so
// that it knows whether a byte of a request was sent and can close the connection
// at once to cancel a run. The invariant: a result says that the upstream did not
// run the request only if no byte was sent or the upstream said so.

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/account"
	"github.com/doormast/doormast/internal/timer"
)

// Headers of requests to upstreams and of their responses.
const (
	HeaderID       = "X-Request-Id"
	HeaderKey      = "Idempotency-Key"
	HeaderPriority = "X-Priority"
	HeaderFrom     = "X-Resume-From" // number of tokens already delivered
	HeaderResume   = "X-Resume"
	HeaderRan      = "X-Ran"     // "no" in a refusal: the upstream did not run the request
	HeaderLeaving  = "X-Leaving" // present if the upstream is leaving
)

const (
	maxIdle  = 16       // idle connections kept for each upstream
	maxEvent = 64 << 10 // longest event of a stream, in bytes
	// Buffer sizes in bytes. They are small since thousands of connections are open
	// at once; longer bodies and events pass through them in pieces.
	readBuffer   = 4 << 10
	writeBuffer  = 1 << 10
	lineBuffer   = 2 << 10
	endMarker    = "[DONE]" // data of the last event of a complete stream
	finishPaused = "paused" // finish_reason in the last event of a paused run
)

// HTTPConfig configures an HTTP.
type HTTPConfig struct {
	Clock       timer.Clock
	DialTimeout time.Duration
	CallTimeout time.Duration    // for control calls
	MaxAnswer   int              // longest answer of a plain service, in bytes
	Memory      *account.Account // of the answers that are held; nil: no limit
	MaxSilence  time.Duration    // longest wait for the next data; then the run has failed
}

// HTTP runs calls over HTTP. It is safe for concurrent use.
type HTTP struct {
	cfg     HTTPConfig
	mu      sync.Mutex
	idle    map[string][]*conn // by address
	closed  bool
	seq     map[string]uint64 // sequence number of the last cache event received, by address
	notices map[string]notice // by address
}

var _ Runner = (*HTTP)(nil)

// NewHTTP returns a runner.
func NewHTTP(cfg HTTPConfig) *HTTP {
	if cfg.Memory == nil {
		cfg.Memory = account.New(0)
	}
	return &HTTP{cfg: cfg, idle: make(map[string][]*conn), seq: make(map[string]uint64), notices: make(map[string]notice)}
}

// Close closes the idle connections.
func (h *HTTP) Close() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for _, list := range h.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	h.idle = nil
	return nil
}

// Run implements Runner.
func (h *HTTP) Run(ctx context.Context, c Call, s Sink) cell.Result {
	run := &run{call: c, sink: s, tokens: c.From}
	open := h.open
	if c.Fresh {
		open = h.dial
	}
	if n := h.activeNotice(c.Address); n.HasContent() {
		return cell.Result{Outcome: decide.Unused, Tokens: c.From, Notice: n}
	}
	k, err := open(ctx, c.Address)
	if err != nil {
		if ctx.Err() != nil {
			return cell.Result{Outcome: decide.Unused, Tokens: c.From}
		}
		return cell.Result{Outcome: decide.Failed, Tokens: c.From}
	}
	active := h.activeNotice(c.Address) // one may have arrived while the connection was opened
	if active.HasContent() || h.cfg.Clock.Boot() > c.StartBy || ctx.Err() != nil || !s.Sending() {
		h.putUnused(c.Address, k)
		return cell.Result{Outcome: decide.Unused, Tokens: c.From, Notice: active}
	}
	// Closing the connection interrupts a blocked read when ctx ends.
	stop := context.AfterFunc(ctx, func() { _ = k.Close() })
	r := h.runOn(ctx, k, run)
	r.Tokens, r.Notice = run.tokens, run.notice
	r.TimePerToken = run.pace(h.cfg.Clock.Boot())
	if run.first > 0 {
		r.TimeToFirstToken = run.first - run.sent
	}
	if stop() && run.clean {
		h.put(c.Address, k)
		return r
	}
	_ = k.Close()
	if ctx.Err() != nil && !run.whole {
		r.Outcome = decide.Abandoned
		if !c.Plain {
			h.cancelRun(c.Address, c.ID)
		}
	}
	if r.Outcome == decide.Failed && r.Ran && !r.Refused && ctx.Err() == nil {
		r.UpstreamCrashed = h.refusesConnections(ctx, c.Address)
	}
	return r
}

// refusesConnections reports whether no process listens at the address of an upstream, which
// then has ended.
func (h *HTTP) refusesConnections(ctx context.Context, address string) bool {
	k, err := h.dial(ctx, address)
	if err == nil {
		_ = k.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// cancelRun cancels a run by a control call, for an upstream that does not notice
// the closed connection. It uses its own context, since that of the run has ended.
func (h *HTTP) cancelRun(address, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), h.cfg.CallTimeout)
	defer cancel()
	_ = h.Cancel(ctx, address, id)
}

// run is the state of one call.
type run struct {
	call   Call
	sink   Sink
	tokens int
	sent   time.Duration       // when the first byte was sent
	first  time.Duration       // when the first token arrived
	whole  bool                // whether the answer was received to its end
	clean  bool                // whether the connection can be used again
	notice decide.AnswerNotice // of the upstream, in the headers of its answer
}

// pace returns the mean time between two tokens of this run, or 0 for fewer than 5
// tokens.
func (r *run) pace(now time.Duration) time.Duration {
	n := r.tokens - r.call.From - 1
	if r.first == 0 || n < 4 {
		return 0
	}
	return (now - r.first) / time.Duration(n)
}

// runOn sends the request on a connection and reads the answer.
func (h *HTTP) runOn(ctx context.Context, k *conn, r *run) cell.Result {
	failed := cell.Result{Outcome: decide.Failed, Ran: true}
	r.sent = h.cfg.Clock.Boot()
	if err := writeRequest(k, r.call); err != nil {
		return failed
	}
	_ = k.SetReadDeadline(time.Now().Add(h.cfg.MaxSilence))
	var resp fasthttp.Response
	resp.StreamBody = true
	resp.SkipBody = r.call.Method == fasthttp.MethodHead
	if err := readResponse(k.r, &resp, 0); err != nil {
		return failed
	}
	defer func() { _ = resp.CloseBodyStream() }()
	r.notice = h.recordNotice(r.call.Address, &resp)
	if r.call.Plain {
		return h.readWhole(ctx, &resp, r)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		refused := string(resp.Header.Peek(HeaderRan)) == "no"
		return cell.Result{Outcome: decide.Failed, Ran: !refused, Refused: refused}
	}
	return h.readStream(k, &resp, r)
}

// writeRequest writes the request of a call to a connection and flushes it.
func writeRequest(k *conn, c Call) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(c.Method)
	req.SetRequestURI("http://" + c.Address + c.Path)
	req.Header.SetContentType(c.Type)
	req.Header.Set(HeaderID, c.ID)
	req.Header.Set(HeaderPriority, strconv.Itoa(c.Priority))
	if c.Key != "" {
		req.Header.Set(HeaderKey, c.Key)
	}
	if c.From > 0 {
		req.Header.Set(HeaderFrom, strconv.Itoa(c.From))
	}
	if c.Resume {
		req.Header.Set(HeaderResume, "1")
	}
	req.SetBodyRaw(c.Body)
	if err := req.Write(k.w); err != nil {
		return err
	}
	return k.w.Flush()
}
