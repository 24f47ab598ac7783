package relay

// This file defines the hash that identifies the content of a request: the same content, sent
// again by the same customer, has the same hash whatever its request ID and whichever box
// receives it. The invariant: all boxes compute the same hash.

import (
	"strconv"
	"strings"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/internal/content"
)

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 16

// requestHash is a hash of the request's method, host, path with query, customer and body. It
// is called by the exchange's own goroutine, or by others while they hold the relay's mu and
// the request has a run.
func (x *exchange) requestHash() uint64 {
	if hash := x.contentHash.Load(); hash != 0 {
		return hash
	}
	req := x.request
	hash := content.Hash(x.customerName(), req.body, req.method, strings.ToLower(req.host), req.uri)
	x.contentHash.Store(hash)
	return hash
}

// customerName is the name of the request's customer; empty on a public route.
func (x *exchange) customerName() string {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}

// formatContentHash formats a content hash, or the ID of a part, as it appears in logs.
func formatContentHash(hash uint64) string { return strconv.FormatUint(hash, 16) }

// formatCrash formats the key of an incarnation that has crashed as it appears in logs.
func formatCrash(key uint32) string { return strconv.FormatUint(uint64(key), 16) }

// formatParts formats the IDs of the parts of a prompt that other prompts may share as they
// appear in logs.
func formatParts(parts []balance.Part) string {
	if len(parts) < 2 {
		return ""
	}
	var ids []string
	for _, p := range parts[:min(len(parts)-1, maxLoggedParts)] {
		ids = append(ids, strconv.FormatUint(p.ID, 16))
	}
	return strings.Join(ids, " ")
}
