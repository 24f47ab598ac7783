package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/account"
)

// serveEndless starts an upstream that answers with start and then sends rest again and again until the connection is
// closed, which it reports.
func serveEndless(t *testing.T, start, rest string) (address string, closed <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Read(make([]byte, 4<<10))
		_, err = io.WriteString(c, start)
		for block := strings.Repeat(rest, 1+(16<<10)/len(rest)); err == nil; {
			_, err = io.WriteString(c, block)
		}
	}()
	return l.Addr().String(), ended
}

// Starts of answers that have no end.
const (
	endlessStatus = "HTTP/1.1 200 OK\r\n"
	endlessChunks = endlessStatus + "Transfer-Encoding: chunked\r\n\r\n"
	endlessEvents = endlessStatus + "Content-Type: text/event-stream\r\n\r\ndata: a\n\n"
)

// Bytes without end in a header or a body were read until the request's deadline.
func TestBytesWithoutEndAreNoAnswer(t *testing.T) {
	for _, c := range []struct {
		name, start, rest string
		isStream          bool
	}{
		{"no answer", "", "\x00\x01\x02a", false},
		{"status line", "HTTP/1.1 200 ", "a", false},
		{"header name", endlessStatus, "a", false},
		{"header value", endlessStatus + "X-A: ", "a", false},
		{"header lines", endlessStatus, "X-A: 1\r\n", false},
		{"continuation lines", endlessStatus + "X-A: 1\r\n", " a\r\n", false},
		{"empty lines", "", "\r\n", false},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", false},
		{"chunks", endlessChunks, "4\r\naaaa\r\n", false},
		{"chunk size", endlessChunks, "0", false},
		{"chunk extension", endlessChunks + "4;", "a", false},
		{"chunk extensions", endlessChunks, "1;aaaaaaaaaaaaaaaa\r\na\r\n", false},
		{"trailer lines", endlessChunks + "4\r\naaaa\r\n0\r\n", "X-A: 1\r\n", false},
		{"trailer", endlessChunks + "4\r\naaaa\r\n0\r\nX-A: ", "a", false},
		{"no length", endlessStatus + "\r\n", "a", false},
		{"long", endlessStatus + "Content-Length: 9000000000\r\n\r\n", "a", false},
		{"event", endlessEvents + "data: ", "a", true},
		{"line", endlessEvents, "a", true},
		{"empty lines in a stream", endlessEvents, "\n", true},
		{"comments", endlessEvents, ": a\n\n", true},
		{"lines that are no fields", endlessEvents, "\x00\xff\n\n", true},
		{"fields without data", endlessEvents, "event: a\n\n", true},
		{"trailer lines of a stream", endlessChunks + "9\r\ndata: a\n\n\r\n0\r\n", "X-A: 1\r\n", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, closed := serveEndless(t, c.start, c.rest)
			h := runner()
			h.cfg.MaxSilence = time.Minute
			defer func() { is.NoErr(h.Close()) }()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second) // much less than MaxSilence
			defer cancel()
			var sink collector
			r := h.Run(ctx, callTo(address, !c.isStream), &sink)
			is.NoErr(ctx.Err()) // it ends by itself
			is.Equal(r.Outcome, decide.Failed)
			is.True(r.Ran)
			is.Equal(sink.whole, "")
			is.True(len(sink.events) <= 1)
			<-closed
		})
	}
}

// A plain answer below 8 KiB is read though the account is used up; a longer one is given up.
func TestShortAnswerNeedsNoMemory(t *testing.T) {
	for _, c := range []struct {
		size int
		want decide.Outcome
	}{{8<<10 - 1, decide.Answered}, {8<<10 + 1, decide.Failed}} {
		is := is.New(t)
		h := runner()
		h.cfg.MaxAnswer, h.cfg.Memory = 1<<20, account.New(1)
		s := serve(t, true, endlessStatus+"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"+chunksOf(strings.Repeat("b", c.size))+lastChunk)
		is.Equal(h.Run(t.Context(), callTo(s.Addr().String(), true), &collector{}).Outcome, c.want)
		is.NoErr(h.Close())
	}
}

// Many answers without end were held together until the box ran out of memory. Sound ones beside them are answered.
func TestAnswersWithoutEndLeaveMemoryToOthers(t *testing.T) {
	const bad = 40
	is := is.New(t)
	h := runner()
	defer func() { is.NoErr(h.Close()) }()
	h.cfg.MaxAnswer, h.cfg.MaxSilence = 1<<20, time.Minute
	h.cfg.Memory = account.New(4 << 20)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second) // much less than MaxSilence
	defer cancel()
	ended := make(chan decide.Outcome, bad)
	for range bad {
		address, _ := serveEndless(t, endlessStatus+"\r\n", "a")
		go func() { ended <- h.Run(ctx, callTo(address, true), &collector{}).Outcome }()
	}
	for _, size := range []int{1, account.FreeAnswer / 4, 256 << 10} {
		s := serve(t, false, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", endlessStatus, size, strings.Repeat("b", size)))
		var sink collector
		is.Equal(h.Run(ctx, callTo(s.Addr().String(), true), &sink).Outcome, decide.Answered)
		is.Equal(len(sink.whole), size)
	}
	for range bad {
		is.Equal(<-ended, decide.Failed)
	}
	is.NoErr(ctx.Err())
	is.True(h.cfg.Memory.Peak() > 0)
	is.True(h.cfg.Memory.Peak() <= h.cfg.Memory.Bound())
	is.Equal(h.cfg.Memory.Used(), int64(0))
}
