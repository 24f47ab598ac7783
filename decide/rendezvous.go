package decide

// This file defines ownership by rendezvous hashing: a key belongs to the box with the
// highest combined hash of key and box name. The invariants: boxes with the same list
// agree on the owner without communication; a box that joins or leaves moves only the
// keys that it gains or owned.

import "github.com/cespare/xxhash/v2"

// Owner returns the box that owns key among boxes, or "" if there are none.
func Owner(key string, boxes []string) string {
	owner := ""
	most := uint64(0)
	for _, b := range boxes {
		if n := weight(key, b); owner == "" || n > most || n == most && b < owner {
			owner, most = b, n
		}
	}
	return owner
}

// Rank returns how many boxes come before box in the rendezvous order of key: 0 for the
// owner, 1 for the box that would own the key next.
func Rank(key, box string, boxes []string) int {
	own, rank := weight(key, box), 0
	for _, b := range boxes {
		if n := weight(key, b); b != box && (n > own || n == own && b < box) {
			rank++
		}
	}
	return rank
}

// weight returns the combined hash of key and box.
func weight(key, box string) uint64 {
	return mix(xxhash.Sum64String(key) ^ mix(xxhash.Sum64String(box)))
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// RequestID returns the ID of the box's request with the given sequence number. It is
// never 0, and IDs of other boxes or incarnations differ except for collisions of
// 64-bit hashes.
func RequestID(box string, boot, number uint64) uint64 {
	if id := mix(mix(xxhash.Sum64String(box)^mix(boot)) + number); id != 0 {
		return id
	}
	return 1
}
