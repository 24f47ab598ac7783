package relay

// This file defines how connections to upstreams are opened, and the socket options by which
// the kernel monitors them. The invariants: an unresponsive upstream host is detected within
// seconds, whether or not sent data is unacknowledged; and a connection that was established in time
// is used, also by a box that learns of it late because its process did not run.

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/doormast/doormast/balance"
)

// dial opens a connection within balance.DialWait.
func dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &dialAttempt{ctx: ctx, cancel: cancel}
	timer := time.AfterFunc(balance.DialWait, a.checkTimeout)
	defer timer.Stop()
	d := net.Dialer{KeepAliveConfig: keepAlive, Control: a.control}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil && a.timedOut.Load() {
		return nil, timeoutOf(err)
	}
	return c, err
}

// dialAttempt is a connection that is being opened.
type dialAttempt struct {
	ctx      context.Context // ends with the attempt
	cancel   context.CancelFunc
	socket   atomic.Pointer[syscall.RawConn] // nil: not created yet
	timedOut atomic.Bool
}

// control sets the options of the socket before it connects.
func (a *dialAttempt) control(network, address string, raw syscall.RawConn) error {
	a.socket.Store(&raw)
	return setSocketOptions(network, address, raw)
}

// checkTimeout ends the attempt if the peer has not answered. Otherwise the process did not run: it has
// not begun to connect, or not noticed the answer.
func (a *dialAttempt) checkTimeout() {
	switch {
	case a.ctx.Err() != nil: // the attempt has ended
	case a.isUnanswered():
		a.timedOut.Store(true)
		a.cancel()
	default:
		time.AfterFunc(balance.DialWait, a.checkTimeout)
	}
}

// isUnanswered reports whether the kernel waits for the peer's answer.
func (a *dialAttempt) isUnanswered() bool {
	raw := a.socket.Load()
	if raw == nil {
		return false
	}
	const synSent = 2 // TCP_SYN_SENT of tcp_states.h
	unanswered := false
	_ = (*raw).Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		unanswered = err != nil || info.State == synSent
	})
	return unanswered
}

// timeoutOf returns the error of an attempt that has timed out, given that of its cancellation.
func timeoutOf(err error) error {
	var op *net.OpError
	if errors.As(err, &op) {
		op.Err = os.ErrDeadlineExceeded
		return op
	}
	return os.ErrDeadlineExceeded
}

// usesTunnel reports whether connections to an upstream lead through another box.
func (r *Relay) usesTunnel(u balance.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.TunnelReaches(u.Incarnation())
}

// recordConnectTime reports to the fleet how long it took to open a connection to an upstream.
func (r *Relay) recordConnectTime(upstream string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.fleet.Get(upstream); u != nil {
		r.fleet.NoteRTT(r.now(), u.Domain, took)
	}
}

// keepAlive makes the kernel detect within 4 s that an upstream host has disappeared without
// closing the connection. The count has no effect beside userTimeout: the kernel gives up at the
// first probe after it.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

const (
	// userTimeout is how long sent bytes may stay unacknowledged before the kernel gives them up. A
	// host may be silent for a second and a half: bytes sent just before are sent again after 0.2,
	// 0.6, 1.4 and 3.0 s.
	userTimeout = 3200 * time.Millisecond
	// retryTimeout is the same for retries, which the retry budget takes to arrive within it.
	retryTimeout = 1200 * time.Millisecond
)

// setSocketOptions sets the options of a connection to an upstream before it connects.
func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	setBuffers(raw, upstreamReceiveBuffer, upstreamSendBuffer)
	return setUserTimeout(raw, userTimeout)
}

// limitSend sets how long what is sent on the connection may stay unacknowledged.
func (c *conn) limitSend(timeout time.Duration) error {
	if c.sendTimeout == timeout {
		return nil
	}
	c.sendTimeout = timeout
	return limitSend(c.Conn, timeout)
}

func limitSend(c net.Conn, timeout time.Duration) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, timeout)
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	const tcpUserTimeout = 18 // TCP_USER_TIMEOUT of tcp(7)
	var set error
	err := raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
