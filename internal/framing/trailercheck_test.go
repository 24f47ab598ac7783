package framing

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/internal/framing/framingtest"
)

// chunkedRequest returns a request in chunks with a trailer.
func chunkedRequest(trailer string) string {
	return "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n3;a=b\r\n\n\r\n\r\n0\r\n" + trailer + "\r\n"
}

// The request whose trailer is malformed is found among others, however their bytes arrive.
func TestTrailerIsJudgedAlikeInPieces(t *testing.T) {
	const plain = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\n\r\n0\r\nX A:"
	long := "X-A: " + strings.Repeat("a", 2*maxKeptLine)
	malformed := append(framingtest.MalformedFields(), framingtest.Line{Name: "control character behind what is kept", Text: long + "\x01a"},
		framingtest.Line{Name: "carriage return behind what is kept", Text: long + "\ra"}, framingtest.Line{Name: "white space", Text: " X-A: 1"})
	sound := append(framingtest.SoundFields(), framingtest.Line{Name: "long", Text: long})
	for n, l := range append(malformed, sound...) {
		stream := plain + "\r\n" + chunkedRequest("X-T: 1\r\n") + "GET / HTTP/1.1\r\nHost: h\r\n\r\n" + chunkedRequest(l.Text+"\r\n") + plain
		for _, size := range []int{1, 2, 7, 100, len(stream)} {
			var c TrailerCheck
			for b := []byte(stream); len(b) > 0; b = b[min(size, len(b)):] {
				_, _ = c.Write(b[:min(size, len(b))])
			}
			for request := range uint64(6) {
				isMalformed := request == 4 && n < len(malformed)
				if err := c.Err(request); request > 0 && (err != nil) != isMalformed {
					t.Errorf("%s, request %d, in pieces of %d: %v", l.Name, request, size, err)
				}
			}
		}
	}
}

// Requests end where the parser finds their ends.
func FuzzTrailerCheck(f *testing.F) {
	for _, l := range append(framingtest.MalformedFields(), framingtest.SoundFields()...) {
		f.Add([]byte(chunkedRequest(l.Text+"\r\n") + chunkedRequest("")))
	}
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n0\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:\r\n chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n \r\n\t3\r\n\r\nabc"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if len(text) > 4<<10 {
			return
		}
		r := bufio.NewReader(bytes.NewReader(text))
		var c TrailerCheck
		read := 0
		for n := uint64(1); ; n++ {
			var q fasthttp.Request
			if q.Header.Read(r) != nil || q.MayContinue() || CheckRequest(&q.Header) != nil || q.ContinueReadBody(r, 1<<20) != nil {
				return
			}
			end := len(text) - r.Buffered()
			_, _ = c.Write(text[read:end])
			read = end
			if c.requests != n || c.part != partStart || len(c.line) > 0 {
				t.Fatalf("request %d ends at %d, and the check is in request %d, part %d: %q", n, end, c.requests, c.part, text)
			}
		}
	})
}

// BenchmarkTrailerCheck follows a usual request.
func BenchmarkTrailerCheck(b *testing.B) {
	request := []byte("POST /chat/2f HTTP/1.1\r\nHost: h.example\r\nX-Id: 9c41d07be2a35f68\r\nX-Model: m\r\nX-Tokens: 1460,80\r\n" +
		"X-Parts: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nX-Left: 6000\r\nX-Key: nctnfzs989anu6wsjnb\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("b", 1000))
	var c TrailerCheck
	b.ReportAllocs()
	for b.Loop() {
		_, _ = c.Write(request[:1])
		_, _ = c.Write(request[1:])
	}
}
