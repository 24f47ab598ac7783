package mirror

// Kind tells errors of this package apart.
type Kind string

// Kinds of error.
const (
	KindForgotten   Kind = "forgotten"  // changes that are no longer known
	KindUnreachable Kind = "away"       // the publisher gave no answer
	KindRefused     Kind = "refused"    // the publisher answered, but not with what was asked for
	KindNotNeeded   Kind = "not needed" // what was asked for is known meanwhile
)

// Error says what was being done and what went wrong.
type Error struct {
	Op   string
	Kind Kind
	Err  error // nil where the kind says it all
}

var _ error = (*Error)(nil)

// Error implements error.
func (e *Error) Error() string {
	s := "mirror: " + e.Op + ": " + string(e.Kind)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
