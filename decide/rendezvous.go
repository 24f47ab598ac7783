package decide

// This file defines who owns what: the box with the highest hash of its name
// and the owned thing's. The invariant: boxes with the same list agree without
// a word, and a box that joins or goes moves only what it gains or held.

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

// Rank returns how many boxes come before box in the order of key: 0 for the
// owner, 1 for who would be next.
func Rank(key, box string, boxes []string) int {
	own, rank := weight(key, box), 0
	for _, b := range boxes {
		if n := weight(key, b); b != box && (n > own || n == own && b < box) {
			rank++
		}
	}
	return rank
}

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

// RequestID makes the id of a box's request from a running number. It is never 0,
// and no other incarnation of a box makes it but by a collision of 64-bit hashes.
func RequestID(box string, boot, number uint64) uint64 {
	if id := mix(mix(xxhash.Sum64String(box)^mix(boot)) + number); id != 0 {
		return id
	}
	return 1
}
