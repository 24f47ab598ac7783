package caller

// This file defines the exchange of one request: what comes from the upstream
// and the decisions on one side, and goes to the caller on the other. The
// invariants: pieces come out in order, the end comes last and once, and at most
// the buffer's size of pieces waits.

import (
	"errors"
	"sync"

	"github.com/doormast/doormast/cell"
)

// ErrLeft is returned to the upstream's side when the caller has gone.
var ErrLeft = errors.New("caller: the caller has left")

type pieceKind uint8

const (
	pieceEvent pieceKind = iota
	pieceWhole           // the answer of a plain service, which is also its end
	endWhole
	endRefused
	endLeft
)

// piece is one thing for the caller.
type piece struct {
	kind        pieceKind
	data        []byte
	status      int
	contentType string
	final       cell.Final
}

// Exchange joins the two sides of one request.
type Exchange struct {
	ID     uint64
	Plain  bool
	Method string
	Path   string
	Type   string
	Body   []byte

	pieces chan piece
	left   chan struct{}
	leave  sync.Once
	end    sync.Once
}

// NewExchange returns an exchange that holds up to buffer pieces.
func NewExchange(buffer int) *Exchange {
	return &Exchange{pieces: make(chan piece, buffer), left: make(chan struct{})}
}

// Event hands over an event of the stream. It blocks while the caller is slow,
// and fails once the caller has left.
func (x *Exchange) Event(data []byte) error {
	return x.push(piece{kind: pieceEvent, data: append([]byte(nil), data...)})
}

// Whole hands over the answer of a plain service.
func (x *Exchange) Whole(status int, contentType string, body []byte) error {
	err := ErrLeft
	x.end.Do(func() { err = x.push(piece{kind: pieceWhole, status: status, contentType: contentType, data: body}) })
	return err
}

// Done ends the exchange with a whole answer.
func (x *Exchange) Done() {
	x.end.Do(func() { _ = x.push(piece{kind: endWhole}) })
}

// Refuse ends the exchange without one.
func (x *Exchange) Refuse(f cell.Final) {
	x.end.Do(func() {
		// It must not block: it is called by the decisions' duty. If the buffer
		// is full, the caller is slow and gets the end once it has caught up.
		p := piece{kind: endRefused, final: f}
		select {
		case x.pieces <- p:
		default:
			go func() { _ = x.push(p) }()
		}
	})
}

// Leave says that the caller has gone.
func (x *Exchange) Leave() { x.leave.Do(func() { close(x.left) }) }

// Left is closed when the caller has gone.
func (x *Exchange) Left() <-chan struct{} { return x.left }

func (x *Exchange) push(p piece) error {
	select {
	case <-x.left:
		return ErrLeft
	default:
	}
	select {
	case x.pieces <- p:
		return nil
	case <-x.left:
		return ErrLeft
	}
}

// next returns the next piece; false means that the caller has left.
func (x *Exchange) next() (piece, bool) {
	select {
	case p := <-x.pieces:
		return p, true
	case <-x.left:
		return piece{}, false
	}
}
