package upstream

// This file defines how an upstream's answer is read and passed to the sink, as a whole or
// event by event. The invariant: only a stream with its end marker, or a body that was read to
// its end, counts as answered; the end of a connection is the end of a body only if the upstream
// is still there or had said that it is leaving.

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/account"
	"github.com/doormast/doormast/internal/framing"
)

// bodyOf returns a reader of the body of a response, streamed or not.
func bodyOf(resp *fasthttp.Response) io.Reader {
	if s := resp.BodyStream(); s != nil {
		return s
	}
	return bytes.NewReader(resp.Body())
}

// readWhole reads the answer of a plain service and passes it to the sink once it is
// complete. A refusal by the upstream, which did not run the request, is not passed on.
func (h *HTTP) readWhole(ctx context.Context, resp *fasthttp.Response, r *run) cell.Result {
	memory := h.cfg.Memory.Answer(resp.Header.ContentLength() < 0)
	defer memory.Close()
	body, err := h.readBody(ctx, resp, memory)
	if err != nil || len(body) == 0 && r.call.Method != fasthttp.MethodHead && lacksBody(resp) {
		return cell.Result{Outcome: decide.Failed, Ran: true}
	}
	if h.isCutByEnd(ctx, resp, r) {
		return cell.Result{Outcome: decide.Failed, Ran: true}
	}
	r.clean, r.whole = !resp.ConnectionClose(), true
	refused := resp.StatusCode() >= 500 && string(resp.Header.Peek(HeaderRan)) == "no"
	if refused {
		return cell.Result{Outcome: decide.Failed, Refused: true}
	}
	if err := r.sink.Whole(resp.StatusCode(), string(resp.Header.ContentType()), body); err != nil {
		return cell.Result{Outcome: decide.Abandoned, Ran: true}
	}
	return cell.Result{Outcome: decide.Answered, Ran: true}
}

// Errors for answers that are given up.
var (
	errLongAnswer  = errors.New("upstream: answer too long")
	errMemoryShort = errors.New("upstream: answers take all the memory that they may")
)

// initialBody is the size of the first buffer for a body, in bytes.
const initialBody = 4 << 10

// readBody reads the body of an answer of up to MaxAnswer bytes.
func (h *HTTP) readBody(ctx context.Context, resp *fasthttp.Response, memory *account.Answer) ([]byte, error) {
	src := bodyOf(resp)
	body := make([]byte, 0, initialBody)
	for {
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > h.cfg.MaxAnswer || resp.BodyStream() != nil && resp.Header.ContentLength() > h.cfg.MaxAnswer:
			return nil, errLongAnswer
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		}
		size := 2 * cap(body)
		if !memory.Hold(ctx, int64(cap(body)+size)) {
			return nil, errMemoryShort
		}
		body = append(make([]byte, 0, size), body...)
		memory.Shrink(int64(size))
	}
}

// isCutByEnd reports whether the connection ended with the process of the upstream, rather than with
// the answer: the system closes the connections of a process that was killed as the process would.
// One that is leaving may accept no connection either, and ends its answers.
func (h *HTTP) isCutByEnd(ctx context.Context, resp *fasthttp.Response, r *run) bool {
	if r.call.Method == fasthttp.MethodHead || !endsWithConnection(resp) {
		return false
	}
	if r.notice.Leaving || h.activeNotice(r.call.Address).Leaving {
		return false
	}
	select {
	case <-time.After(endCheckDelay):
	case <-ctx.Done():
	}
	return h.refusesConnections(ctx, r.call.Address)
}

// endCheckDelay is how long after the end of a connection its upstream is looked at: one that is told to stop may
// close its connections, answers under way included, before its listener.
const endCheckDelay = 100 * time.Millisecond

// endsWithConnection reports whether only the end of its connection ends an answer.
func endsWithConnection(resp *fasthttp.Response) bool {
	return hasBody(resp) && resp.Header.ContentLength() == framing.LengthUnknown
}

// lacksBody reports whether an answer whose connection ended behind its header is incomplete: it is a success, and
// nothing says that it has no body. HTTP/1.0 has no other way to end one.
func lacksBody(resp *fasthttp.Response) bool {
	status := resp.StatusCode()
	isSuccess := status >= fasthttp.StatusOK && status < fasthttp.StatusMultipleChoices
	return isSuccess && endsWithConnection(resp) && resp.Header.IsHTTP11()
}

// maxSkipped bounds the lines without data between two events of a stream, in bytes.
const maxSkipped = 1 << 20

// readStream passes the events of a stream to the sink. A stream that ends without
// its end marker or the marker of a paused run has failed, and so has one without a further event.
func (h *HTTP) readStream(k *conn, resp *fasthttp.Response, r *run) cell.Result {
	failed := cell.Result{Outcome: decide.Failed, Ran: true}
	lines := bufio.NewReaderSize(bodyOf(resp), lineBuffer)
	for skipped := 0; skipped <= maxSkipped; {
		_ = k.SetReadDeadline(time.Now().Add(h.cfg.MaxSilence))
		line, err := readLine(lines)
		if err != nil {
			return failed
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			skipped += len(line) + len("\n")
			continue
		}
		skipped = 0
		if string(data) == endMarker {
			r.whole = true
			r.clean = readEnd(k, lines) && !resp.ConnectionClose()
			return cell.Result{Outcome: decide.Answered, Ran: true}
		}
		if bytes.Contains(data, []byte(`"finish_reason":"`+finishPaused+`"`)) {
			r.clean = readEnd(k, lines) && !resp.ConnectionClose()
			return cell.Result{Outcome: decide.Paused, Ran: true}
		}
		if err := r.sink.Event(data); err != nil {
			return cell.Result{Outcome: decide.Abandoned, Ran: true}
		}
		r.tokens++
		if r.first == 0 {
			r.first = h.cfg.Clock.Boot()
		}
	}
	return failed
}

// Bounds of what is read behind the last event of a stream, to keep its connection.
const (
	maxStreamRest  = 4 << 10 // bytes
	streamRestWait = 100 * time.Millisecond
)

// readEnd reads the rest of a stream behind its last event, and reports whether that has ended. A
// longer rest is not read: the caller waits for the end of its answer.
func readEnd(k *conn, rest io.Reader) bool {
	_ = k.SetReadDeadline(time.Now().Add(streamRestWait))
	n, err := io.Copy(io.Discard, io.LimitReader(rest, maxStreamRest+1))
	return err == nil && n <= maxStreamRest
}

// readLine returns the next line without its line ending. It fails for a line longer
// than maxEvent. The bytes are only valid until the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := append([]byte(nil), line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = r.ReadSlice('\n')
			long = append(long, line...)
			if len(long) > maxEvent {
				return nil, fmt.Errorf("upstream: event longer than %d bytes", maxEvent)
			}
		}
		line = long
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}
