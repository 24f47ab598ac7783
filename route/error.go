package route

// Kind classifies the errors of this package.
type Kind string

// KindInvalid is the kind of an error about an invalid document.
const KindInvalid Kind = "invalid"

// Error describes the invalid part of a document.
type Error struct {
	Op   string // the path of the part, such as routes[3]
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
