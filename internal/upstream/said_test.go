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

// What an engine says in any answer is told to who placed the request, and nothing else is sent there meanwhile.
func TestWhatAnswersSayOfTheirUpstreams(t *testing.T) {
	stream := chunked("a", "[DONE]") + last
	says := func(status, headers string) string {
		return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 0\r\n\r\n"
	}
	for _, c := range []struct {
		name    string
		answer  string
		plain   bool
		leaving bool
		pauses  bool
	}{
		{"nothing", stream, false, false, false},
		{"a stream that is served", "HTTP/1.1 200 OK\r\nX-Leaving: 1\r\n" + stream[len("HTTP/1.1 200 OK\r\n"):], false, true, false},
		{"a plain answer", says("200 OK", "X-Leaving: 1\r\n"), true, true, false},
		{"a refusal", says("503 No", "X-Ran: no\r\nX-Leaving: 1\r\n"), false, true, false},
		{"a refusal with a pause", says("503 No", "X-Ran: no\r\nRetry-After: 30\r\n"), false, false, true},
		{"both, of a plain service", says("503 No", "X-Ran: no\r\nX-Leaving: 1\r\nRetry-After: 30\r\n"), true, true, true},
		{"a pause that cannot be read", says("503 No", "X-Ran: no\r\nRetry-After: soon\r\n"), false, false, false},
		{"a time that belongs to no refusal", says("200 OK", "Retry-After: 30\r\n"), true, false, false},
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
			is.Equal(r.Notice.Any(), c.leaving || c.pauses)
			_, err := h.Report(context.Background(), s.Addr().String())
			is.Equal(errors.Is(err, errPaused), c.pauses)
		})
	}
}

// manual is a clock that the test sets.
type manual struct{ now time.Duration }

var _ timer.Clock = (*manual)(nil)

// Boot implements timer.Clock.
func (m *manual) Boot() time.Duration { return m.now }

// Wall implements timer.Clock.
func (m *manual) Wall() time.Time { return time.Unix(0, int64(m.now)) }

// After the pause, and once what was on its way has been given back, an upstream is used again.
func TestWhatAnUpstreamSaidIsForgotten(t *testing.T) {
	is := is.New(t)
	clock := new(manual)
	h := NewHTTP(HTTPConfig{Clock: clock})
	h.said["a"] = heard{leavingAt: time.Second}
	h.said["b"] = heard{pauseTill: 3 * time.Second}
	clock.now = 2 * time.Second
	is.Equal(h.quiet("a"), decide.AnswerNotice{Leaving: true, Age: time.Second})
	is.Equal(h.quiet("b"), decide.AnswerNotice{Pause: time.Second})
	clock.now = 10 * time.Second
	is.True(!h.quiet("a").Any())
	is.True(!h.quiet("b").Any())
	is.Equal(len(h.said), 0)
}
