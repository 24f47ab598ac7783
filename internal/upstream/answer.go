package upstream

// This file defines how an upstream's answer is read and passed on, whole or event by event.
// The invariant: only a stream that came to its end mark, or a body that was read to its end,
// counts as answered.

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
)

func bodyOf(resp *fasthttp.Response) io.Reader {
	if s := resp.BodyStream(); s != nil {
		return s
	}
	return bytes.NewReader(resp.Body())
}

// readWhole passes on the answer of a plain service. Only a whole one counts.
func (h *HTTP) readWhole(resp *fasthttp.Response, r *run) cell.Result {
	body, err := io.ReadAll(io.LimitReader(bodyOf(resp), int64(h.cfg.MaxAnswer)+1))
	if err != nil || len(body) > h.cfg.MaxAnswer {
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

// readStream passes on the events of a stream. Only a stream that comes to its
// end mark is whole.
func (h *HTTP) readStream(k *conn, resp *fasthttp.Response, r *run) cell.Result {
	failed := cell.Result{Outcome: decide.Failed, Ran: true}
	lines := bufio.NewReaderSize(bodyOf(resp), lineBuffer)
	for {
		_ = k.SetReadDeadline(time.Now().Add(h.cfg.MaxSilence))
		line, err := readLine(lines)
		if err != nil {
			return failed
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == endMark {
			r.whole = true
			_, err := io.Copy(io.Discard, lines)
			r.clean = err == nil && !resp.ConnectionClose()
			return cell.Result{Outcome: decide.Answered, Ran: true}
		}
		if bytes.Contains(data, []byte(`"finish_reason":"`+finishPaused+`"`)) {
			_, err := io.Copy(io.Discard, lines)
			r.clean = err == nil
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
}

// readLine reads a line of a bounded length, without its end.
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
