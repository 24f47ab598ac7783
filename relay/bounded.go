package relay

// This file defines how much of an upstream's bytes is read where they bring nothing to a caller. The
// invariant: bytes without end, wherever they come in a response, end the use of their connection
// after a bounded number of them.

import (
	"errors"
	"io"
	"time"
)

const (
	// maxInterimResponses is how many interim responses may precede a response.
	maxInterimResponses = 8
	// maxDiscardedBody bounds a body that is read only to keep its connection, in bytes: a new
	// connection costs less than a longer one.
	maxDiscardedBody = 64 << 10
	// discardWait is how long the body of a refusal is waited for.
	discardWait = 100 * time.Millisecond
	// maxCallResponse bounds the body of a response to a call of the box itself, in bytes. A report has
	// some 40 for each run.
	maxCallResponse = 256 << 10
)

// errLongBody reports that a body is longer than what is read of it.
var errLongBody = &Error{Op: "read response", Kind: KindMalformed, Err: errors.New("body without an end")}

// readWhole reads a body of up to limit bytes.
func readWhole(resp *response, limit int) ([]byte, error) {
	if resp.header.ContentLength() > limit {
		return nil, errLongBody
	}
	body, err := io.ReadAll(io.LimitReader(resp.body, int64(limit)+1))
	if err == nil && len(body) > limit {
		return nil, errLongBody
	}
	return body, err
}

// discardBody reads a short body that is not used.
func discardBody(resp *response) error {
	if resp.header.ContentLength() > maxDiscardedBody {
		return errLongBody
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.body, maxDiscardedBody+1))
	if err == nil && n > maxDiscardedBody {
		return errLongBody
	}
	return err
}
