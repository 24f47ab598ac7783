package relay

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/group"
	"github.com/doormast/doormast/wire"
)

func TestSentMessagesAreCounted(t *testing.T) {
	is := is.New(t)
	s := newStats()
	tr := newTraffic(s)
	tr.add(group.KindLoads, group.ReachRegion, 100)
	tr.add(group.KindHeartbeat, group.ReachDomain, 40)
	tr.add(group.KindLoads, group.ReachRegion, 300)
	rows := tr.rows()
	is.Equal(len(rows), 2)
	is.Equal(rows[0].Kind, "beat")
	is.Equal(rows[1].Reach, "region")
	is.Equal(rows[1].Messages, uint64(2))
	is.Equal(rows[1].Bytes, uint64(400))
	var out strings.Builder
	s.write(&out)
	is.True(strings.Contains(out.String(), `peer_bytes{kind="loads",reach="region"} 400`))
}

func TestKindOf(t *testing.T) {
	tests := []struct {
		want group.Kind
		m    *wire.GroupMessage
	}{
		{group.KindHeartbeat, &wire.GroupMessage{}},
		{group.KindBoxList, &wire.GroupMessage{Boxes: []*wire.GroupBox{{}}}},
		{group.KindHello, &wire.GroupMessage{Hello: true}},
		{group.KindChangesRequest, &wire.GroupMessage{Ask: true}},
		{group.KindPublished, &wire.GroupMessage{Pull: true}},
		{group.KindPublished, &wire.GroupMessage{Items: []*wire.GroupItem{{}}}},
		{group.KindLoads, &wire.GroupMessage{HasLoads: true}},
		{group.KindLoadChanges, &wire.GroupMessage{HasLoads: true, Partial: true}},
		{group.KindPromptParts, &wire.GroupMessage{Kept: []uint32{1, 2}}},
	}
	for _, tt := range tests {
		if got := group.KindOf(tt.m); got != tt.want {
			t.Errorf("KindOf(%v) = %s, want %s", tt.m, got, tt.want)
		}
	}
}
