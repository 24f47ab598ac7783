package route

// Kind tells errors of this package apart.
type Kind string

// KindInvalid is the kind of an error about a document that makes no sense.
const KindInvalid Kind = "invalid"

// Error says which part of a document is wrong, and how.
type Error struct {
	Op   string // the part, such as routes[3]
	Kind Kind
	Err  error
}

var _ error = (*Error)(nil)

// Error implements error.
func (e *Error) Error() string {
	return "route: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
