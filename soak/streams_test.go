package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/platform/standin"
)

// standInBox forwards the requests of callers as a box would, without its care for software versions.
type standInBox struct {
	harness *harness
	choose  func(b *standInBox, r *http.Request) *upstream // nil: the request is refused
	refusal string                                         // body of a refusal
	endsAll bool                                           // a response that breaks off is ended as complete
	// confirms decides whether a close in order ends an answer without a length; nil: after a whole event.
	confirms func(u *upstream) bool

	mu    sync.Mutex
	began map[string]string // by request id: software version of the upstream that it was sent to
}

// ServeHTTP implements http.Handler.
func (b *standInBox) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u := b.choose(b, r)
	if u == nil {
		http.Error(w, b.refusal, http.StatusServiceUnavailable)
		return
	}
	b.mu.Lock()
	b.began[r.Header.Get(protocol.RequestID)] = u.software
	b.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+u.proxy.address()+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		return
	}
	out.Header = r.Header.Clone()
	out.Header.Set(protocol.Instance, u.id)
	out.Header.Set(protocol.Customer, "customer")
	resp, err := http.DefaultTransport.RoundTrip(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	var copied bytes.Buffer
	_, err = io.Copy(io.MultiWriter(w, &copied), resp.Body)
	isFramed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	isEnd := bytes.HasSuffix(copied.Bytes(), []byte("\n\n"))
	if b.confirms != nil {
		isEnd = b.confirms(u)
	}
	isCut := err != nil || !isFramed && !isEnd
	if isCut && !b.endsAll {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// anyOf returns any upstream of a software version, or of all versions if it is empty.
func (b *standInBox) anyOf(software string) *upstream {
	for {
		u := b.harness.upstreams[rand.IntN(len(b.harness.upstreams))]
		if software == "" || u.software == software {
			return u
		}
	}
}

// startStandIn starts a harness of four upstreams and a stand-in for the box, and sends requests for streams to it.
func startStandIn(t *testing.T, net int, b *standInBox) *harness {
	t.Helper()
	w := serveStandIn(t, net, b)
	w.callStandIn(resumablePath)
	w.boxes = nil
	return w
}

// serveStandIn starts a harness of four upstreams and a stand-in for the box.
func serveStandIn(t *testing.T, net int, b *standInBox) *harness {
	t.Helper()
	is := is.New(t)
	w := newHarness(Config{Net: net, Upstreams: 4, OnlyEnds: true})
	t.Cleanup(w.close)
	l, err := w.listen(1)
	is.NoErr(err)
	w.store = standin.NewStore(l)
	for i := range w.cfg.Upstreams {
		is.NoErr(w.startUpstream(i, 0))
		w.upstreams[i].advertisedLimit.set(-1)
	}
	b.harness, b.began = w, make(map[string]string)
	server := httptest.NewServer(b)
	t.Cleanup(server.Close)
	w.boxes = []*box{{name: "stand-in", harness: w, callers: strings.TrimPrefix(server.URL, "http://")}}
	t.Cleanup(func() { w.boxes = nil })
	return w
}

// callStandIn sends requests to the stand-in, with the paths in turn.
func (w *harness) callStandIn(paths ...string) {
	var callers sync.WaitGroup
	for n := range 8 {
		callers.Go(func() {
			for k := range 60 {
				w.request(http.DefaultClient, w.boxes[0], fmt.Sprintf("r%d-%d", n, k), paths[(n+k)%len(paths)])
			}
		})
	}
	callers.Wait()
}

// The checks on streams that callers take up find a box that mixes software versions (ORDER), and one that lets
// none go on (LOST), and nothing at one that keeps the version.
func TestChecksOfStreamsFindBoxesThatBreakThem(t *testing.T) {
	for i, c := range []struct {
		name   string
		choose func(b *standInBox, r *http.Request) *upstream
		want   string // part of the violation; empty: none
	}{
		{"keeps the version", func(b *standInBox, r *http.Request) *upstream {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.anyOf(b.began[r.Header.Get(protocol.Resumes)])
		}, ""},
		{"mixes versions", func(b *standInBox, _ *http.Request) *upstream { return b.anyOf("") }, "several software versions"},
		{"takes streams up at the version that it knows, as one that is out of step", func(b *standInBox, r *http.Request) *upstream {
			if r.Header.Get(protocol.Resumes) != "" {
				return b.anyOf(softwareVersions[0])
			}
			return b.anyOf("")
		}, "several software versions"},
		{"lets no stream go on", func(b *standInBox, r *http.Request) *upstream {
			if r.Header.Get(protocol.Resumes) != "" {
				return nil
			}
			return b.anyOf("")
		}, "that callers took up 0 went on"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := startStandIn(t, 92+i, &standInBox{choose: c.choose})
			var found []string
			w.streams.check(func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) })
			is.True(w.streams.goesOn.tried >= minContinued)
			is.Equal(len(found) > 0, c.want != "")
			is.True(strings.Contains(strings.Join(found, "\n"), c.want))
		})
	}
}

// The check of each response finds a box that ends as complete what has broken off (ORDER).
func TestCheckOfResponsesFindsBoxThatEndsBrokenStreams(t *testing.T) {
	for i, endsAll := range []bool{false, true} {
		t.Run(fmt.Sprintf("ends all=%v", endsAll), func(t *testing.T) {
			is := is.New(t)
			keeps := func(b *standInBox, r *http.Request) *upstream {
				b.mu.Lock()
				defer b.mu.Unlock()
				return b.anyOf(b.began[r.Header.Get(protocol.Resumes)])
			}
			w := startStandIn(t, 96+i, &standInBox{choose: keeps, endsAll: endsAll})
			w.checker.mu.Lock()
			defer w.checker.mu.Unlock()
			isFound := func(v string) bool {
				return strings.Contains(v, "response body differs from the expected one (complete: true")
			}
			is.Equal(slices.ContainsFunc(w.checker.violations, isFound), endsAll)
		})
	}
}
