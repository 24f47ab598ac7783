package oplog

// Kind classifies the errors of this package.
type Kind string

// KindRequestNotFound means that no log line has the id of the request.
const KindRequestNotFound Kind = "no log line has this request id"

// Error is a failed operation. Op names the operation and the request id.
type Error struct {
	Op   string
	Kind Kind
}

var _ error = (*Error)(nil)

// Error implements error.
func (e *Error) Error() string { return "oplog: " + e.Op + ": " + string(e.Kind) }
