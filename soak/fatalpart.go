package soak

// This file defines requests that share one part of their prompts, under which each upstream crashes that
// begins to answer them, and sound requests that share all the other parts.
//
// Invariant: from 2 propagationTime after the fifth crash on, or the last if there are fewer, undisturbed boxes withhold
// none of the sound requests that share the other parts, and these begin at least minSoundShare as often as those
// without a prompt.

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/doormast/doormast/balance"
)

const (
	allowedPartCrashes = 5
	minSoundShare      = 0.5
	minSoundRequests   = 20 // that share parts, and of the others that begin, from which the shares are judged
	// chanceDeviations is how many standard deviations fewer must begin than if all were alike: of
	// few requests half as many begin by chance.
	chanceDeviations  = 4
	fatalPartInterval = 200 * time.Millisecond
)

// Parts of prompts.
const (
	customerPart = 1
	firstPart    = 2
	fatalPart    = 66
	firstOwnPart = 1000
)

// soundShares counts the sound requests with and without the parts that fatal ones share.
type soundShares struct {
	sharing, others share
	withheld        int // that share parts
}

// promptOf returns a prompt with shared parts and one of its own.
func promptOf(shared ...uint64) []balance.Part {
	var parts []balance.Part
	for _, id := range append(shared, firstOwnPart+rand.Uint64N(1<<40)) {
		parts = append(parts, balance.Part{ID: id, Tokens: 10})
	}
	return parts
}

// hasFatalPart reports whether upstreams crash under a request.
func hasFatalPart(r *http.Request) bool {
	for _, p := range protocol.Prompt(r.Header.Get).Parts {
		if p.ID == fatalPart {
			return true
		}
	}
	return false
}

// sendFatalPart sends different requests with the fatal part until ctx is done.
func (w *harness) sendFatalPart(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprint("part", i)
		path := []string{"/safe/", resumablePath, "/fixed/"}[i%3] + id
		w.sendPrompt(client, w.boxes[i%len(w.boxes)], outgoing{id: id, path: path, body: "body of " + id, prompt: promptOf(customerPart, firstPart, fatalPart)})
		time.Sleep(fatalPartInterval)
	}
}

func (w *harness) sendPrompt(client *http.Client, b *box, o outgoing) {
	ctx, cancel := newCallerContext()
	defer cancel()
	w.sendWithin(ctx, client, b, o)
}

// crashOnPart crashes an upstream before it has answered, or after it has begun to.
func (w *harness) crashOnPart(u *upstream, out http.ResponseWriter, id, path string) {
	w.fatal.requestArrived(w.checker, id, &w.fatal.part)
	if isStream(path) && rand.IntN(2) == 0 {
		out.Header().Set(protocol.Signature, u.id+" "+id)
		out.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(out, streamEvent(id, 1, u.software))
		_ = http.NewResponseController(out).Flush()
	}
	w.crashOnFatal(u)
	resetConnection(out)
}

// countSound records whether a sound request began at a box that no fault affected meanwhile.
func (f *fatal) countSound(b *box, sharing bool, got received) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.part.crashes == 0 || !f.undisturbed(b) || time.Since(f.part.settledAt()) < 0 {
		return
	}
	began := got.whole || len(got.events) > 0
	if sharing && got.withheld {
		f.sound.withheld++
	}
	if sharing {
		f.sound.sharing.add(began)
	} else {
		f.sound.others.add(began)
	}
}

// settledAt is the time from which sound requests are judged.
func (c *crashCount) settledAt() time.Time {
	if c.crashes < c.allowed {
		return c.lastAt.Add(2 * propagationTime)
	}
	return c.limitAt.Add(2 * propagationTime)
}

// checkSound reports a violation if sound requests that share parts with fatal ones begin too seldom.
func (f *fatal) checkSound(violation func(format string, args ...any)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sound
	if s.withheld > 0 {
		violation("%d of %d sound requests that share parts with fatal ones were withheld", s.withheld, s.sharing.tried)
	}
	if s.sharing.tried < minSoundRequests || s.others.brought < minSoundRequests {
		return
	}
	// The shares are compared as products, so that none is divided by 0.
	if float64(s.sharing.brought*s.others.tried) < minSoundShare*float64(s.others.brought*s.sharing.tried) && s.isNoChance() {
		violation("of %d sound requests that share parts with fatal ones %d began, of %d others %d", s.sharing.tried, s.sharing.brought, s.others.tried, s.others.brought)
	}
}

// isNoChance reports whether fewer of the requests that share parts began than chance explains if they
// begin as often as the others.
func (s soundShares) isNoChance() bool {
	began := float64(s.sharing.brought + s.others.brought)
	sharing := float64(s.sharing.tried) / float64(s.sharing.tried+s.others.tried)
	deviation := math.Sqrt(began * sharing * (1 - sharing))
	return float64(s.sharing.brought) < began*sharing-chanceDeviations*deviation
}
