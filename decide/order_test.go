package decide

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOrders checks the fencing token of an order and the limit on concurrent loads.
func TestOrders(t *testing.T) {
	is := is.New(t)
	o := NewOrders(0, 5*time.Second)
	for _, name := range []string{"a", "b", "c"} {
		o.Observe(EngineState{Upstream: name, WantedModel: "new", Loaded: "old", ChecksFence: true, Fence: 7})
	}
	first := o.Next(0)
	is.Equal(len(first), maxLoads) // engines share the bandwidth of the weight store
	is.Equal(first[0], EngineOrder{"a", 8, "new"})
	is.Equal(len(o.Next(time.Second)), 0)
	o.Observe(EngineState{Upstream: "a", WantedModel: "new", Loaded: "new", ChecksFence: true, Fence: 8})
	is.Equal(o.Next(2 * time.Second)[0].Upstream, "c") // one load has finished, so the next may start
}

// TestUncheckedEngine checks that an engine that does not check fencing tokens gets an order
// only after the quiet period.
func TestUncheckedEngine(t *testing.T) {
	is := is.New(t)
	o := NewOrders(0, 5*time.Second)
	o.Observe(EngineState{Upstream: "a", WantedModel: "new", Loaded: "old"})
	is.Equal(len(o.Next(4*time.Second)), 0)
	is.Equal(len(o.Next(5*time.Second)), 1)
}
