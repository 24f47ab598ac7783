package relay

// This file defines how the body of a response is read. The invariant: io.EOF is returned only after
// the whole body, if its framing marks the end.

import (
	"bytes"
	"errors"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// bodyReader returns a reader for the body: of known length, chunked, or until the connection is
// closed.
func bodyReader(c *conn, h *fasthttp.ResponseHeader) io.Reader {
	switch n := h.ContentLength(); {
	case h.StatusCode() == fasthttp.StatusNoContent || h.StatusCode() == fasthttp.StatusNotModified:
		return bytes.NewReader(nil)
	case n >= 0:
		return &fixedLengthReader{r: c.reader, left: n}
	case n == lengthChunked:
		return &chunkedReader{c: c, r: httputil.NewChunkedReader(c.reader)}
	default:
		return c.reader
	}
}

var (
	_ io.Reader = (*fixedLengthReader)(nil)
	_ io.Reader = (*chunkedReader)(nil)
)

// fixedLengthReader reads a body of known length; an earlier end is an error.
type fixedLengthReader struct {
	r    io.Reader
	left int
}

// Read implements io.Reader.
func (s *fixedLengthReader) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	n, err := s.r.Read(p[:min(len(p), s.left)])
	s.left -= n
	if errors.Is(err, io.EOF) && s.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedReader reads a chunked body and the trailer after it.
type chunkedReader struct {
	c    *conn
	r    io.Reader
	done bool
}

// Read implements io.Reader.
func (k *chunkedReader) Read(p []byte) (int, error) {
	if k.done {
		return 0, io.EOF
	}
	n, err := k.r.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := k.skipTrailer(); err != nil {
		return n, err
	}
	k.done = true
	return n, io.EOF
}

// skipTrailer reads up to the empty line after the last chunk.
func (k *chunkedReader) skipTrailer() error {
	for size := 0; size <= maxTrailerBytes; {
		line, err := k.c.reader.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		size += len(line)
	}
	return errLongBody
}
