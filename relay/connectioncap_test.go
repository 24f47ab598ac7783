package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/route"
)

// A box that started again within a cut opened as many connections to an upstream as if the boxes that it heard of were all
// there are. Found by looking for the cause of an incident with retry budgets elsewhere.
func TestConnectionCapCountsUnheardBoxes(t *testing.T) {
	const assumed = 10
	for _, tt := range []struct {
		name           string
		boxes, divisor int64
		want           int
	}{
		{"all are known", 12, 12, 30},
		{"one domain of three is", 4, 12, 30},
		{"nobody is", 1, 0, 36},
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
