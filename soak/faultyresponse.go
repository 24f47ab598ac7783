package soak

// This file defines the broken plain responses of the simulated upstreams. The invariant: none of them is a whole response to its
// request that a box may pass on, but for the second one behind a stale response.

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"

	"github.com/doormast/doormast/internal/framing/framingtest"
)

// One in faultyShare plain responses is truncated, as many follow a stale response, as many have no end, as
// many stop within their head, and as many have a malformed line in it.
const faultyShare = 20

// maxWithoutEnd bounds a response without an end, in bytes, for boxes that read on.
const maxWithoutEnd = 64 << 20

// sendWithoutEnd sends a response until its connection is closed.
func sendWithoutEnd(w http.ResponseWriter) {
	block := []byte(strings.Repeat("without end ", 1<<10))
	for sent := 0; sent < maxWithoutEnd; sent += len(block) {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
	resetConnection(w)
}

// truncateResponse sends half of a response body and resets the connection.
func truncateResponse(w http.ResponseWriter, id string) {
	body := responseBody(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	resetConnection(w)
}

// cutHead stops within the header of a response, and closes the connection.
func cutHead(w http.ResponseWriter, upstream, id string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s %s\r\nContent-Length: %d\r\n\r\n",
		protocol.RequestID, id, protocol.Signature, upstream, id, len(responseBody(id)))
	_, _ = io.WriteString(c, head[:rand.IntN(len(head))])
	_ = c.Close()
}

// sendMalformedHead sends a response with a line in its header that is not in the grammar, and a body that is not that of
// the request.
func sendMalformedHead(w http.ResponseWriter, upstream, id string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	status, field := "HTTP/1.1 200 OK", ""
	if rand.IntN(2) == 0 {
		status = anyLine(framingtest.MalformedStatusLines())
	} else {
		field = anyLine(framingtest.MalformedFields()) + "\r\n"
	}
	body := "behind a malformed header"
	_, _ = fmt.Fprintf(c, "%s\r\n%s%s: %s\r\n%s: %s %s\r\nContent-Length: %d\r\n\r\n%s", status, field, protocol.RequestID, id, protocol.Signature, upstream, id, len(body), body)
	_ = c.Close()
}

// anyLine returns the text of one of the lines.
func anyLine(lines []framingtest.Line) string { return lines[rand.IntN(len(lines))].Text }

// sendStaleResponse sends a late response to an earlier request, followed by the response to this one. Both
// advertise the limit in the header of w, if there is one: an answer without it would end the limit.
func sendStaleResponse(w http.ResponseWriter, upstream, id string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	limit := ""
	if value := w.Header().Get(protocol.Limit); value != "" {
		limit = protocol.Limit + ": " + value + "\r\n"
	}
	for _, requestID := range []string{"before-" + id, id} {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s %s\r\n%sContent-Length: %d\r\n\r\n%s",
			protocol.RequestID, requestID, protocol.Signature, upstream, requestID, limit, len(responseBody(requestID)), responseBody(requestID))
	}
	_ = c.Close()
}
