package relay

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// BenchmarkSlowCallers reports the peak heap and stack memory used for callers that are idle or do not
// read their streams.
func BenchmarkSlowCallers(b *testing.B) {
	for _, c := range []struct {
		name                    string
		resting, quiet, readers int
	}{{"resting", 500, 0, 0}, {"streams between events", 0, 90, 0}, {"reading nothing", 0, 0, 90}} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				u := newStub(b, "u1", slowStream)
				x := newTestBoxWithConfig(b, withMemoryBound(64<<20), u)
				before := heapAndStacks()
				for range c.resting {
					conn := x.dialBox()
					_, _ = io.WriteString(conn, rawRequest("/once/x", ""))
					_, _ = conn.Read(make([]byte, 1<<10))
				}
				for i := range c.quiet {
					_, _ = io.WriteString(x.dialBox(), rawRequest(fmt.Sprintf("/flow/quiet/%d", i), ""))
				}
				x.addSlowCallers(c.readers, 0)
				peak := uint64(0)
				for range 20 {
					time.Sleep(50 * time.Millisecond)
					peak = max(peak, heapAndStacks())
				}
				b.ReportMetric(float64(peak-before)/float64(c.resting+c.quiet+c.readers), "peak-bytes/caller")
				b.ReportMetric(float64(peak), "peak-bytes")
				b.ReportMetric(float64(x.relay.account.Peak()), "peak-charged-bytes")
			}
		})
	}
}

// heapAndStacks returns the size of live heap objects and stacks in bytes.
func heapAndStacks() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkUnreadStream reports how much of an unread stream the box reads from the upstream, and how
// long the upstream is occupied.
func BenchmarkUnreadStream(b *testing.B) {
	var taken atomic.Int64
	count := func(c net.Conn, r stubRequest) bool {
		_ = c.(*net.TCPConn).SetWriteBuffer(16 << 10) // data in this buffer has not been read by the box
		startStream(c, r)
		text := strings.Repeat("x", 1000)
		for i := 1; ; i++ {
			e := fmt.Sprintf("id: %d\ndata: %s\n\n", i, text)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
				return true
			}
			taken.Add(int64(len(e)))
		}
	}
	for range b.N {
		taken.Store(0)
		u := newStub(b, "u1", count)
		x := newTestBoxWithConfig(b, withMemoryBound(64<<20), u)
		begun := time.Now()
		_, _ = io.WriteString(x.dialBox(), rawRequest("/flow/x", ""))
		<-u.closed
		b.ReportMetric(float64(taken.Load()), "taken-bytes")
		b.ReportMetric(time.Since(begun).Seconds(), "held-s")
	}
}
