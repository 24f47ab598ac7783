package relay

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	KindExhausted  Kind = "full"     // a limit of this box or of an upstream is used up
	KindMalformed  Kind = "garble"   // bytes that are not a valid response
	KindTruncated  Kind = "cut"      // a response ended early
	KindStopped    Kind = "stopped"  // this box stopped the run
	KindReplaced   Kind = "replaced" // another instance of the upstream has taken over its address
	KindNotReading Kind = "unread"   // a caller does not read its response
	KindSilent     Kind = "silent"   // a connection delivers nothing although its upstream is working
	KindTunnel     Kind = "tunnel"   // a connection through another box failed
	KindListen     Kind = "edge"     // a socket cannot be opened for listening
)

// Error is the error type of this package. Op names the failed operation.
type Error struct {
	Op   string
	Kind Kind
	Err  error // nil if the kind is sufficient
}

var _ error = (*Error)(nil)

// Error implements error.
func (e *Error) Error() string {
	s := "relay: " + e.Op + ": " + string(e.Kind)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
