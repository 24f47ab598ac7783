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
	lead, member := w.boxes[boxName(0, 0)].node, w.boxes[boxName(0, 5)].node
	is.Equal(lead.SilentDomains(w.now), nil)
	w.linkCut = func(a, b *wire.GroupBox) bool { return (a.Domain == "domain2") != (b.Domain == "domain2") }
	w.run(1100 * time.Millisecond)
	is.Equal(lead.SilentDomains(w.now), []string{"domain2"})
	is.Equal(member.SilentDomains(w.now), nil)
	lead.SetCutOff([]string{"domain2"})
	w.run(200 * time.Millisecond)
	is.Equal(member.CutOff(w.now), []string{"domain2"})
	w.linkCut = nil
	w.run(3 * time.Second)
	is.Equal(lead.SilentDomains(w.now), nil)
	lead.SetCutOff(nil)
	w.run(200 * time.Millisecond)
	is.Equal(member.CutOff(w.now), nil)
	lead.SetCutOff([]string{"domain1"})
	w.run(200 * time.Millisecond)
	w.boxes[boxName(0, 0)].dead = true
	w.run(1200 * time.Millisecond)
	is.Equal(member.CutOff(w.now), nil)
}
