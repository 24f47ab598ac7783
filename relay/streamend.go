package relay

// This file defines what the end of a run's body means for its stream. The invariant: a stream is
// complete only if its upstream marked the end, or closed the connection of a run that this box has
// not stopped, and runs on; where the box does not know whether it has, the stream is not complete.

import (
	"errors"
	"io"

	"github.com/doormast/doormast/balance"
)

// Errors for runs that this box has asked their upstreams to stop.
var (
	errRunStopped = &Error{Op: "read stream", Kind: KindStopped}
	// errEndUnknown reports that the connection of a run was closed and that the box does not know
	// whether its call has stopped the run.
	errEndUnknown = &Error{Op: "read stream", Kind: KindTruncated, Err: io.ErrUnexpectedEOF}
)

// What marked the end of a response, in log lines and metric names.
const (
	endByFraming    = "framing"    // its length or last chunk
	endByConnection = "connection" // its upstream closed the connection
)

// responsesEndedByConnection counts responses, other than streams, that ended with their connections.
const responsesEndedByConnection = "responses_ended_by_connection"

// streamsEndedInMove counts streams that ended after their upstream had been asked to move the run.
const streamsEndedInMove = "streams_ended_in_move"

// runEnd is how the body of a run ended.
type runEnd struct {
	cause error   // io.EOF: the stream is complete
	move  *move   // the move that stopped the run; nil: none
	copy  RunCopy // of the run's memory, if move is set
}

// finishRun handles the end of the current run's body, which was read with err. It returns nil if the
// stream continues in another run, io.EOF if it is complete, and otherwise why it has broken off.
func (x *exchange) finishRun(err error) error {
	wasAsked := x.move != nil
	end := x.judgeEnd(err)
	if errors.Is(end.cause, io.EOF) && x.needsConfirmation(x.response) {
		x.releaseRunConn(true) // the call may need its place
		if err := x.confirmEnd(x.response); err != nil {
			end.cause = err
		}
	}
	if errors.Is(end.cause, io.EOF) {
		x.noteStreamEnd(wasAsked)
		x.endRun(true, balance.Answered)
		x.outcome = outcomeAnswered
		return io.EOF
	}
	if x.continueMoved(end) || x.resume(end.cause) {
		return nil
	}
	return end.cause
}

// judgeEnd decides how the run has ended, given the error that its body was read with. If the
// upstream has been asked to stop the run, it waits for the response, unless the upstream marked the
// end.
func (x *exchange) judgeEnd(err error) runEnd {
	isClosed := errors.Is(err, io.EOF)
	m := x.move
	if m == nil || isClosed && x.response.hasFraming() {
		return runEnd{cause: err}
	}
	c, ok := m.awaitCopy(x.ctx)
	if ok {
		x.move = nil // otherwise its copy is freed when the exchange is closed
		x.relay.closeReservation(m)
	}
	switch {
	case c.Name != "":
		return runEnd{errRunStopped, m, c}
	case isClosed && !c.NotStopped:
		return runEnd{cause: errEndUnknown}
	}
	return runEnd{cause: err}
}

// noteStreamEnd records what marked the end of the stream, and whether its upstream had been asked to
// move the run.
func (x *exchange) noteStreamEnd(askedToMove bool) {
	x.endedBy, x.endedInMove = endByConnection, askedToMove
	if x.response.hasFraming() {
		x.endedBy = endByFraming
	}
	x.relay.stats.count("streams_ended_by_" + x.endedBy)
	if askedToMove {
		x.relay.stats.count(streamsEndedInMove)
	}
}
