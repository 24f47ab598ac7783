package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/doormast/doormast/balance"
)

// BenchmarkCrashUnderParts measures the bytes that all boxes send after an upstream has crashed under
// 32 runs at as many of 300 boxes in three domains, each with a customer's part, a part of a few
// prompts and one of its own; and when the popular ones are answered at all boxes after that.
func BenchmarkCrashUnderParts(b *testing.B) {
	const boxes, runs = 300, 32
	for b.Loop() {
		w := newSimulation(b, 1)
		w.seeds = []string{"b000", "b001", "b002"}
		for i := range boxes {
			w.start(fmt.Sprintf("b%03d", i), fmt.Sprint("d", i%3), uint32(1000-i), true)
		}
		h := newSuspectTables(w)
		h.runTables(3 * time.Second)
		sum := func() (n int) {
			for key, bytes := range w.bytesByKind {
				if key.kind == KindSuspects {
					n += bytes
				}
			}
			return n
		}
		prompt := func(i int) []balance.Subject {
			return balance.PartSubjects("s", []balance.Part{{ID: uint64(i % 10)}, {ID: uint64(100 + i%5)}, {ID: uint64(1000 + i)}, {ID: uint64(5000 + i)}})
		}
		before := sum()
		for i := range runs {
			s := h.tables[fmt.Sprintf("b%03d", 9*i+1)]
			s.NoteConnectionLost(w.now, balance.LostRun{Subjects: prompt(i), Incarnation: balance.Incarnation{ID: "u"}, Began: w.now - 100*time.Millisecond})
			s.Ended(w.now, balance.Incarnation{ID: "u"})
		}
		h.runTables(100 * time.Millisecond)
		for i := range boxes {
			h.tables[fmt.Sprintf("b%03d", i)].Answered(w.now, prompt(i)[:2]...)
		}
		h.runTables(2 * time.Second)
		b.ReportMetric(float64(sum()-before), "B/crash")
	}
}
