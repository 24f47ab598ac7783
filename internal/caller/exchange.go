package caller

// This file defines Exchange, the queue of answer pieces for one request: the core
// and the runner of the upstream write it, and the server reads it. The invariants:
// pieces are read in the order written, the end is last and occurs once, and the
// queue holds at most the buffer's size of pieces and, unless it is a single one,
// maxQueued bytes.

import (
	"errors"
	"sync"
	"sync/atomic"

	"github.com/doormast/doormast/cell"
)

// ErrDisconnected is returned to the writer when the caller has disconnected.
var ErrDisconnected = errors.New("caller: the caller has disconnected")

type pieceKind uint8

const (
	pieceEvent      pieceKind = iota // event of a stream
	pieceWhole                       // answer of a plain service, which also ends the exchange
	endWhole                         // end of a complete stream
	endRefused                       // end without a complete answer
	endDisconnected                  // the caller has disconnected
)

// piece is an element of an answer.
type piece struct {
	kind        pieceKind
	data        []byte
	status      int
	contentType string
	final       cell.Final
}

// maxQueued bounds the pieces that wait for a slow caller, in bytes.
const maxQueued = 64 << 10

// Exchange holds one HTTP request and the queue of the pieces of its answer.
type Exchange struct {
	ID     uint64
	Plain  bool // whether it goes to a plain service
	Method string
	Path   string
	Type   string // content type
	Body   []byte

	pieces       chan piece
	queued       atomic.Int64  // bytes of the pieces
	taken        chan struct{} // readable when a piece was taken
	disconnected chan struct{} // closed when the caller has disconnected
	disconnect   sync.Once
	end          sync.Once
}

// NewExchange returns an exchange whose queue holds up to buffer pieces.
func NewExchange(buffer int) *Exchange {
	return &Exchange{pieces: make(chan piece, buffer), taken: make(chan struct{}, 1), disconnected: make(chan struct{})}
}

// Event queues a copy of an event of the stream. It blocks while the queue is full
// and returns ErrDisconnected once the caller has disconnected.
func (x *Exchange) Event(data []byte) error {
	return x.push(piece{kind: pieceEvent, data: append([]byte(nil), data...)})
}

// Whole queues the answer of a plain service and ends the exchange. It blocks while
// the queue is full. It returns ErrDisconnected if the caller has disconnected or the exchange
// has already ended.
func (x *Exchange) Whole(status int, contentType string, body []byte) error {
	err := ErrDisconnected
	x.end.Do(func() { err = x.push(piece{kind: pieceWhole, status: status, contentType: contentType, data: body}) })
	return err
}

// Done ends the exchange after a complete stream.
func (x *Exchange) Done() {
	x.end.Do(func() { _ = x.push(piece{kind: endWhole}) })
}

// Refuse ends the exchange without a complete answer. It never blocks.
func (x *Exchange) Refuse(f cell.Final) {
	x.end.Do(func() {
		// The goroutine that decides on all requests calls this, so it must not block.
		// If the queue is full, the piece is queued once the slow caller has read
		// another one.
		p := piece{kind: endRefused, final: f}
		select {
		case x.pieces <- p:
		default:
			go func() { _ = x.push(p) }()
		}
	})
}

// Disconnect records that the caller has disconnected.
func (x *Exchange) Disconnect() { x.disconnect.Do(func() { close(x.disconnected) }) }

// Disconnected returns a channel that is closed when the caller has disconnected.
func (x *Exchange) Disconnected() <-chan struct{} { return x.disconnected }

// push queues a piece, or returns ErrDisconnected if the caller has disconnected.
func (x *Exchange) push(p piece) error {
	select {
	case <-x.disconnected:
		return ErrDisconnected
	default:
	}
	if err := x.awaitRoom(int64(len(p.data))); err != nil {
		return err
	}
	select {
	case x.pieces <- p:
		return nil
	case <-x.disconnected:
		return ErrDisconnected
	}
}

// awaitRoom waits until the queue may hold n more bytes, and counts them.
func (x *Exchange) awaitRoom(n int64) error {
	for queued := x.queued.Load(); n > 0 && queued > 0 && queued+n > maxQueued; queued = x.queued.Load() {
		select {
		case <-x.taken:
		case <-x.disconnected:
			return ErrDisconnected
		}
	}
	x.queued.Add(n)
	return nil
}

// next waits for the next piece. It returns false if the caller has disconnected.
func (x *Exchange) next() (piece, bool) {
	select {
	case p := <-x.pieces:
		x.queued.Add(-int64(len(p.data)))
		select {
		case x.taken <- struct{}{}:
		default:
		}
		return p, true
	case <-x.disconnected:
		return piece{}, false
	}
}
