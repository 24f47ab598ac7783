package decide

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOrders(t *testing.T) {
	is := is.New(t)
	o := NewOrders(0, 5*time.Second)
	for _, name := range []string{"a", "b", "c"} {
		o.Observe(EngineState{Upstream: name, WantedModel: "new", Loaded: "old", ChecksFence: true, Fence: 7})
	}
	first := o.Next(0)
	is.Equal(len(first), loadsAtOnce) // the weight store's rate is shared
	is.Equal(first[0], EngineOrder{"a", 8, "new"})
	is.Equal(len(o.Next(time.Second)), 0)
	o.Observe(EngineState{Upstream: "a", WantedModel: "new", Loaded: "new", ChecksFence: true, Fence: 8})
	is.Equal(o.Next(2 * time.Second)[0].Upstream, "c") // one is done, the next may load
}

// TestUncheckedEngine: one that does not check fences is ordered only after a
// quiet time.
func TestUncheckedEngine(t *testing.T) {
	is := is.New(t)
	o := NewOrders(0, 5*time.Second)
	o.Observe(EngineState{Upstream: "a", WantedModel: "new", Loaded: "old"})
	is.Equal(len(o.Next(4*time.Second)), 0)
	is.Equal(len(o.Next(5*time.Second)), 1)
}
