package oplog

// Kind tells errors of this package apart.
type Kind string

// KindUnknown is the kind of an error about a request that no line names.
const KindUnknown Kind = "no line names it"

// Error says what was looked for.
type Error struct {
	Op   string
	Kind Kind
}

var _ error = (*Error)(nil)

// Error implements error.
func (e *Error) Error() string { return "oplog: " + e.Op + ": " + string(e.Kind) }
