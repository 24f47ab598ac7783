package relay

// This file defines how the box connects to upstreams through other boxes. The invariants: only the
// connection goes another way, so that the request, its decisions and its retries stay with the
// box that received it; and an upstream that this box reaches itself is connected to directly.

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// Counters of connections through other boxes.
const (
	tunnelsOpened    = "tunnels_opened"
	tunnelsNotOpened = "tunnels_not_opened"
	tunnelsLost      = "tunnels_lost"
)

// errNoTunnel reports that no other box connected to an upstream.
var errNoTunnel = &Error{Op: "connect through other box", Kind: KindTunnel}

// tunnels opens connections to upstreams through other boxes.
type tunnels struct {
	relay *Relay

	mu    sync.Mutex
	peers *balance.TunnelPeers
}

func newTunnels(r *Relay) *tunnels {
	return &tunnels{relay: r, peers: r.fleet.NewTunnelPeers(r.cfg.Box)}
}

// setPeers sets the boxes that are known as members of the group.
func (t *tunnels) setPeers(list []balance.TunnelPeer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers.Set(t.relay.now(), list)
}

// tunnelPeerInterval is how often the boxes that may be connected through are updated, and
// urgentPeerInterval the same while some upstream is unreachable. A box that knows none looks at
// each check.
const (
	tunnelPeerInterval = 5 * time.Second
	urgentPeerInterval = 500 * time.Millisecond
)

// syncTunnelPeers passes the boxes that the node knows to the tunnels, and closes idle tunnels that boxes which
// are about to stop wait for.
func (m *members) syncTunnelPeers() {
	r := m.relay
	r.conns.closeUnusableTunnels()
	now := r.now()
	r.mu.Lock()
	isUrgent := r.fleet.AnyUnreachable()
	r.mu.Unlock()
	interval := tunnelPeerInterval
	if isUrgent {
		interval = urgentPeerInterval
	}
	if r.tunnels.havePeers() && now-m.peersSetAt < interval {
		return
	}
	m.peersSetAt = now
	r.tunnels.setPeers(m.node.TunnelPeers(now))
}

// sample returns boxes of this domain for a box of another one.
func (t *tunnels) sample(box string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers.Sample(t.relay.now(), box, maxElsewhere)
}

// candidates returns the boxes to ask for a connection to an upstream, in turn.
func (t *tunnels) candidates(u balance.Upstream) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers.Candidates(t.relay.now(), u, maxTunnelAttempts)
}

// havePeers reports whether any other box is known.
func (t *tunnels) havePeers() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers.Len() > 0
}

// ask asks a box in the background.
func (t *tunnels) ask(ctx context.Context, via string, u balance.Upstream, results chan<- tunnelResult) {
	began := time.Now()
	go func() {
		res := t.request(ctx, via, u)
		res.waited = time.Since(began)
		t.noteAnswer(ctx, u, res)
		results <- res
	}()
}

// request asks a box to connect to an upstream and waits for its answer.
func (t *tunnels) request(ctx context.Context, via string, u balance.Upstream) tunnelResult {
	res := tunnelResult{via: via}
	c, err := dial(ctx, via)
	if err != nil {
		res.err = err
		return res
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	resp, err := t.handshake(c, u)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = c.Close()
		res.err = err
		return res
	}
	t.learn(via, resp.Elsewhere)
	res.result, res.inDoubt = resp.Result, resp.InDoubt
	if res.result != wire.TunnelResponse_OPENED {
		_ = c.Close()
		return res
	}
	t.addOpen(via, true)
	res.conn = newTunnelConn(c, via, func() { t.addOpen(via, false) }, func() { t.noteLost(via, u) })
	return res
}

func (t *tunnels) handshake(c net.Conn, u balance.Upstream) (*wire.TunnelResponse, error) {
	cfg := &t.relay.cfg
	if err := writeMessage(c, &wire.TunnelRequest{Box: cfg.Box, Domain: cfg.Domain, Upstream: u.ID, Born: u.StartedAt}); err != nil {
		return nil, err
	}
	resp := new(wire.TunnelResponse)
	return resp, readMessage(c, resp)
}

// noteAnswer records what an answer says about the box that was asked. One that had no time to answer is
// not judged: it may have tried to connect.
func (t *tunnels) noteAnswer(ctx context.Context, u balance.Upstream, res tunnelResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.relay.now()
	switch {
	case res.conn != nil, errors.Is(ctx.Err(), context.Canceled), ctx.Err() != nil && res.waited < minTunnelAnswerWait:
	case res.err != nil, res.result == wire.TunnelResponse_FULL, res.result == wire.TunnelResponse_STOPPING:
		t.peers.Avoid(now, res.via)
	default:
		t.peers.NoteUnreached(now, res.via, u.Incarnation())
		if res.inDoubt {
			t.peers.NoteDoubtful(now, res.via)
		}
	}
}

// learn adds the boxes that another box named, which are in its domain.
func (t *tunnels) learn(via string, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers.Learn(t.relay.now(), via, addresses)
}

func (t *tunnels) addOpen(via string, opened bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if opened {
		t.peers.Opened(via)
	} else {
		t.peers.Closed(via)
	}
}

// noteLost records that a connection through a box was lost: others through it may be, too.
func (t *tunnels) noteLost(via string, u balance.Upstream) {
	t.mu.Lock()
	t.peers.Avoid(t.relay.now(), via)
	t.mu.Unlock()
	r := t.relay
	r.stats.count(tunnelsLost)
	r.cfg.Log.Event("tunnel", "lost", Fields{"upstream": u.ID, "born": u.StartedAt, "via": via})
	go r.conns.closeIdleThrough(via)
}

