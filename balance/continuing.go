package balance

// This file keeps room for streams that go on. A stream that goes on has only the upstreams of one
// software version, a new request those of all. The load that this answers: a service whose
// upstreams are all busy, under callers that take streams up; new requests, which come at any
// moment, take each slot as it becomes free. The invariants: a new request leaves the versions that
// have little room, as long as another has more; and it leaves the last free slots of each version to
// streams that go on.

import (
	"slices"
	"time"
)

const (
	// continuingShare is the share of a version's slots that new requests leave free while other
	// versions have more.
	continuingShare = 0.25
	// continuingReserve is the share that they leave free in any case.
	continuingReserve = 1.0 / 32
)

// room counts the slots of the usable upstreams of a software version.
type room struct {
	software    string
	slots, free int
}

// hasMoreThan reports whether more than a share of the slots is free, and more than one.
func (x room) hasMoreThan(share float64) bool {
	return float64(x.free) > max(1, share*float64(x.slots))
}

// leaveRoomToContinue returns the upstreams for a request. For a new one these are the upstreams of
// versions with much room, or else of those with some.
func (f *Fleet) leaveRoomToContinue(now time.Duration, r Request, list []*member) []*member {
	s := f.serviceOf(r.Service)
	if r.Resumable {
		s.resumableAt = now
	}
	if r.Origin.Began || len(s.software.listed) < 2 || now-s.resumableAt > f.streamSpan || f.cfg.Off[Continuing] {
		return list
	}
	rooms := roomsOf(now, list)
	for _, share := range []float64{continuingShare, continuingReserve} {
		if keep := versionsWith(rooms, share); len(keep) > 0 {
			return slices.DeleteFunc(slices.Clone(list), func(m *member) bool { return !slices.Contains(keep, m.Software) })
		}
	}
	return nil
}

// roomsOf counts the slots of some upstreams by version. One that is cold takes a few requests only,
// and counts as full.
func roomsOf(now time.Duration, list []*member) []room {
	var rooms []room
	for _, m := range list {
		i := slices.IndexFunc(rooms, func(x room) bool { return x.software == m.Software })
		if i < 0 {
			i = len(rooms)
			rooms = append(rooms, room{software: m.Software})
		}
		rooms[i].slots += m.Slots
		if now >= m.coldUntil {
			rooms[i].free += max(0, m.Slots-m.open())
		}
	}
	return rooms
}

// versionsWith returns the versions of which more than a share of the slots is free.
func versionsWith(rooms []room, share float64) []string {
	var versions []string
	for _, x := range rooms {
		if x.hasMoreThan(share) {
			versions = append(versions, x.software)
		}
	}
	return versions
}
