package relay

// This file defines what a request is apart from its id: the same content, sent again by the
// same customer, is the same request whatever id it has and whichever box it comes to. The
// invariant: all boxes find the same number for it.

import (
	"strconv"
	"strings"

	"github.com/doormast/doormast/internal/content"
)

// contentOf is a hash of a request's method, host, path with query, customer and body. It is called by
// the exchange, and by others as long as they hold the relay's mu and a run of it goes on.
func (x *exchange) contentOf() uint64 {
	if number := x.contentHash.Load(); number != 0 {
		return number
	}
	q := x.request
	number := content.Of(x.customerName(), q.body, q.method, strings.ToLower(q.host), q.uri)
	x.contentHash.Store(number)
	return number
}

// customerName is whose request it is; empty on a public route.
func (x *exchange) customerName() string {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}

// contentName is a content as logs name it.
func contentName(number uint64) string { return strconv.FormatUint(number, 16) }
