package balance

// This file defines what crashes of upstreams are held against. The invariant: all boxes derive
// the same subjects from a request.

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// maxPartsPerRequest bounds the parts of a request that count as subjects.
const maxPartsPerRequest = 64

// Subject is what requests may have in common that makes upstreams crash: their whole content, or
// one part of their prompts at one service. Other services run other software, so their answers
// prove nothing.
type Subject struct {
	Hash    uint64 // hash of the content, or ID of the part
	Service uint32 // hash of the part's service; 0: the subject is a content
}

// ContentSubject returns the subject of all requests with a content.
func ContentSubject(hash uint64) Subject { return Subject{Hash: hash} }

// ServiceKey identifies a service in subjects; it is never 0.
func ServiceKey(service string) uint32 { return max(uint32(xxhash.Sum64String(service)), 1) }

// PartSubjects returns the subjects of the parts of a prompt that other prompts may share.
func PartSubjects(service string, parts []Part) []Subject {
	if len(parts) < 2 {
		return nil
	}
	shared := parts[:min(len(parts)-1, maxPartsPerRequest)]
	key := ServiceKey(service)
	list := make([]Subject, len(shared))
	for i, p := range shared {
		list[i] = Subject{p.ID, key}
	}
	return list
}

// IsPart reports whether the subject is a part of prompts.
func (j Subject) IsPart() bool { return j.Service != 0 }

func compareSubjects(a, b Subject) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Hash, b.Hash))
}
