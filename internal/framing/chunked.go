package framing

// This file defines how a chunked body is read. The invariant: io.EOF is returned only behind a whole trailer whose lines are in
// the grammar. No field of a trailer reaches a caller.

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"net/http/httputil"
)

// maxTrailerBytes bounds the trailer of a chunked body, in bytes.
const maxTrailerBytes = 4 << 10

// errLongTrailer reports a trailer without an end.
var errLongTrailer = errors.New("trailer without an end")

// chunkedReader reads a chunked body and the trailer behind it.
type chunkedReader struct {
	r      *bufio.Reader
	chunks io.Reader
	end    error // what Read returns from now on; nil: not ended
}

var _ io.Reader = (*chunkedReader)(nil)

// NewChunkedReader returns a reader of the chunked body that r is at. Its end is read with it.
func NewChunkedReader(r *bufio.Reader) io.Reader {
	return &chunkedReader{r: r, chunks: httputil.NewChunkedReader(r)}
}

// Read implements io.Reader.
func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.end != nil {
		return 0, c.end
	}
	n, err := c.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		err = cmp.Or(c.skipTrailer(), io.EOF)
	}
	c.end = err
	return n, err
}

// skipTrailer reads up to the empty line behind the last chunk.
func (c *chunkedReader) skipTrailer() error {
	var fields fieldLines
	for size := 0; size <= maxTrailerBytes; {
		b, err := c.r.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		line, _ := nextLine(b)
		if len(line) == 0 {
			return nil
		}
		if err := fields.check(line); err != nil {
			return err
		}
		size += len(b)
	}
	return errLongTrailer
}
