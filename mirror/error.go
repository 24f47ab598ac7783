package mirror

// Kind classifies the errors of this package.
type Kind string

// Kinds of error.
const (
	KindHistoryExpired Kind = "forgotten"  // the changes asked for are no longer kept
	KindUnreachable    Kind = "away"       // the publisher did not respond
	KindRefused        Kind = "refused"    // the publisher responded with an error
	KindNotNeeded      Kind = "not needed" // the result is already known from another source
)

// Error describes a failed operation; Op names the operation.
type Error struct {
	Op   string
	Kind Kind
	Err  error // the cause; may be nil
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
