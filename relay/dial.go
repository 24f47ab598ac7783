package relay

// This file defines how connections to upstreams are opened, and the socket options by which
// the kernel monitors them. The invariant: an unresponsive upstream host is detected within
// seconds, whether or not sent data is unacknowledged.

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/doormast/doormast/balance"
)

func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: balance.DialWait, KeepAliveConfig: keepAlive, Control: setSocketOptions}
	return d.DialContext(ctx, "tcp", address)
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
