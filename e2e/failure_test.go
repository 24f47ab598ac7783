package e2e

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/internal/ops"
	"github.com/doormast/doormast/standin"
)

// askMany sends n requests to boxes in turn and gives back the answers.
func askMany(ctx context.Context, boxes []*box, n int, make func(i int) call) (answers []answer, calls []call) {
	answers, calls = append(answers, makeAnswers(n)...), nil
	var wg sync.WaitGroup
	for i := range n {
		c := make(i)
		calls = append(calls, c)
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = ask(ctx, boxes[i%len(boxes)], c)
		}()
	}
	wg.Wait()
	return answers, calls
}

func makeAnswers(n int) []answer { return make([]answer, n) }

func question(i int) call {
	return call{prompt: fmt.Sprintf("question %d len=%d", i, 10+i%40), class: "review", stream: true}
}

// TestPlannedStop stops the owner of the sets while answers stream: all of them
// come whole, and the daemon ends by itself.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, config{domains: 1, boxes: 3, engines: 1, slots: 4, pace: 5 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	victim := s.ownerOf("chat", "d0")
	done := make(chan struct{})
	var answers []answer
	var calls []call
	go func() {
		defer close(done)
		answers, calls = askMany(ctx, s.boxes, 30, question)
	}()
	await(t, "a stream on the box to stop", func() bool {
		st, err := s.status(victim)
		return err == nil && len(st.Classes) > 0 && st.Classes[0].Running > 0
	})
	victim.proc.signal(syscall.SIGTERM)
	await(t, "the balancer to see it leave", func() bool {
		resp, err := http.Get("http://" + victim.callers + "/healthz")
		if err != nil {
			return true
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	<-done
	for i, a := range answers {
		expectWhole(t, calls[i].prompt, a)
	}
	select {
	case err := <-victim.proc.done:
		victim.proc.done <- err
		is.NoErr(err) // it ended by itself, with nothing cut off
	case <-time.After(patience):
		t.Fatal("the daemon did not end")
	}
	s.checkPromises()
}

// ownerOf finds the box that owns a set in a domain.
func (s *system) ownerOf(set, domain string) *box {
	s.t.Helper()
	var owner *box
	await(s.t, "an owner of "+set, func() bool {
		owners := 0
		for _, b := range s.boxes {
			if st, err := s.status(b); b.domain == domain && err == nil && slices.Contains(st.OwnedSets, set) {
				owner = b
				owners++
			}
		}
		return owners == 1
	})
	return owner
}

// TestKilledOwner kills the owner: what the others carry is answered.
func TestKilledOwner(t *testing.T) {
	s := newSystem(t, config{domains: 1, boxes: 3, engines: 1, slots: 2, pace: 5 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	victim := s.ownerOf("chat", "d0")
	var others []*box
	for _, b := range s.boxes {
		if b != victim {
			others = append(others, b)
		}
	}
	done := make(chan struct{})
	var answers []answer
	var calls []call
	go func() {
		defer close(done)
		answers, calls = askMany(ctx, others, 20, question)
	}()
	await(t, "a stream", func() bool { return s.engines[0].Counts().Running > 0 })
	victim.proc.kill()
	<-done
	for i, a := range answers {
		expectWhole(t, calls[i].prompt, a)
	}
	s.checkPromises()
}

// TestFrozenBox stops a box and lets it go on: it notices, and all that it
// carried is answered.
func TestFrozenBox(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, config{domains: 1, boxes: 2, engines: 1, slots: 2, pace: 5 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	victim := s.ownerOf("chat", "d0")
	other := s.boxes[0]
	if other == victim {
		other = s.boxes[1]
	}
	done := make(chan struct{})
	var answers []answer
	var calls []call
	go func() {
		defer close(done)
		answers, calls = askMany(ctx, s.boxes, 16, question)
	}()
	await(t, "a stream", func() bool { return s.engines[0].Counts().Running > 0 })
	victim.proc.signal(syscall.SIGSTOP)
	await(t, "the other to take over", func() bool {
		st, err := s.status(other)
		return err == nil && len(st.OwnedSets) == 2
	})
	victim.proc.signal(syscall.SIGCONT)
	<-done
	for i, a := range answers {
		expectWhole(t, calls[i].prompt, a)
	}
	woke := 0
	for _, e := range s.events() {
		if e.Kind == "woke" {
			woke++
		}
	}
	is.True(woke > 0)
	s.checkPromises()
}

// TestPlatformDown takes the platform away: the system goes on, an edit comes
// into force once it is back, and a box that was replaced meanwhile gets the
// table from its peers.
func TestPlatformDown(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, config{domains: 1, boxes: 3, engines: 1, slots: 4, pace: time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s.platform.SetDown(true)
	expectWhole(t, "while down", ask(ctx, s.boxes[0], call{prompt: "while down", stream: true}))
	s.boxes[2].proc.kill()
	// The new box knows its peers from its settings alone.
	s.restartWithPeers(s.boxes[2])
	s.awaitReady(s.boxes[2])
	expectWhole(t, "replaced", ask(ctx, s.boxes[2], call{prompt: "replaced", stream: true}))
	s.platform.SetDown(false)
	revision := s.platform.SetTable(s.table)
	for _, b := range s.boxes {
		await(t, "the change on "+b.name, func() bool {
			st, err := s.status(b)
			return err == nil && st.TableRevision == revision
		})
	}
	// A stale platform does not turn it back.
	s.platform.ServeOld(s.table.WithRevision(1).Document())
	calls := s.platform.Calls().Calls
	await(t, "some reads of the old table", func() bool { return s.platform.Calls().Calls > calls+4 })
	for _, b := range s.boxes {
		st, err := s.status(b)
		is.NoErr(err)
		is.Equal(st.TableRevision, revision)
	}
	s.checkPromises()
}

// TestBadTable publishes a table that cannot be accepted: the last good one
// stays in force.
func TestBadTable(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, config{domains: 1, boxes: 2, engines: 1, slots: 4, pace: time.Millisecond})
	s.platform.SetRaw([]byte(`{"revision": 2, "classes": []}`))
	await(t, "the bad table to be noticed", func() bool {
		for _, e := range s.events() {
			if e.Kind == "table_bad" {
				return true
			}
		}
		return false
	})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	expectWhole(t, "still", ask(ctx, s.boxes[0], call{prompt: "still", stream: true}))
	st, err := s.status(s.boxes[0])
	is.NoErr(err)
	is.Equal(st.TableRevision, uint64(1))
}

// TestCallerLeaves closes a caller's connection while its stream is idle: the
// engine is told to stop.
func TestCallerLeaves(t *testing.T) {
	s := newSystem(t, config{domains: 1, boxes: 1, engines: 1, slots: 1, pace: time.Hour})
	ctx, leave := context.WithCancel(context.Background())
	go ask(ctx, s.boxes[0], call{prompt: "never mind", stream: true})
	await(t, "the run", func() bool { return s.engines[0].Counts().Running == 1 })
	leave()
	await(t, "the run to stop", func() bool { return s.engines[0].Counts().Running == 0 })
	s.checkPromises()
}

// TestCutStream breaks streams in the middle: they go on from what was
// delivered, and each caller gets its whole answer, none of it twice.
func TestCutStream(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, config{domains: 1, boxes: 2, engines: 2, slots: 4, pace: time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s.engines[0].SetFaults(standin.Faults{CutAfter: 7})
	answers, calls := askMany(ctx, s.boxes, 10, question)
	whole := 0
	for i, a := range answers {
		is.NoErr(a.err)
		if a.done {
			expectWhole(t, calls[i].prompt, a)
			whole++
		} else if a.status == http.StatusOK {
			is.True(len(a.text) <= len(wanted(calls[i].prompt))) // cut, and said so
		}
	}
	is.True(whole > 0)
	s.checkPromises()
}

// TestOnce sends each payment through both boxes at once and again after a box
// was replaced. The plain service counts what it executed.
func TestOnce(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, config{domains: 1, boxes: 2, engines: 1, slots: 4, pace: time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s.plain.SetFaults(standin.PlainFaults{DropAfter: true}) // the worst: executed, and nobody hears of it
	pay := func(i int) call {
		// Ten payments, each sent several times through both boxes.
		key := fmt.Sprintf("dmd1:d0:%d:pay%d", time.Now().UnixMilli(), i/4)
		return call{prompt: fmt.Sprintf("payment %d", i/4), path: "/services/pay/do", headers: map[string]string{"Idempotency-Key": key}}
	}
	calls := make([]call, 40)
	for i := range calls {
		calls[i] = pay(i)
		calls[i].headers["Idempotency-Key"] = calls[i-i%4].headers["Idempotency-Key"]
	}
	// Keys can be vouched for once both boxes have agreed on the list for a while.
	first := call{prompt: "first", path: "/services/pay/do", headers: map[string]string{}}
	await(t, "keys to be vouched for", func() bool {
		first.headers["Idempotency-Key"] = fmt.Sprintf("dmd1:d0:%d:first", time.Now().UnixMilli())
		return ask(ctx, s.boxes[0], first).header.Get("X-Doormast-Reason") != "key_not_vouched"
	})
	now := time.Now().UnixMilli()
	for i := range calls {
		calls[i].headers["Idempotency-Key"] = fmt.Sprintf("dmd1:d0:%d:pay%d", now, i/4)
	}
	askMany(ctx, s.boxes, 20, func(i int) call { return calls[i] })
	s.boxes[1].proc.kill()
	s.startBox(s.boxes[1])
	s.awaitReady(s.boxes[1])
	askMany(ctx, s.boxes, 40, func(i int) call { return calls[i] })
	executed := 0
	for body, n := range s.plain.Executions() {
		if body != "first" {
			is.True(n <= 1) // never twice
			executed += n
		}
	}
	is.True(executed > 0)
	s.checkPromises()
}

// TestRefusalDidNotRun has a service that refuses: callers are told that their
// request did not run, and the service agrees.
func TestRefusalDidNotRun(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, config{domains: 1, boxes: 1, engines: 1, slots: 4, pace: time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s.plain.SetFaults(standin.PlainFaults{Refuse: true})
	a := ask(ctx, s.boxes[0], call{prompt: "x", path: "/services/pay/do"})
	is.Equal(a.header.Get("X-Doormast-Ran"), "no")
	s.plain.SetFaults(standin.PlainFaults{DropAfter: true})
	b := ask(ctx, s.boxes[0], call{prompt: "y", path: "/services/pay/do"})
	is.Equal(b.header.Get("X-Doormast-Ran"), "unknown")
	executed := s.plain.Executions()
	is.Equal(executed["x"], 0)
	is.Equal(executed["y"], 1) // once, and not tried again
}

// TestSecurity turns away callers and operators without the right key.
func TestSecurity(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, config{domains: 1, boxes: 1, engines: 1, slots: 4, pace: time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	a := ask(ctx, s.boxes[0], call{prompt: "x", headers: map[string]string{"Authorization": "Bearer wrong"}})
	is.Equal(a.status, http.StatusUnauthorized)
	b := ask(ctx, s.boxes[0], call{prompt: "x", class: "none"})
	is.Equal(b.status, http.StatusBadRequest)
	for _, key := range []string{"", "wrong", peerKey} {
		c := ops.Dial(s.boxes[0].ops, key)
		_, err := c.Status(ctx)
		is.True(err != nil)
		_, err = c.Drain(ctx)
		is.True(err != nil)
		_ = c.Close()
	}
}

// TestEngineOrders edits the model of the engines' rows: they are ordered to load
// it, with fences, two at a time, and serve on.
func TestEngineOrders(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, config{domains: 1, boxes: 2, engines: 3, slots: 2, pace: time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for i := range s.table.Upstreams {
		if s.table.Upstreams[i].Set == "chat" {
			s.table.Upstreams[i].Model = "next"
		}
	}
	s.platform.SetTable(s.table)
	await(t, "all engines to load it", func() bool {
		for _, e := range s.engines {
			if len(e.Loaded()) == 0 {
				return false
			}
		}
		return true
	})
	expectWhole(t, "after", ask(ctx, s.boxes[0], call{prompt: "after", stream: true}))
	for _, e := range s.engines {
		is.Equal(e.Loaded(), []string{"next"}) // once
	}
}
