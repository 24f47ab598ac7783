package caller

// This file defines how an answer is written, as a whole or as a stream, and how open
// requests are checked for callers that have disconnected. The invariant: an incomplete
// stream never ends with the end marker.

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/content"
	"github.com/doormast/doormast/timeline"
)

// watch is an open request whose connection Sweep checks.
type watch struct {
	conn     net.Conn
	exchange *Exchange
}

// serve submits the request and answers the caller from the exchange.
func (s *Server) serve(ctx *fasthttp.RequestCtx, req cell.Request, x *Exchange, stream bool) {
	x.ID = req.ID
	req.Content = content.Hash(req.Customer, x.Body, x.Method, x.Path)
	ctx.Response.Header.Set(HeaderRequest, timeline.RequestText(req.ID))
	if own := ctx.Request.Header.Peek(HeaderClientRequest); len(own) > 0 && len(own) <= 128 {
		ctx.Response.Header.SetBytesV(HeaderClientRequest, own)
	}
	s.open.Add(1)
	s.watch(req.ID, ctx.Conn(), x)
	if !s.cfg.Core.Arrive(Arrival{req, x}) {
		s.unwatch(req.ID)
		s.open.Add(-1)
		s.cfg.Core.Refused(decide.Overloaded)
		refuse(ctx, fasthttp.StatusServiceUnavailable, refusal{reason: decide.Overloaded, message: "this box can take no more", retryAfter: time.Second})
		return
	}
	if stream {
		s.serveStream(ctx, x)
		return
	}
	defer s.open.Add(-1)
	defer s.unwatch(req.ID)
	s.serveWhole(ctx, x)
}

// serveWhole waits for the end of the exchange and writes the answer as a whole.
func (s *Server) serveWhole(ctx *fasthttp.RequestCtx, x *Exchange) {
	var parts aggregate
	memory := s.cfg.Memory.Answer(true)
	defer memory.Close()
	for {
		e, ok := x.next()
		switch {
		case !ok || e.kind == endDisconnected:
			breakOff(ctx.Conn())
			return
		case e.kind == endRefused:
			refuse(ctx, statusOf(e.final), refusalOf(e.final))
			return
		case e.kind == pieceWhole:
			ctx.SetStatusCode(e.status)
			ctx.SetContentType(e.contentType)
			ctx.SetBody(e.data)
			return
		case e.kind == endWhole && parts.isBroken:
			refuseBroken(ctx)
			return
		case e.kind == endWhole:
			writeJSON(ctx, fasthttp.StatusOK, parts.answer(timeline.RequestText(x.ID)))
			return
		default:
			parts.add(e.data)
			if parts.isTooLong() || !memory.Hold(context.Background(), parts.memory()) {
				x.Disconnect() // ends the run
				s.cfg.Core.Disconnected(x.ID)
				refuseBroken(ctx)
				return
			}
		}
	}
}

// refuseBroken answers a request whose upstream sent no answer that can be read.
func refuseBroken(ctx *fasthttp.RequestCtx) {
	broken := cell.Final{Reason: decide.UpstreamFailed, Ran: true}
	refuse(ctx, statusOf(broken), refusalOf(broken))
}

// serveStream answers with server-sent events. It sends the status code only with
// the first piece, so that a request refused before that gets the refusal's status.
func (s *Server) serveStream(ctx *fasthttp.RequestCtx, x *Exchange) {
	first, ok := x.next()
	done := func() {
		s.unwatch(x.ID)
		s.open.Add(-1)
	}
	if !ok || first.kind == endDisconnected {
		done()
		breakOff(ctx.Conn())
		return
	}
	if first.kind == endRefused {
		done()
		refuse(ctx, statusOf(first.final), refusalOf(first.final))
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.Response.ImmediateHeaderFlush = true
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer done()
		s.stream(conn, w, x, first)
	})
}

// stream writes pieces until the end of the exchange and flushes after each.
func (s *Server) stream(conn net.Conn, w *bufio.Writer, x *Exchange, e piece) {
	// The connection may serve another request, whose answer may take longer to begin.
	defer func() { _ = conn.SetWriteDeadline(time.Time{}) }()
	for {
		_ = conn.SetWriteDeadline(time.Now().Add(s.cfg.WriteTimeout))
		if err := writePiece(w, e); err != nil {
			x.Disconnect()
			s.cfg.Core.Disconnected(x.ID)
			return
		}
		if e.kind != pieceEvent {
			return
		}
		next, ok := x.next()
		if !ok || next.kind == endDisconnected {
			breakOff(conn)
			return
		}
		e = next
	}
}

// breakOff closes the connection of a caller before its answer is complete. fasthttp ends every
// answer, and what it writes from now on is not sent.
func breakOff(conn net.Conn) { _ = conn.Close() }

// writePiece writes a piece as a server-sent event and flushes it.
func writePiece(w *bufio.Writer, e piece) error {
	switch e.kind {
	case pieceEvent:
		writeEvent(w, e.data)
	case endWhole:
		writeEvent(w, []byte("[DONE]"))
	case endRefused:
		// The answer is incomplete: the caller must not take it for a short one.
		writeEvent(w, errorBody(refusalOf(e.final)))
	}
	return w.Flush()
}

func writeEvent(w *bufio.Writer, data []byte) {
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
}

func (s *Server) watch(id uint64, conn net.Conn, x *Exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watched[id] = &watch{conn, x}
}

func (s *Server) unwatch(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watched, id)
}

// Sweep checks the open requests for callers that have disconnected, which no write
// detects while nothing is sent. It is to be called every few tens of milliseconds.
func (s *Server) Sweep() {
	s.mu.Lock()
	var disconnected []uint64
	for id, w := range s.watched {
		if closedByPeer(w.conn) {
			w.exchange.Disconnect()
			disconnected = append(disconnected, id)
			delete(s.watched, id)
		}
	}
	s.mu.Unlock()
	for _, id := range disconnected {
		s.cfg.Core.Disconnected(id)
	}
}
