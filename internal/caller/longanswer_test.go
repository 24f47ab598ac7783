package caller

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/internal/account"
)

// An answer that is assembled from events without end was kept until the box ran out of memory.
func TestEventsWithoutEndAreNoAnswer(t *testing.T) {
	const most = 16 * maxWholeAnswer // of bytes that the upstream sends
	text := strings.Repeat("a", 32<<10)
	for _, c := range []struct{ name, event string }{
		{"text", `{"model":"m","choices":[{"delta":{"content":"` + text + `"}}]}`},
		{"not JSON", text},
		{"error", `{"error":{"message":"` + text + `"}}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			ended := make(chan error, 1)
			s, core := start(t, func(a Arrival) {
				for sent.Load() < most {
					if err := a.Exchange.Event([]byte(c.event)); err != nil {
						ended <- err
						return
					}
					sent.Add(int64(len(c.event)))
				}
				ended <- nil
				a.Exchange.Done()
			})
			resp := post(t, s, chat)
			is.Equal(resp.status, http.StatusBadGateway)
			is.Equal(resp.ran, "unknown")
			is.Equal(<-ended, ErrDisconnected) // the run is told to end
			is.True(sent.Load() < 2*maxWholeAnswer)
			select {
			case id := <-core.left:
				is.Equal(id, uint64(7))
			case <-time.After(20 * time.Second):
				t.Fatal("the core is not told")
			}
		})
	}
}

// Many answers that are assembled from events without end were held together. Sound ones beside them are answered.
func TestEventsWithoutEndLeaveMemoryToOthers(t *testing.T) {
	const bad = 20
	is := is.New(t)
	event := []byte(`{"model":"m","choices":[{"delta":{"content":"` + strings.Repeat("a", 32<<10) + `"}}]}`)
	var arrived atomic.Int32
	s, core := start(t, func(a Arrival) {
		if arrived.Add(1) > bad {
			_ = a.Exchange.Event([]byte(`{"model":"m","choices":[{"delta":{"content":"sound"}}]}`))
			a.Exchange.Done()
			return
		}
		for a.Exchange.Event(event) == nil {
		}
	})
	core.left = make(chan uint64, bad)
	s.cfg.Memory = account.New(2 * maxWholeAnswer)
	statuses := make(chan int, bad)
	for range bad {
		go func() { statuses <- post(t, s, chat).status }()
	}
	for arrived.Load() < bad {
		time.Sleep(time.Millisecond)
	}
	is.Equal(post(t, s, chat).status, http.StatusOK)
	for range bad {
		is.Equal(<-statuses, http.StatusBadGateway)
	}
	is.True(s.cfg.Memory.Peak() > 0)
	is.True(s.cfg.Memory.Peak() <= s.cfg.Memory.Bound())
}

// An assembled answer of 5 KiB is whole though the account is used up; one of 6 KiB is given up.
func TestShortAnswerNeedsNoMemory(t *testing.T) {
	for _, c := range []struct{ size, status int }{{5 << 10, http.StatusOK}, {6 << 10, http.StatusBadGateway}} {
		is := is.New(t)
		s, _ := start(t, func(a Arrival) {
			_ = a.Exchange.Event([]byte(`{"model":"m","choices":[{"delta":{"content":"` + strings.Repeat("a", c.size) + `"}}]}`))
			a.Exchange.Done()
		})
		s.cfg.Memory = account.New(1)
		is.Equal(post(t, s, chat).status, c.status)
	}
}

// The longest answer is whole.
func TestLongAnswerIsWhole(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("a", 32<<10)
	s, _ := start(t, func(a Arrival) {
		for range maxWholeAnswer / len(text) {
			_ = a.Exchange.Event([]byte(`{"model":"m","choices":[{"delta":{"content":"` + text + `"}}]}`))
		}
		a.Exchange.Done()
	})
	resp := post(t, s, chat)
	is.Equal(resp.status, http.StatusOK)
	is.Equal(strings.Count(resp.body, text), maxWholeAnswer/len(text))
}

// posted is what the caller of a chat completion got.
type posted struct {
	status    int
	ran, body string
}

// post sends a chat completion.
func post(t *testing.T, s *Server, body string) posted {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+pathChat, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer k")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return posted{resp.StatusCode, resp.Header.Get(HeaderRan), string(text)}
}
