package doormast

import "github.com/rotisserie/eris"

// Kind tells errors of this package apart.
type Kind string

// Kinds of error.
const (
	KindEdge     Kind = "edge"     // an address cannot be listened on
	KindDeadline Kind = "deadline" // a stop took too long
)

// Error is the error of this package: what was being done, and what went wrong.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string {
	return "doormast: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return eris.Unwrap(eris.Wrap(e.Err, e.Op)) }
