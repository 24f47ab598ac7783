package soak

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// asks reports whether an upstream that has closed a connection still serves, by its report on a new connection.
func asks(u *upstream) bool {
	call := protocol.ReportCall()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	resp, err := client.Get("http://" + u.proxy.address() + call.Path)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	report, ok := protocol.ParseReport(resp.StatusCode, body, "")
	return err == nil && ok && report.StartedAt == u.startedAt
}

// anyServing returns an upstream that has not ended; nil: there is none.
func anyServing(b *standInBox, _ *http.Request) *upstream {
	b.harness.mu.Lock()
	defer b.harness.mu.Unlock()
	for _, u := range b.harness.upstreamsByID {
		if !u.stopped.Load() {
			return u
		}
	}
	return nil
}

// killUpstreams kills the first two upstreams, one after the other, each second time within a plain answer without a
// length, and starts their next lives.
func (w *harness) killUpstreams() {
	killed := slices.Clone(w.upstreams[:2])
	others := w.upstreams[2:]
	defer func() { w.upstreams = slices.Concat(killed, others) }()
	for n := range 24 {
		time.Sleep(4 * eventPause)
		i := n / 2 % 2
		if n%2 == 0 {
			i = awaitPlainAnswer(killed)
		}
		w.upstreams = killed[i : i+1 : i+1]
		if undo := endFaults[n%2].inject(w); undo != nil { // those that kill
			undo()
		}
		killed[i] = w.upstreams[0]
	}
}

// awaitPlainAnswer waits for an upstream that is within a plain answer without a length, for a second at most.
func awaitPlainAnswer(list []*upstream) int {
	for range 1000 {
		if i := slices.IndexFunc(list, func(u *upstream) bool { return u.unfinishedPlain.Load() > 0 }); i >= 0 {
			return i
		}
		time.Sleep(time.Millisecond)
	}
	return 0
}

// The checks of answers without a length find a box that takes each close for the end (ORDER, MIXED), and one that
// believes none, and nothing at one that asks the upstream.
func TestChecksOfUnframedAnswersFindBoxesThatBreakThem(t *testing.T) {
	for i, c := range []struct {
		name     string
		confirms func(u *upstream) bool
		want     []string // parts of the violations
	}{
		{"asks the upstream", asks, nil},
		{"takes each close for the end", func(*upstream) bool { return true }, []string{"(complete: true, events", "(complete: true, 2"}},
		{"takes none for the end", func(*upstream) bool { return false }, []string{"sound answers without a length"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := serveStandIn(t, 114+i, &standInBox{choose: anyServing, confirms: c.confirms})
			var kills sync.WaitGroup
			kills.Go(w.killUpstreams)
			w.callStandIn("/fixed/", "/once/")
			kills.Wait()
			s := w.unframed.check(w.checker.reportViolation)
			found := strings.Join(w.checker.violations, "\n")
			t.Log(s, found)
			is.True(s.tried > 2*brokenSlack)
			for _, part := range c.want {
				is.True(strings.Contains(found, part))
			}
			is.Equal(found != "", c.want != nil)
		})
	}
}
