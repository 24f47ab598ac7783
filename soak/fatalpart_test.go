package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/platform/standin"
)

// The checks on fatal parts find a box that forwards all requests with the part (BUDGET), and one that refuses all
// that share another part with them (LOST), and nothing at one that refuses those with the fatal part only.
func TestChecksOfFatalPartsFindBoxesThatBreakThem(t *testing.T) {
	holds := func(r *http.Request, part uint64) bool {
		for _, p := range protocol.Prompt(r.Header.Get).Parts {
			if p.ID == part {
				return true
			}
		}
		return false
	}
	for i, c := range []struct {
		name    string
		refuses func(r *http.Request) bool
		refusal string // its body
		want    string // part of the violation; empty: none
	}{
		{"withholds the part", func(r *http.Request) bool { return holds(r, fatalPart) }, withheldReason, ""},
		{"forwards all", func(*http.Request) bool { return false }, "", "still forwarded it"},
		{"refuses another part", func(r *http.Request) bool { return holds(r, firstPart) }, "", "others"},
		{"withholds another part at times", func(r *http.Request) bool { return holds(r, fatalPart) || holds(r, firstPart) && rand.IntN(10) == 0 }, withheldReason, "were withheld"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(Config{Net: 96 + i, Upstreams: 8})
			defer w.close()
			l, err := w.listen(1)
			is.NoErr(err)
			w.store = standin.NewStore(l)
			for i := range w.cfg.Upstreams {
				is.NoErr(w.startUpstream(i, 0))
				w.upstreams[i].advertisedLimit.set(-1)
			}
			server := httptest.NewServer(&standInBox{harness: w, refusal: c.refusal, began: make(map[string]string), choose: func(b *standInBox, r *http.Request) *upstream {
				if c.refuses(r) {
					return nil
				}
				return b.anyRunning()
			}})
			defer server.Close()
			b := &box{name: "stand-in", harness: w, callers: strings.TrimPrefix(server.URL, "http://")}
			w.boxes = []*box{b}
			past := time.Now().Add(-3 * propagationTime)
			w.fatal.part = crashCount{allowed: allowedPartCrashes, crashes: allowedPartCrashes, limitAt: past, lastAt: past}
			for n := range 6 {
				id := fmt.Sprint("part", n)
				w.sendPrompt(http.DefaultClient, b, outgoing{id: id, path: "/safe/" + id, body: id, prompt: promptOf(customerPart, firstPart, fatalPart)})
			}
			var callers sync.WaitGroup
			for n := range 8 {
				callers.Go(func() {
					for k := range minSoundRequests {
						w.request(http.DefaultClient, b, fmt.Sprintf("r%d-%d", n, k), resumablePath)
					}
				})
			}
			callers.Wait()
			w.boxes = nil
			w.fatal.checkSound(w.checker.reportViolation)
			found := strings.Join(w.checker.violations, "\n")
			is.Equal(found != "", c.want != "")
			is.True(strings.Contains(found, c.want))
		})
	}
}

// anyRunning returns any upstream that has not crashed.
func (b *standInBox) anyRunning() *upstream {
	for {
		if u := b.anyOf(""); !u.stopped.Load() {
			return u
		}
	}
}

// Of few requests a third began by chance, where all were refused alike.
func TestSharesThatDifferByChanceWereViolations(t *testing.T) {
	for _, c := range []struct {
		sharing, others share
		want            bool
	}{
		{share{tried: 574, brought: 7}, share{tried: 589, brought: 25}, false},
		{share{tried: 80, brought: 0}, share{tried: 80, brought: 80}, true},
		{share{tried: 80, brought: 30}, share{tried: 80, brought: 80}, true},
		{share{tried: 500, brought: 40}, share{tried: 500, brought: 100}, true},
	} {
		f := &fatal{sound: soundShares{sharing: c.sharing, others: c.others}}
		found := false
		f.checkSound(func(string, ...any) { found = true })
		is.New(t).Equal(found, c.want)
	}
}
