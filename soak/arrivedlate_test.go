package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request arrived at a box that stood still, on a connection whose wait for one was over when the box went on: the
// connection was closed without a response. So were those whose header had arrived in part before.
func TestRequestThatArrivesWhileBoxStandsStillIsAnswered(t *testing.T) {
	w := startHarness(t, buildDaemon(t), 131, 2)
	const wait = 1500 * time.Millisecond
	w.document.Version++
	w.document.Limits.IdleWait, w.document.Limits.HeaderWait = wait, wait
	is.New(t).NoErr(w.publish())
	time.Sleep(time.Second) // the boxes read it
	for _, c := range []struct {
		name  string
		early int // bytes of the second request that arrive before the box stands still
	}{{"idle connection", 0}, {"part of the header", 40}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := w.boxes[0]
			answered := 0
			const count = 16
			conns := make([]net.Conn, count)
			request := func(n int) string {
				return fmt.Sprintf("GET %sx HTTP/1.1\r\nHost: %s\r\n%s: late-%s-%d\r\n%s: %s\r\n%s: 20000\r\n\r\n", healthyPath, host, protocol.RequestID, c.name[:4], n, protocol.Key, goodKey, protocol.TimeLeft)
			}
			for i := range conns {
				k, err := net.Dial("tcp", b.callers)
				is.NoErr(err)
				defer func() { _ = k.Close() }()
				_, err = io.WriteString(k, request(i))
				is.NoErr(err)
				resp, err := http.ReadResponse(bufio.NewReader(k), nil)
				is.NoErr(err)
				_, _ = io.Copy(io.Discard, resp.Body)
				conns[i] = k
			}
			for i, k := range conns {
				_, _ = io.WriteString(k, request(count + i)[:c.early])
			}
			time.Sleep(300 * time.Millisecond)
			b.signal(syscall.SIGSTOP)
			for i, k := range conns {
				_, _ = io.WriteString(k, request(count + i)[c.early:])
			}
			time.Sleep(2 * wait)
			b.signal(syscall.SIGCONT)
			for _, k := range conns {
				_ = k.SetReadDeadline(time.Now().Add(5 * time.Second))
				resp, err := http.ReadResponse(bufio.NewReader(k), nil)
				if err == nil && resp.StatusCode != http.StatusRequestTimeout {
					answered++
					continue
				}
				t.Log(resp, err)
			}
			is.Equal(answered, count)
		})
	}
}
