package caller

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// An engine may end a stream in which it has failed: an answer assembled from it lacked a part and looked whole.
func TestAnswerOfFailedStreamIsNotWhole(t *testing.T) {
	const first, last = `{"model":"m","choices":[{"delta":{"content":"hello "}}]}`, `{"model":"m","choices":[{"delta":{"content":"you"},"finish_reason":"stop"}]}`
	for _, c := range []struct {
		name   string
		events []string
		status int
	}{
		{"whole", []string{first, last}, 200},
		{"error is null", []string{first, `{"error":null,` + last[1:]}, 200},
		{"events without text", []string{`{"choices":[]}`, first, last, `{"usage":{"completion_tokens":2}}`}, 200},
		{"error within", []string{first, `{"error":{"message":"out of memory"}}`}, 502},
		{"error first", []string{`{"error":"no memory"}`}, 502},
		{"not JSON", []string{first, `{"model":"m","choices":[{"del`, last}, 502},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, _ := start(t, func(a Arrival) {
				for _, e := range c.events {
					_ = a.Exchange.Event([]byte(e))
				}
				a.Exchange.Done()
			})
			req, err := http.NewRequest("POST", "http://"+s.Address()+pathChat, strings.NewReader(chat))
			is.NoErr(err)
			req.Header.Set("Authorization", "Bearer k")
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, c.status)
			is.Equal(strings.Contains(string(body), "hello you"), c.status == 200)
			is.True(c.status == 200 || resp.Header.Get(HeaderRan) == "unknown")
		})
	}
}
