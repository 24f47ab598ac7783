// Package content identifies requests by a hash of their content. A request that
// the same customer sends again has the same hash, whatever its id and whichever
// box receives it.
package content

import "github.com/cespare/xxhash/v2"

// Hash returns a 64-bit hash of a request's customer, its body, and parts such as its
// method and path, which must not contain zero bytes. The result is never 0, which
// stands for an unknown hash.
func Hash(customer string, body []byte, parts ...string) uint64 {
	h := xxhash.New()
	for _, part := range append(parts, customer) {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return max(h.Sum64(), 1)
}
