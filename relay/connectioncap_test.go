package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/route"
)

// A box that restarted while it was cut off from other boxes opened as many connections to an upstream
// as if the boxes it had heard from were all there are.
func TestConnectionCapCountsUnheardBoxes(t *testing.T) {
	const assumed = 10
	for _, tt := range []struct {
		name           string
		boxes, divisor int64
		want           int
	}{
		{"all boxes heard", 12, 12, 30},
		{"one domain of three heard", 4, 12, 30},
		{"no box heard", 1, 0, 36},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := &Relay{cfg: Config{Boxes: assumed}, members: new(members), published: newPublished()}
			r.members.boxes.Store(tt.boxes)
			r.members.divisor.Store(tt.divisor)
			doc, err := route.New(route.Document{Version: 1, Services: []route.Service{{Name: "s", MaxConnections: 360}}})
			is := is.New(t)
			is.NoErr(err)
			r.published.apply(doc)
			is.Equal(r.connectionCap("s"), tt.want)
		})
	}
}
