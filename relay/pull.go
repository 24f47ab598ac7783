package relay

// This file defines how a box fetches all that another has, and answers the same. The
// invariant: the answer is made by the duty that owns the mirror, and a box has one
// pull under way at most.

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

// pullWait is the longest a pull may take: a compressed document of 20 KB over the
// slowest links, of 10 Mbit/s and shared.
const pullWait = 1500 * time.Millisecond

// microsOfMilli is the unit of times in messages, in that of logs.
const microsOfMilli = 1000

// newPullClient returns the client of pulls. Each has a connection of its own: one that rests
// may have fallen silent, and a pull would be lost on it.
func newPullClient() *http.Client {
	return &http.Client{Timeout: pullWait, Transport: &http.Transport{DisableKeepAlives: true}}
}

// pull fetches what another box has and hands it to the duty.
func (m *members) pull(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, pullWait)
	defer cancel()
	self := m.relay.cfg.Self
	client := wire.NewMirrorsClient(m.relay.pullClient, "http://"+address)
	asked := m.relay.now()
	resp, err := client.Mirror(ctx, connect.NewRequest(&wire.MirrorRequest{Packed: true, Domain: self.Domain, Region: self.Region, Pulls: self.Pulls, After: m.revision.Load()}))
	result := &pullResult{from: address, asked: asked, err: err}
	if err == nil {
		result.response = resp.Msg
	}
	for !m.events.TryPush(memberEvent{pulled: result}) {
		select {
		case <-ctx.Done():
			return // the box ends, or the duty is stuck: the next pull will tell
		case <-time.After(memberTick):
		}
	}
}

// takePulled takes in, on the members' duty, what came of a pull.
func (m *members) takePulled(now time.Duration, p *pullResult) {
	m.pulling = false
	if p.err != nil {
		m.node.PullFailed()
		m.relay.cfg.Log.Event("group", "pull failed", Fields{"error": p.err.Error()})
		return
	}
	if left := p.response.BusyLeft; left > 0 {
		m.relay.cfg.Log.Event("group", "pull turned away", Fields{"from": p.from, "busy_ms": left / microsOfMilli, "elsewhere": p.response.Elsewhere})
	}
	m.node.HandlePullResponse(now, p.asked, p.response)
}

// mirrors answers other boxes' pulls.
type mirrors struct{ members *members }

var _ wire.MirrorsHandler = mirrors{}

// errBusy says that the duty has fallen behind.
var errBusy = errors.New("too much is waiting on this box")

// Mirror implements wire.MirrorsHandler.
func (s mirrors) Mirror(
	ctx context.Context, req *connect.Request[wire.MirrorRequest],
) (*connect.Response[wire.MirrorResponse], error) {
	answer := make(chan *wire.MirrorResponse, 1)
	if !s.members.events.TryPush(memberEvent{ask: answer, request: req.Msg}) {
		return nil, connect.NewError(connect.CodeUnavailable, errBusy)
	}
	select {
	case r := <-answer:
		caller := &wire.GroupBox{Domain: req.Msg.Domain, Region: req.Msg.Region}
		s.members.traffic.add(group.KindPullResponse, group.ReachOf(s.members.relay.cfg.Self, caller), proto.Size(r))
		return connect.NewResponse(r), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// neverCompress is more than an answer has: what is long in one is compressed already.
const neverCompress = 1 << 30

// serveControl answers other boxes until the listener is closed.
func (r *Relay) serveControl() {
	mux := http.NewServeMux()
	path, handler := wire.NewMirrorsHandler(mirrors{r.members}, connect.WithCompressMinBytes(neverCompress))
	mux.Handle(path, handler)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: pullWait, IdleTimeout: pullWait}
	if err := server.Serve(r.cfg.ControlListener); err != nil && !r.stopping.Load() {
		r.cfg.Log.Event("control", "not served", Fields{"error": err.Error()})
	}
}

// pullResult is what another box has.
type pullResult struct {
	from     string
	asked    time.Duration
	response *wire.MirrorResponse
	err      error
}
