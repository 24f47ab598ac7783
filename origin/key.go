package origin

// This file defines the key of a stream. The invariant: a customer can neither find nor replace the
// record of another customer's stream, whatever ids it makes up.

import (
	"crypto/sha256"
	"encoding/binary"
)

// Key identifies a stream of a customer by the id of the request that brought its first event.
type Key uint64

// KeyOf returns the key of a customer's stream. id may be of any length.
func KeyOf(customer, id string) Key {
	h := sha256.New()
	_ = binary.Write(h, binary.BigEndian, uint64(len(customer))) // a hash never fails
	_, _ = h.Write([]byte(customer))
	_, _ = h.Write([]byte(id))
	return Key(binary.BigEndian.Uint64(h.Sum(nil)))
}
