package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A part that many nearby ask for is copied into their region once, and one that hardly anybody
// asks for is sent to where it lies: 14 boxes of a domain, each of which sees a few requests for
// the wanted part and one for each of many others, in a minute.
func TestWhatManyNearbyWantIsCopiedOnce(t *testing.T) {
	is := is.New(t)
	f := threeRegions(30)
	f.demand.all = fading{}
	var boxes []string
	for i := range 14 {
		boxes = append(boxes, fmt.Sprintf("box%d", i))
	}
	f.SetSharers(Sharers{Box: "box0", Boxes: boxes})
	wanted, rare := large(7), large(8)
	wanted.Bytes, rare.Bytes = 20000, 20000                                 // long answers
	f.NoteKept(0, []Kept{{PartKey(7), Key("u2")}, {PartKey(8), Key("u2")}}) // in another region
	for part := range uint64(500) {
		f.NoteKept(0, []Kept{{PartKey(1000 + part), Key("u3")}})
	}
	now := time.Duration(0)
	copies := make(map[string]bool)
	for i := range 60 {
		now += time.Second
		serve(f, now, large(2000+uint64(i)))
		if i%10 == 0 {
			copies[serve(f, now, wanted).Upstream.Domain] = true
		}
	}
	c, _ := f.Place(now, wanted, nil)
	is.True(f.apart("a0", c.Upstream.Domain) != otherRegion)
	is.Equal(c.Fetch, "") // it is there by now
	is.True(len(copies) <= 2)
	c, _ = f.Place(now, rare, nil)
	is.Equal(c.Upstream.ID, "u2")
	f.cfg.Off = Off{Copies: true}
	c, _ = f.Place(now, rare, nil)
	is.Equal(c.Upstream.ID, "u2")
}

// One request in the first second is no proof of many to come.
func TestFewRequestsAreNoProofOfMany(t *testing.T) {
	is := is.New(t)
	d := demand{byPart: make(map[uint32]fading)}
	is.Equal(d.expected(time.Second, 1, 10, time.Second), 0.0)
	d.note(time.Second, 1)
	is.True(d.expected(time.Second, 1, 100, time.Second) < 5)
	is.True(d.expected(time.Second, 2, 100, time.Second) < 0.1)
	for i := range 120 {
		d.note(time.Duration(i)*time.Second, 1)
	}
	n := d.expected(120*time.Second, 1, 100, 120*time.Second)
	is.True(n > 60 && n < 130) // 120 were seen, and 1.2 of the others
}

func TestWhatIsCountedIsBounded(t *testing.T) {
	is := is.New(t)
	d := demand{byPart: make(map[uint32]fading)}
	for i := range uint32(2 * keptParts) {
		d.note(time.Duration(i)*time.Millisecond, i)
	}
	is.True(len(d.byPart) <= keptParts)
	d.note(10*time.Minute, 1<<30)
	is.Equal(len(d.byPart), 1) // the old ones made room
}
