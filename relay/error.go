package relay

// Kind tells errors of this package apart.
type Kind string

// Kinds of error.
const (
	KindExhausted  Kind = "full"     // this box may use no more of something
	KindMalformed  Kind = "garble"   // bytes that are no answer in the protocol
	KindTruncated  Kind = "cut"      // an answer ended before its end
	KindReplaced   Kind = "replaced" // another start of an upstream has its address
	KindNotReading Kind = "unread"   // a caller does not take its answer
	KindSilent     Kind = "silent"   // a connection carries nothing more
	KindListen     Kind = "edge"     // an address cannot be listened on
)

// Error is the error of this package: what was being done, and what went wrong.
type Error struct {
	Op   string
	Kind Kind
	Err  error // nil where the kind says it all
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
