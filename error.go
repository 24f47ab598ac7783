package doormast

import "github.com/rotisserie/eris"

// Kind classifies the errors of this package.
type Kind string

// Kinds of error.
const (
	KindListen   Kind = "edge"     // a server cannot listen on its address
	KindDeadline Kind = "deadline" // a planned stop exceeded its deadline
)

// Error describes a failed operation; Op names the operation.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return "doormast: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return eris.Unwrap(eris.Wrap(e.Err, e.Op)) }
