package control

import (
	"testing"
	"time"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/table"
)

// FuzzNode passes arbitrary datagrams with a valid MAC to a node, which must not
// panic.
func FuzzNode(f *testing.F) {
	datagrams, err := codec("a", 1, key).Encode(nil, messages())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(datagrams[0][:len(datagrams[0])-macSize])
	t, err := table.Parse("t", []byte(`{"classes":[{"name":"c","tier":1,"first_token":"1s","floor":0.1,"set":"s","repeatable":true,"rate":5}],
		"customers":[{"name":"u","default_class":"c","concurrency":3}],
		"upstreams":[{"name":"e","domain":"d","address":"127.0.0.1:1","set":"s","slots":1}]}`))
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(_ *testing.T, body []byte) {
		n := cell.NewNode(cell.Config{Box: "b", Domain: "d", Boot: 1, Timing: cell.DefaultTiming()})
		n.Tick(0, time.Hour)
		n.SetTable(t.WithRevision(1))
		for i := range 40 {
			n.Tick(time.Duration(i)*50*time.Millisecond, time.Hour)
		}
		b := codec("b", 1, key)
		r, _ := b.Decode(append(append([]byte(nil), body...), b.mac(body)...))
		now := 2 * time.Second
		n.Arrive(now, cell.Request{ID: 1, Class: "c", Customer: "u"})
		n.Arrive(now, cell.Request{ID: 2, Class: "c", Customer: "u"})
		for _, m := range r.Messages {
			n.Receive(now, r.Sender, r.Boot, m)
		}
		for i := range 100 {
			n.Tick(now+time.Duration(i)*50*time.Millisecond, time.Hour)
		}
		n.TakeActions()
	})
}
