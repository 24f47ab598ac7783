package relay

// This file defines how a box pulls the complete state of another, and answers such pulls. The
// invariant: the response is made by the loop that owns the mirror, and a box has at most one
// pull in progress.

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/doormast/doormast/group"
	"github.com/doormast/doormast/wire"
)

// pullTimeout bounds a pull: a compressed document of 20 KB over the slowest links, which are
// shared and carry 10 Mbit/s.
const pullTimeout = 1500 * time.Millisecond

// microsPerMilli converts times in messages to the milliseconds of logs.
const microsPerMilli = 1000

// newPullClient returns the HTTP client for pulls. Each pull opens a connection: an idle one
// may no longer deliver data, and the pull would be lost on it.
func newPullClient() *http.Client {
	return &http.Client{Timeout: pullTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// pull fetches the state of another box and passes it to the members' loop.
func (m *members) pull(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	self := m.relay.cfg.Self
	client := wire.NewMirrorsClient(m.relay.pullClient, "http://"+address)
	requestedAt := m.relay.now()
	resp, err := client.Mirror(ctx, connect.NewRequest(&wire.MirrorRequest{Packed: true, Domain: self.Domain, Region: self.Region, Pulls: self.Pulls, After: m.revision.Load()}))
	result := &pullResult{from: address, requestedAt: requestedAt, err: err}
	if err == nil {
		result.response = resp.Msg
	}
	for !m.events.TryPush(memberEvent{pulled: result}) {
		select {
		case <-ctx.Done():
			return // the box is stopping, or the loop is blocked; the next pull will show which
		case <-time.After(tickInterval):
		}
	}
}

// applyPull applies a pull's result, on the members' loop.
func (m *members) applyPull(now time.Duration, p *pullResult) {
	m.pulling = false
	if p.err != nil {
		m.node.PullFailed()
		m.relay.cfg.Log.Event("group", "pull failed", Fields{"error": p.err.Error()})
		return
	}
	if left := p.response.BusyLeft; left > 0 {
		m.relay.cfg.Log.Event("group", "pull turned away", Fields{"from": p.from, "busy_ms": left / microsPerMilli, "elsewhere": p.response.Elsewhere})
	}
	m.node.HandlePullResponse(now, p.requestedAt, p.response)
}

// mirrorService answers other boxes' pulls.
type mirrorService struct{ members *members }

var _ wire.MirrorsHandler = mirrorService{}

// errBusy reports that the members' event queue is full.
var errBusy = errors.New("event queue is full")

// Mirror implements wire.MirrorsHandler.
func (s mirrorService) Mirror(
	ctx context.Context, req *connect.Request[wire.MirrorRequest],
) (*connect.Response[wire.MirrorResponse], error) {
	reply := make(chan *wire.MirrorResponse, 1)
	if !s.members.events.TryPush(memberEvent{mirrorReply: reply, mirrorRequest: req.Msg}) {
		return nil, connect.NewError(connect.CodeUnavailable, errBusy)
	}
	select {
	case resp := <-reply:
		caller := &wire.GroupBox{Domain: req.Msg.Domain, Region: req.Msg.Region}
		s.members.traffic.add(group.KindPullResponse, group.ReachOf(s.members.relay.cfg.Self, caller), proto.Size(resp))
		return connect.NewResponse(resp), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// minCompressBytes is larger than any response, which turns compression off: the large parts of
// a response are already compressed.
const minCompressBytes = 1 << 30

// serveControl answers other boxes until the listener is closed.
func (r *Relay) serveControl() {
	mux := http.NewServeMux()
	path, handler := wire.NewMirrorsHandler(mirrorService{r.members}, connect.WithCompressMinBytes(minCompressBytes))
	mux.Handle(path, handler)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: pullTimeout, IdleTimeout: pullTimeout}
	if err := server.Serve(r.cfg.ControlListener); err != nil && !r.stopping.Load() {
		r.cfg.Log.Event("control", "server failed", Fields{"error": err.Error()})
	}
}

// pullResult is the result of a pull.
type pullResult struct {
	from        string
	requestedAt time.Duration
	response    *wire.MirrorResponse
	err         error
}
