package relay

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// answerForm is how an upstream marks the end of a stream.
type answerForm string

const (
	formChunked  answerForm = "chunks"
	formLength   answerForm = "a length"
	formUnframed answerForm = "neither"
)

// wireAnswer returns the bytes of an answer with the given events, each of which is a chunk where there are
// chunks, and the offsets at which an event has been written whole.
func wireAnswer(form answerForm, id string, events []string) (wire string, ends []int) {
	var b strings.Builder
	body := strings.Join(events, "")
	head := map[answerForm]string{formChunked: "Transfer-Encoding: chunked\r\n", formLength: fmt.Sprintf("Content-Length: %d\r\n", len(body)), formUnframed: ""}[form]
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\nContent-Type: text/event-stream\r\n%s\r\n", id, head)
	for _, e := range events {
		if form == formChunked {
			e = fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
		}
		b.WriteString(e)
		ends = append(ends, b.Len())
	}
	if form == formChunked {
		b.WriteString("0\r\n\r\n")
	}
	return b.String(), ends
}

// killedUpstreams are upstreams that share a script: the first run of each request is cut off, and later
// ones go on.
type killedUpstreams struct {
	form answerForm

	mu   sync.Mutex
	cuts map[string]cut      // by request
	runs map[string][]string // by request, after which events they were asked to go on
}

// cut is where the first run of a request ends, and how.
type cut struct {
	at     int // bytes of the answer
	resets bool
}

// script answers a request.
func (k *killedUpstreams) script(c net.Conn, r stubRequest) bool {
	id := r.Header.Get("X-Id")
	after, _ := strconv.Atoi(r.Header.Get("X-Last"))
	k.mu.Lock()
	k.runs[id] = append(k.runs[id], r.Header.Get("X-Last"))
	cut, isFirst := k.cuts[id], len(k.runs[id]) == 1
	k.mu.Unlock()
	if !isFirst {
		wire, _ := wireAnswer(formChunked, id, eventsAfter(after))
		_, _ = c.Write([]byte(wire))
		return true
	}
	wire, _ := wireAnswer(k.form, id, eventsAfter(after))
	_, _ = c.Write([]byte(wire[:cut.at]))
	if cut.resets {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	return false
}

// eventsAfter returns the events of the stream after one of them.
func eventsAfter(after int) (events []string) {
	for i := after + 1; i <= 4; i++ {
		events = append(events, event(i))
	}
	return events
}

// An upstream that is killed may leave any part of its answer, and its system closes or resets the connection.
func TestAnswerIsCutOffAtAnyByte(t *testing.T) {
	for _, form := range []answerForm{formChunked, formLength, formUnframed} {
		for _, path := range []string{"/flow/", "/fixed/", "/safe/", "/once/"} {
			t.Run(string(form)+path, func(t *testing.T) {
				t.Parallel()
				k := &killedUpstreams{form: form, cuts: make(map[string]cut), runs: make(map[string][]string)}
				b := newTestBox(t, newStub(t, "u1", k.script), newStub(t, "u2", k.script), newStub(t, "u3", k.script))
				wire, ends := wireAnswer(form, "0000-0", eventsAfter(0))
				for at := range len(wire) {
					k.checkCut(b, path, fmt.Sprintf("%04d-r", at), cut{at, true})
					isPlain := path == "/safe/" || path == "/once/"
					if form == formUnframed && (slices.Contains(ends, at) || isPlain && at > ends[0]-len(event(1))) {
						continue // nothing in the bytes tells it from the end
					}
					k.checkCut(b, path, fmt.Sprintf("%04d-c", at), cut{at, false})
				}
			})
		}
	}
}

// checkCut sends a request whose first run is cut off, and checks what its caller gets.
func (k *killedUpstreams) checkCut(b *testBox, path, id string, c cut) {
	k.mu.Lock()
	k.cuts[id] = c
	k.mu.Unlock()
	got := b.do(b.request(http.MethodPost, path+id, id, "X-Id", id))
	whole := strings.Join(eventsAfter(0), "")
	isComplete := got.status == http.StatusOK && got.err == nil
	mayRepeat := path == "/flow/" || path == "/safe/"
	switch {
	case isComplete && got.body != whole, !isComplete && mayRepeat, got.status == http.StatusOK && !strings.HasPrefix(whole, got.body):
		b.t.Errorf("%s: %d %q %v; runs were asked to go on after %q", id, got.status, got.body, got.err, k.runs[id])
	}
}
