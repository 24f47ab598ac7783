package relay

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Streams through a box that stops, as does the box of their callers, are answered whole if their upstream ends them within
// the grace period of both.
func TestStreamsThroughStoppingBoxOfStoppingBox(t *testing.T) {
	const never = -1
	for _, test := range []struct{ first, second time.Duration }{
		{0, 0}, {0, 100 * time.Millisecond}, {100 * time.Millisecond, 0}, {0, time.Second}, {time.Second, 0}, {3 * time.Second, 0}, {never, 0}, {0, never},
	} {
		t.Run(fmt.Sprint(test.first, " ", test.second), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			goOn := make(chan struct{})
			u := newStub(t, "u", func(c net.Conn, r stubRequest) bool {
				startStream(c, r)
				writeChunk(c, event(1))
				<-goOn
				writeChunk(c, event(2))
				writeChunk(c, "")
				return true
			})
			first, second, _ := startTunnelPair(t, unchanged, u)
			first.relay.cfg.StopTimeout, second.relay.cfg.StopTimeout = 8*time.Second, 8*time.Second
			doc := testDocument(2)
			for i := range doc.Routes {
				doc.Routes[i].Timeout = time.Minute
			}
			first.publisher.set("document", doc, false)
			first.waitFor(func() bool { return first.relay.documentVersion() == 2 })
			paths := []string{"/flow/a", "/flow/b", "/fixed/a", "/fixed/b"}
			got := make([]callerResponse, len(paths))
			var callers, boxes sync.WaitGroup
			for i, path := range paths {
				callers.Go(func() { got[i] = first.do(first.request(http.MethodPost, path, "x", "X-Left", "30000")) })
			}
			first.waitFor(func() bool { return len(u.requests()) == len(paths) })
			for b, after := range map[*testBox]time.Duration{first: test.first, second: test.second} {
				if after != never {
					boxes.Go(func() {
						time.Sleep(after)
						b.relay.Stop()
					})
				}
			}
			time.Sleep(6 * time.Second)
			close(goOn)
			callers.Wait()
			for i, r := range got {
				if r.err != nil || r.body != event(1)+event(2) {
					t.Errorf("%s: %v %q", paths[i], r.err, r.body)
				}
			}
			is.Equal(len(u.requests()), len(paths))
			boxes.Wait()
		})
	}
}
