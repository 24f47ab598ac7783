package relay

// This file defines how a connection to an upstream comes up, and how the kernel
// watches it. The invariant: an upstream that goes silent is noticed within seconds,
// whether bytes are under way to it or not.

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/doormast/doormast/balance"
)

func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: balance.DialWait, KeepAliveConfig: keepAlive, Control: setOptions}
	return d.DialContext(ctx, "tcp", address)
}

// noteWay tells the fleet how long a connection to an upstream took to come up.
func (r *Relay) noteWay(upstream string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.fleet.Get(upstream); u != nil {
		r.fleet.NoteRTT(r.now(), u.Domain, took)
	}
}

// keepAlive makes the kernel notice within 3 s that an upstream is gone without a
// word.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// userTimeout is how long sent bytes may stay unacknowledged, in ms.
const userTimeout = 1200

// setOptions sets what a connection to an upstream has from its start on.
func setOptions(_, _ string, raw syscall.RawConn) error {
	setBuffers(raw, upstreamReceive, upstreamSend)
	return setUserTimeout(raw)
}

func setUserTimeout(raw syscall.RawConn) error {
	const tcpUserTimeout = 18 // TCP_USER_TIMEOUT of tcp(7)
	var set error
	err := raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, userTimeout)
	})
	if err != nil {
		return err
	}
	return set
}
