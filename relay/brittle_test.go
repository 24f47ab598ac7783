package relay

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

func TestReadBrittle(t *testing.T) {
	tests := []struct {
		values []string
		want   int
		ok     bool
	}{
		{nil, 0, false},
		{[]string{"5"}, 5, true},
		{[]string{" 0 "}, 0, true},
		{[]string{"7", "3"}, 3, true},
		{[]string{"-1"}, 0, false},
		{[]string{"2.5"}, 0, false},
		{[]string{"many", "4"}, 4, true},
		{[]string{"99999999999999999999"}, 0, false},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.values), func(t *testing.T) {
			is := is.New(t)
			var h fasthttp.ResponseHeader
			for _, v := range tt.values {
				h.Add("X-Brittle", v)
			}
			rejects, ok := readBrittle(&h, "X-Brittle")
			is.Equal(rejects, tt.want)
			is.Equal(ok, tt.ok)
		})
	}
}

// What an upstream states to one box holds for all, and a rejection that one box got keeps the others
// from being rejected as well.
func TestBoxesTellEachOtherOfBrittleUpstream(t *testing.T) {
	is := is.New(t)
	var full atomic.Bool
	u := newStub(t, "u", func(c net.Conn, r stubRequest) bool {
		status, extra := "200 OK", ""
		if full.Load() {
			status, extra = "503 Full", "X-Not-Run: 1\n"
		}
		writeWire(c, fmt.Sprintf("HTTP/1.1 %s\nX-Id: %s\nX-Sign: s\nX-Brittle: 0\n%sContent-Length: 0\n\n", status, r.Header.Get("X-Id"), extra))
		return true
	})
	first, second := startPair(t, u)
	is.Equal(first.once().status, http.StatusOK)
	second.awaitLog(`"msg":"upstream: is brittle"`)
	second.awaitLog(`"rejects":0`)
	full.Store(true)
	is.Equal(first.once().status, http.StatusServiceUnavailable)
	second.awaitLog(`"full":true`)
	received := len(u.requests())
	for range 5 {
		is.Equal(second.once().status, http.StatusServiceUnavailable)
		is.Equal(first.once().status, http.StatusServiceUnavailable)
	}
	is.Equal(len(u.requests()), received)
}
