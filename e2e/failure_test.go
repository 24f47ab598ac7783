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

// sendAll sends n requests concurrently, spread evenly over boxes, and returns the answers and
// the calls in the same order.
func sendAll(ctx context.Context, boxes []*box, n int, newCall func(i int) call) (answers []answer, calls []call) {
	answers, calls = append(answers, makeAnswers(n)...), nil
	var wg sync.WaitGroup
	for i := range n {
		c := newCall(i)
		calls = append(calls, c)
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = send(ctx, boxes[i%len(boxes)], c)
		}()
	}
	wg.Wait()
	return answers, calls
}

func makeAnswers(n int) []answer { return make([]answer, n) }

// reviewCall returns the i-th call of a load of class review.
func reviewCall(i int) call {
	return call{prompt: fmt.Sprintf("question %d len=%d", i, 10+i%40), class: "review", stream: true}
}

// TestPlannedStop sends SIGTERM to the owner of a set while it streams answers: all answers
// complete, its health check fails, and the daemon exits without an error.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, config{domains: 1, boxes: 3, engines: 1, slots: 4, pace: 5 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	victim := s.ownerOf("chat", "d0")
	done := make(chan struct{})
	var answers []answer
	var calls []call
	go func() {
		defer close(done)
		answers, calls = sendAll(ctx, s.boxes, 30, reviewCall)
	}()
	waitFor(t, "a stream on the box that will stop", func() bool {
		st, err := s.status(victim)
		return err == nil && len(st.Classes) > 0 && st.Classes[0].Running > 0
	})
	victim.proc.signal(syscall.SIGTERM)
	waitFor(t, "the health check to fail", func() bool {
		resp, err := http.Get("http://" + victim.callers + "/healthz")
		if err != nil {
			return true
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	<-done
	for i, a := range answers {
		expectComplete(t, calls[i].prompt, a)
	}
	select {
	case err := <-victim.proc.done:
		victim.proc.done <- err
		is.NoErr(err) // a clean exit: no request was cut off
	case <-time.After(eventTimeout):
		t.Fatal("the daemon did not exit")
	}
	s.checkInvariants()
}

// ownerOf waits until exactly one box of a domain owns a set, and returns it.
func (s *system) ownerOf(set, domain string) *box {
	s.t.Helper()
	var owner *box
	waitFor(s.t, "an owner of "+set, func() bool {
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

// TestOwnerKilled kills the owner of a set while other boxes stream: their requests complete.
func TestOwnerKilled(t *testing.T) {
	s := newSystem(t, config{domains: 1, boxes: 3, engines: 1, slots: 2, pace: 5 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
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
		answers, calls = sendAll(ctx, others, 20, reviewCall)
	}()
	waitFor(t, "a running stream", func() bool { return s.engines[0].Counts().Running > 0 })
	victim.proc.kill()
	<-done
	for i, a := range answers {
		expectComplete(t, calls[i].prompt, a)
	}
	s.checkInvariants()
}

// TestSuspendedBox suspends the owner until another box takes over, then resumes it: it records
// that it was suspended, and all its requests complete.
func TestSuspendedBox(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, config{domains: 1, boxes: 2, engines: 1, slots: 2, pace: 5 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
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
		answers, calls = sendAll(ctx, s.boxes, 16, reviewCall)
	}()
	waitFor(t, "a running stream", func() bool { return s.engines[0].Counts().Running > 0 })
	victim.proc.signal(syscall.SIGSTOP)
	waitFor(t, "the other box to take over", func() bool {
		st, err := s.status(other)
		return err == nil && len(st.OwnedSets) == 2
	})
	victim.proc.signal(syscall.SIGCONT)
	<-done
	for i, a := range answers {
		expectComplete(t, calls[i].prompt, a)
	}
	wakeups := 0
	for _, e := range s.events() {
		if e.Kind == "woke" {
			wakeups++
		}
	}
	is.True(wakeups > 0)
	s.checkInvariants()
}

// TestPlatformDown makes the platform unavailable: requests are still served, and a box that
// restarts meanwhile gets the table from its peers. Once the platform is back, an edit takes
// effect, and an older table served after it does not.
func TestPlatformDown(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, config{domains: 1, boxes: 3, engines: 1, slots: 4, pace: time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	s.platform.SetDown(true)
	expectComplete(t, "while down", send(ctx, s.boxes[0], call{prompt: "while down", stream: true}))
	s.boxes[2].proc.kill()
	// The restarted box learns its peers from its settings only.
	s.restartWithPeers(s.boxes[2])
	s.awaitReady(s.boxes[2])
	expectComplete(t, "replaced", send(ctx, s.boxes[2], call{prompt: "replaced", stream: true}))
	s.platform.SetDown(false)
	revision := s.platform.SetTable(s.table)
	for _, b := range s.boxes {
		waitFor(t, "the change on "+b.name, func() bool {
			st, err := s.status(b)
			return err == nil && st.TableRevision == revision
		})
	}
	// A stale platform must not roll the table back.
	s.platform.ServeOld(s.table.WithRevision(1).Document())
	calls := s.platform.Calls().Calls
	waitFor(t, "some reads of the old table", func() bool { return s.platform.Calls().Calls > calls+4 })
	for _, b := range s.boxes {
		st, err := s.status(b)
		is.NoErr(err)
		is.Equal(st.TableRevision, revision)
	}
	s.checkInvariants()
}

// TestInvalidTable publishes an invalid table: the last valid one stays active.
func TestInvalidTable(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, config{domains: 1, boxes: 2, engines: 1, slots: 4, pace: time.Millisecond})
	s.platform.SetRaw([]byte(`{"revision": 2, "classes": []}`))
	waitFor(t, "an event for the invalid table", func() bool {
		for _, e := range s.events() {
			if e.Kind == "table_bad" {
				return true
			}
		}
		return false
	})
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	expectComplete(t, "still", send(ctx, s.boxes[0], call{prompt: "still", stream: true}))
	st, err := s.status(s.boxes[0])
	is.NoErr(err)
	is.Equal(st.TableRevision, uint64(1))
}

// TestCallerDisconnects closes a caller's connection while its stream is idle: the run on
// the engine is cancelled.
func TestCallerDisconnects(t *testing.T) {
	s := newSystem(t, config{domains: 1, boxes: 1, engines: 1, slots: 1, pace: time.Hour})
	ctx, disconnect := context.WithCancel(context.Background())
	go send(ctx, s.boxes[0], call{prompt: "never mind", stream: true})
	waitFor(t, "the run", func() bool { return s.engines[0].Counts().Running == 1 })
	disconnect()
	waitFor(t, "the run to stop", func() bool { return s.engines[0].Counts().Running == 0 })
	s.checkInvariants()
}

// TestStreamInterrupted makes an engine break its streams in the middle. Streams resume from
// the tokens already delivered: at least one completes, with no token lost or repeated, and an interrupted answer is no longer than the
// full one and has no end marker.
func TestStreamInterrupted(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, config{domains: 1, boxes: 2, engines: 2, slots: 4, pace: time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	s.engines[0].SetFaults(standin.Faults{CutAfter: 7})
	answers, calls := sendAll(ctx, s.boxes, 10, reviewCall)
	whole := 0
	for i, a := range answers {
		is.NoErr(a.err)
		if a.done {
			expectComplete(t, calls[i].prompt, a)
			whole++
		} else if a.status == http.StatusOK {
			is.True(len(a.text) <= len(expectedAnswer(calls[i].prompt))) // interrupted, without the end marker
		}
	}
	is.True(whole > 0)
	s.checkInvariants()
}

// TestOnce sends each payment through both boxes concurrently, and again after one box
// restarts, under one idempotency key. The plain service must execute each at most once.
func TestOnce(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, config{domains: 1, boxes: 2, engines: 1, slots: 4, pace: time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	s.plain.SetFaults(standin.PlainFaults{DropAfter: true}) // worst case: executed, but the response is lost
	executed := 0
	// Boxes that were not scheduled for some time refuse all keys issued before, and execute nothing.
	for round := 0; executed == 0 && ctx.Err() == nil; round++ {
		s.awaitKeysAccepted(ctx)
		pay := payments(round, time.Now())
		sendAll(ctx, s.boxes, 20, pay)
		s.boxes[1].proc.kill()
		s.startBox(s.boxes[1])
		s.awaitReady(s.boxes[1])
		sendAll(ctx, s.boxes, 40, pay)
		for body, n := range s.plain.Executions() {
			is.True(n <= 1 || body == firstPayment) // at most once
			if body != firstPayment {
				executed += n
			}
		}
	}
	is.True(executed > 0)
	s.checkInvariants()
}

// firstPayment is the body of the requests of awaitKeysAccepted.
const firstPayment = "first"

// awaitKeysAccepted waits until the first box accepts idempotency keys, which it does only after all
// boxes have agreed on their list for a while.
func (s *system) awaitKeysAccepted(ctx context.Context) {
	s.t.Helper()
	waitFor(s.t, "idempotency keys to be accepted", func() bool {
		key := fmt.Sprintf("dmd1:d0:%d:first", time.Now().UnixMilli())
		first := call{prompt: firstPayment, path: "/services/pay/do", headers: map[string]string{"Idempotency-Key": key}}
		return send(ctx, s.boxes[0], first).header.Get("X-Doormast-Reason") != "key_not_vouched"
	})
}

// payments returns calls that make ten payments, four for each, with keys issued at the given time.
func payments(round int, issued time.Time) func(i int) call {
	return func(i int) call {
		payment := fmt.Sprintf("payment %d-%d", round, i/4)
		key := fmt.Sprintf("dmd1:d0:%d:%d-pay%d", issued.UnixMilli(), round, i/4)
		return call{prompt: payment, path: "/services/pay/do", headers: map[string]string{"Idempotency-Key": key}}
	}
}

// TestRejectedRequestDidNotRun checks the reported execution state of failed requests: "no" for a
// request that the service rejected, and "unknown" for one whose response was lost.
func TestRejectedRequestDidNotRun(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, config{domains: 1, boxes: 1, engines: 1, slots: 4, pace: time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	s.plain.SetFaults(standin.PlainFaults{Refuse: true})
	a := send(ctx, s.boxes[0], call{prompt: "x", path: "/services/pay/do"})
	is.Equal(a.header.Get("X-Doormast-Ran"), "no")
	s.plain.SetFaults(standin.PlainFaults{DropAfter: true})
	b := send(ctx, s.boxes[0], call{prompt: "y", path: "/services/pay/do"})
	is.Equal(b.header.Get("X-Doormast-Ran"), "unknown")
	executed := s.plain.Executions()
	is.Equal(executed["x"], 0)
	is.Equal(executed["y"], 1) // once, without a retry
}

// Answers with a malformed header reached callers.
func TestAnswerWithMalformedHeaderIsFailure(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, config{domains: 1, boxes: 1, engines: 1, slots: 4, pace: time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	for _, c := range []struct {
		start  string
		status int
	}{{"HTTP/1.1 200 OK", 200}, {"HTTP/1.1 200 OK\r\nX A: 1", 502}, {"HTTP/1.1 200 OK\r\nX\x01A: 1", 502}, {"HTTP/1.1 200 OK\r\nX-A : 1", 502}, {"HTTP/1.1 000 OK", 502}} {
		s.plain.SetFaults(standin.PlainFaults{Start: c.start})
		a := send(ctx, s.boxes[0], call{prompt: c.start, path: "/services/pay/do"})
		is.Equal(a.status, c.status)
		is.Equal(a.header.Get("X-Doormast-Ran") == "unknown", c.status != 200)
		is.Equal(s.plain.Executions()[c.start], 1) // once, without a retry
	}
}

// TestInvalidKeysRejected checks that callers and operators with an invalid key are rejected, and so is
// a request for an unknown class.
func TestInvalidKeysRejected(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, config{domains: 1, boxes: 1, engines: 1, slots: 4, pace: time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	a := send(ctx, s.boxes[0], call{prompt: "x", headers: map[string]string{"Authorization": "Bearer wrong"}})
	is.Equal(a.status, http.StatusUnauthorized)
	b := send(ctx, s.boxes[0], call{prompt: "x", class: "none"})
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

// TestEngineLoadOrders changes the model of the engines in the table: each engine loads it
// exactly once, by fenced orders that go to two engines at a time, and requests are served
// afterwards.
func TestEngineLoadOrders(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, config{domains: 1, boxes: 2, engines: 3, slots: 2, pace: time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	for i := range s.table.Upstreams {
		if s.table.Upstreams[i].Set == "chat" {
			s.table.Upstreams[i].Model = "next"
		}
	}
	s.platform.SetTable(s.table)
	waitFor(t, "all engines to load the model", func() bool {
		for _, e := range s.engines {
			if len(e.Loaded()) == 0 {
				return false
			}
		}
		return true
	})
	expectComplete(t, "after", send(ctx, s.boxes[0], call{prompt: "after", stream: true}))
	for _, e := range s.engines {
		is.Equal(e.Loaded(), []string{"next"}) // exactly once
	}
}
