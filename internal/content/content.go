// Package content tells requests apart by what they are, and not by their ids: the same request, sent
// again by the same customer, has the same number whatever id it has and whichever box it
// comes to.
package content

import "github.com/cespare/xxhash/v2"

// Hash is a hash of a request's customer, of parts such as its method and path, which hold no
// zero bytes, and of its body. It is never 0, which stands for one that is not known.
func Hash(customer string, body []byte, parts ...string) uint64 {
	h := xxhash.New()
	for _, part := range append(parts, customer) {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return max(h.Sum64(), 1)
}
