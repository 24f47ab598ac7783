package upstream

// This file defines how a response is read from a connection. The invariant: its header, what ends its body and
// the trailer are judged by package framing, for runs as for control calls.

import (
	"bufio"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/internal/framing"
)

// maxInterimResponses is how many interim responses may precede a response.
const maxInterimResponses = 100

// errInterimResponses reports that more interim responses than that precede a response.
var errInterimResponses = errors.New("upstream: too many interim responses")

// readResponse reads a response: its header, and its body of at most maxBody bytes if that is not streamed.
func readResponse(r *bufio.Reader, resp *fasthttp.Response, maxBody int) error {
	if err := readFinalHeader(r, &resp.Header); err != nil {
		return err
	}
	if resp.SkipBody || !hasBody(resp) {
		return nil
	}
	if resp.Header.ContentLength() != framing.LengthChunked {
		return resp.ReadBody(r, maxBody)
	}
	chunks := framing.NewChunkedReader(r)
	if resp.StreamBody {
		resp.SetBodyStream(chunks, framing.LengthChunked)
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(chunks, int64(maxBody)+1))
	if err == nil && len(body) > maxBody {
		return fasthttp.ErrBodyTooLarge
	}
	resp.SetBody(body)
	return err
}

// readFinalHeader reads the header of a response and those of the interim ones before it.
func readFinalHeader(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxInterimResponses + 1 {
		if err := framing.ReadHeader(r, h); err != nil {
			return err
		}
		if status := h.StatusCode(); !isInformational(status) || status == fasthttp.StatusSwitchingProtocols {
			return nil
		}
	}
	return errInterimResponses
}

// isInformational reports whether a status is that of a response without a body, which another one follows in most cases.
func isInformational(status int) bool {
	return status >= fasthttp.StatusContinue && status < fasthttp.StatusOK
}

// hasBody reports whether the status of a response lets it have a body.
func hasBody(resp *fasthttp.Response) bool {
	status := resp.StatusCode()
	return !isInformational(status) && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}
