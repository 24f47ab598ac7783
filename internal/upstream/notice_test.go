package upstream

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/timer"
)

// TestNoticesInAnswers checks that a notice in any kind of answer is part of the result, and that no request is sent to the upstream
// afterwards.
func TestNoticesInAnswers(t *testing.T) {
	stream := chunked("a", "[DONE]") + lastChunk
	emptyAnswer := func(status, headers string) string {
		return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 0\r\n\r\n"
	}
	for _, c := range []struct {
		name    string
		answer  string
		plain   bool
		leaving bool
		pauses  bool
	}{
		{"no notice", stream, false, false, false},
		{"a complete stream", "HTTP/1.1 200 OK\r\nX-Leaving: 1\r\n" + stream[len("HTTP/1.1 200 OK\r\n"):], false, true, false},
		{"a plain answer", emptyAnswer("200 OK", "X-Leaving: 1\r\n"), true, true, false},
		{"a refusal", emptyAnswer("503 No", "X-Ran: no\r\nX-Leaving: 1\r\n"), false, true, false},
		{"a refusal with a pause", emptyAnswer("503 No", "X-Ran: no\r\nRetry-After: 30\r\n"), false, false, true},
		{"both notices of a plain service", emptyAnswer("503 No", "X-Ran: no\r\nX-Leaving: 1\r\nRetry-After: 30\r\n"), true, true, true},
		{"an invalid Retry-After", emptyAnswer("503 No", "X-Ran: no\r\nRetry-After: soon\r\n"), false, false, false},
		{"Retry-After in a successful answer", emptyAnswer("200 OK", "Retry-After: 30\r\n"), true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, false, c.answer, stream)
			h := runner()
			defer func() { is.NoErr(h.Close()) }()
			r := h.Run(context.Background(), callTo(s.Addr().String(), c.plain), &collector{})
			is.Equal(r.Notice.Leaving, c.leaving)
			is.Equal(r.Notice.Pause > 0, c.pauses)
			var sink collector
			r = h.Run(context.Background(), callTo(s.Addr().String(), false), &sink)
			is.Equal(r.Outcome == decide.Unused, c.leaving || c.pauses)
			is.Equal(sink.sent, !c.leaving && !c.pauses)
			is.Equal(r.Notice.HasContent(), c.leaving || c.pauses)
			_, err := h.Report(context.Background(), s.Addr().String())
			is.Equal(errors.Is(err, errPaused), c.pauses)
		})
	}
}

// manualClock is a clock that the test sets.
type manualClock struct{ now time.Duration }

var _ timer.Clock = (*manualClock)(nil)

// Boot implements timer.Clock.
func (m *manualClock) Boot() time.Duration { return m.now }

// Wall implements timer.Clock.
func (m *manualClock) Wall() time.Time { return time.Unix(0, int64(m.now)) }

// TestNoticesExpire checks that requests are sent to an upstream again after the pause, and after leavingHold.
func TestNoticesExpire(t *testing.T) {
	is := is.New(t)
	clock := new(manualClock)
	h := NewHTTP(HTTPConfig{Clock: clock})
	h.notices["a"] = notice{leavingAt: time.Second}
	h.notices["b"] = notice{pauseUntil: 3 * time.Second}
	clock.now = 2 * time.Second
	is.Equal(h.activeNotice("a"), decide.AnswerNotice{Leaving: true, Age: time.Second})
	is.Equal(h.activeNotice("b"), decide.AnswerNotice{Pause: time.Second})
	clock.now = 10 * time.Second
	is.True(!h.activeNotice("a").HasContent())
	is.True(!h.activeNotice("b").HasContent())
	is.Equal(len(h.notices), 0)
}