// dialResult is the result of a connection attempt of this box.
type dialResult struct {
	conn net.Conn
	err  error
}

// connectUpstream connects to an upstream, directly or through another box. A connection attempt of
// this box that is already known to fail is not made, and one that is in doubt gets a head start.
func (r *Relay) connectUpstream(ctx context.Context, u balance.Upstream) (net.Conn, error) {
	delay, mayTunnel := r.tunnelDelay(u)
	if !mayTunnel {
		return dial(ctx, u.Address)
	}
	if delay == 0 {
		if c, err := r.tunnels.open(ctx, u); err == nil || ctx.Err() != nil {
			return connOrNil(c), err
		}
		return dial(ctx, u.Address)
	}
	return r.dialOrTunnel(ctx, u, delay)
}

// connOrNil avoids an interface that holds a nil pointer.
func connOrNil(c *tunnelConn) net.Conn {
	if c == nil {
		return nil
	}
	return c
}

// tunnelDelay returns whether to connect to an upstream through another box, and the head start of
// this box's own attempt.
func (r *Relay) tunnelDelay(u balance.Upstream) (time.Duration, bool) {
	r.mu.Lock()
	delay, ok := r.fleet.TunnelDelay(r.now(), u.Incarnation())
	r.mu.Unlock()
	return delay, ok && r.tunnels.havePeers()
}

// dialOrTunnel connects to an upstream itself, and through another box if that has failed or has
// taken longer than delay. The first connection that comes up is used.
func (r *Relay) dialOrTunnel(ctx context.Context, u balance.Upstream, delay time.Duration) (net.Conn, error) {
	began := r.now()
	dialed := make(chan dialResult, 1)
	go func() {
		c, err := dial(context.WithoutCancel(ctx), u.Address) // its result counts even if it is not used
		dialed <- dialResult{c, err}
	}()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var failure error
	select {
	case d := <-dialed:
		if d.err == nil {
			return d.conn, nil
		}
		failure = d.err
	case <-timer.C:
	case <-ctx.Done():
		go r.finishDial(u, began, dialed)
		return nil, ctx.Err()
	}
	return r.tunnelBeside(ctx, u, began, dialed, failure)
}

// tunnelBeside connects to an upstream through another box while this box's own attempt, unless it
// has ended with failure, goes on.
func (r *Relay) tunnelBeside(ctx context.Context, u balance.Upstream, began time.Duration, dialed chan dialResult, failure error) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	tunnelled := make(chan dialResult, 1)
	go func() {
		c, err := r.tunnels.open(ctx, u)
		tunnelled <- dialResult{connOrNil(c), err}
	}()
	own := dialed
	if failure != nil {
		own = nil
	}
	for {
		select {
		case d := <-own:
			if d.err == nil {
				cancel()
				go closeResult(tunnelled)
				return d.conn, nil
			}
			failure, own = d.err, nil
		case t := <-tunnelled:
			cancel()
			if t.err == nil {
				if own == nil {
					dialed <- dialResult{err: failure}
				}
				go r.finishDial(u, began, dialed)
				return t.conn, nil
			}
			if own == nil {
				return nil, failure
			}
			tunnelled = nil
		}
	}
}

// closeResult closes a connection that is no longer needed.
func closeResult(results <-chan dialResult) {
	if res := <-results; res.conn != nil {
		_ = res.conn.Close()
	}
}

// finishDial waits for an attempt of this box that was not used, and records what it says about the
// path to the upstream.
func (r *Relay) finishDial(u balance.Upstream, began time.Duration, dialed <-chan dialResult) {
	d := <-dialed
	if d.conn != nil {
		_ = d.conn.Close()
	}
	r.mu.Lock()
	r.fleet.NoteDial(r.now(), began, u.Incarnation(), dialOutcome(d.err))
	lost := r.fleet.TakeNewlyUnreachable()
	r.mu.Unlock()
	r.noteUnreachable(lost, "")
	if d.err != nil {
		r.conns.closeIdleDirect(u.ID)
		r.wakeProbeLoop()
	}
}

// dialOutcome returns what a connection attempt says about the path to its upstream.
func dialOutcome(err error) balance.Outcome {
	switch {
	case err == nil:
		return balance.Answered
	case errors.Is(err, syscall.ECONNREFUSED):
		return balance.ConnectionRefused
	}
	return balance.Unreachable
}

// probeTunnel finds out whether an unreachable upstream is reached through another box.
func (r *Relay) probeTunnel(ctx context.Context, u balance.Upstream) {
	r.mu.Lock()
	due := r.fleet.TunnelProbeDue(r.now(), u.Incarnation())
	r.mu.Unlock()
	if !due || !r.tunnels.havePeers() {
		return
	}
	if c, err := r.tunnels.open(ctx, u); err == nil {
		_ = c.Close()
	}
}

// reachedByOther reports whether another box is known to reach an upstream to which this box's connections
// fail: then only the path of this box is gone.
func (r *Relay) reachedByOther(ctx context.Context, u balance.Upstream) bool {
	r.mu.Lock()
	isReached, mayTry := r.fleet.TunnelReaches(u.Incarnation()), r.fleet.MayTryTunnel(r.now(), u.Incarnation())
	r.mu.Unlock()
	if isReached {
		return true
	}
	if !mayTry || !r.tunnels.havePeers() {
		return false
	}
	c, err := r.tunnels.open(ctx, u)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
