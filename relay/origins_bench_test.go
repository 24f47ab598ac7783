package relay

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/doormast/doormast/group"
	"github.com/doormast/doormast/origin"
	"github.com/doormast/doormast/wire"
)

// BenchmarkOriginHolders draws the holders of a stream in fleets of several sizes, and gives what the record and a
// lookup take on the wire, without the headers of datagrams.
func BenchmarkOriginHolders(b *testing.B) {
	for _, c := range []struct{ boxes, domains int }{{8, 4}, {85, 3}, {585, 6}} {
		b.Run(fmt.Sprint(c.boxes, " boxes"), func(b *testing.B) {
			var list []origin.Peer
			for i := range c.boxes / c.domains {
				list = append(list, origin.Peer{Address: fmt.Sprintf("10.1.0.%d:7340", i), Domain: "d0"})
			}
			for d := range c.domains {
				list = append(list, origin.Peer{Address: fmt.Sprintf("10.2.%d.1:7340", d), Domain: fmt.Sprint("d", d), Leads: true})
			}
			peers := origin.NewPeers("d0", list)
			anywhere := func(string) bool { return true }
			record, query, reply := originMessages()
			for i := range b.N {
				_ = peers.Holders(origin.KeyOf("customer", fmt.Sprint(i)), anywhere)
			}
			key := origin.KeyOf("customer", "id")
			b.ReportMetric(float64(len(peers.Holders(key, anywhere))), "holders")
			b.ReportMetric(float64(proto.Size(record)), "B/record")
			b.ReportMetric(float64(len(peers.Asked(key, anywhere))), "asked")
			b.ReportMetric(float64(proto.Size(query)), "B/query")
			b.ReportMetric(float64(proto.Size(reply)), "B/reply")
		})
	}
}

// originMessages returns a record, a question and its answer.
func originMessages() (record, query, reply *wire.GroupMessage) {
	self := &wire.GroupBox{Name: "front-osborne-park-1", Boot: uint64(time.Now().UnixNano())}
	x := &wire.GroupOrigin{Stream: 1 << 60, Service: "advisor-llm", Software: "v1.2", Life: uint64((8 * time.Second).Microseconds())}
	record, query, reply = group.OriginMessage(self), group.OriginMessage(self), group.OriginMessage(self)
	record.Origins = []*wire.GroupOrigin{x}
	query.OriginQuery = &wire.GroupOriginQuery{Stream: 1 << 60, Nonce: 1 << 60, Service: "advisor-llm", ReplyTo: "10.1.0.40:7340"}
	reply.OriginReply = &wire.GroupOriginReply{Nonce: 1 << 60, Result: wire.GroupOriginReply_FOUND, Origin: x, ListAge: 900_000, Domain: "osborne-park", Service: "advisor-llm"}
	return record, query, reply
}
