package balance

// This file keeps room for streams that go on. A stream that goes on has only the upstreams of one
// software version, a new request those of all. The load that this answers: one upstream of a version
// among twelve of another, all busy, under callers that take streams up. The invariant: while some
// version has room, a new request leaves the versions that have little, and it is never refused for
// that.

import (
	"slices"
	"time"
)

// continuingShare is the share of a version's slots that new requests leave free while other
// versions have more.
const continuingShare = 0.25

// room counts the slots of the usable upstreams of a software version.
type room struct {
	software    string
	slots, free int
}

// isTight reports whether the version has little room left.
func (x room) isTight() bool { return float64(x.free) < continuingShare*float64(x.slots) }

// leaveRoomToContinue returns the upstreams for a new request: those of versions that have room, or
// all if none has. An upstream that is cold has none: it takes a few requests only.
func (f *Fleet) leaveRoomToContinue(now time.Duration, r Request, list []*member) []*member {
	if r.Origin.Began || len(f.serviceOf(r.Service).software.listed) < 2 || f.cfg.Off[Continuing] {
		return list
	}
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
	rooms = slices.DeleteFunc(rooms, room.isTight)
	if len(rooms) == 0 {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(m *member) bool {
		return !slices.ContainsFunc(rooms, func(x room) bool { return x.software == m.Software })
	})
}
