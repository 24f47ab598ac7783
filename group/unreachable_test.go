package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/wire"
)

// A leader lists the domains it once heard and no longer hears. Its members learn at once which
// of them it cannot reach, and use that only while they hear the leader.
func TestMembersLearnUnreachableDomains(t *testing.T) {
	is := is.New(t)
	w := startRegions(t, 5, layout{3, 1}, 30)
	leader, member := w.boxes[boxName(0, 0)].node, w.boxes[boxName(0, 5)].node
	is.Equal(leader.SilentDomains(w.now), nil)
	w.linkCut = func(a, b *wire.GroupBox) bool { return (a.Domain == "domain2") != (b.Domain == "domain2") }
	w.run(1100 * time.Millisecond)
	is.Equal(leader.SilentDomains(w.now), []string{"domain2"})
	is.Equal(member.SilentDomains(w.now), nil)
	leader.SetUnreachableDomains([]string{"domain2"})
	w.run(200 * time.Millisecond)
	is.Equal(member.UnreachableDomains(w.now), []string{"domain2"})
	w.linkCut = nil
	w.run(3 * time.Second)
	is.Equal(leader.SilentDomains(w.now), nil)
	leader.SetUnreachableDomains(nil)
	w.run(200 * time.Millisecond)
	is.Equal(member.UnreachableDomains(w.now), nil)
	leader.SetUnreachableDomains([]string{"domain1"})
	w.run(200 * time.Millisecond)
	w.boxes[boxName(0, 0)].dead = true
	w.run(1200 * time.Millisecond)
	is.Equal(member.UnreachableDomains(w.now), nil)
}
