package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The state of each service that an entry had named was kept, and each of its versions.
func TestServicesThatNoEntryNamesAnyMoreAreForgotten(t *testing.T) {
	const writes, between = 2000, time.Second
	is := is.New(t)
	f := NewFleet(Config{Domain: "d", Tuning: DefaultTuning})
	f.SetServices(0, []string{"named"})
	f.SetMemory("named", 7)
	f.Put(0, Upstream{ID: "steady", Service: "unnamed", Address: "10.0.0.2:80", Domain: "d", Slots: 1, Software: "v"})
	now := time.Duration(0)
	for i := range writes {
		now += between
		f.Put(now, Upstream{ID: "odd", Service: fmt.Sprint("s", i), Address: "10.0.0.1:80", Domain: "d", Slots: 1, Software: fmt.Sprint("v", i)})
	}
	kept := int((f.StreamSpan()+2*historyFor)/between) + 3 // besides those below
	is.True(len(f.services) <= kept)
	is.True(len(f.byService) <= kept)
	is.Equal(f.memoryOf("named"), 7)
	is.Equal(f.RecentSoftware(now, "unnamed"), []string{"v"})
}
