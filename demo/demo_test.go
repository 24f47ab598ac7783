package demo

import (
	"bytes"
	"context"
	"io"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDemo runs the demo to its end: every promise holds on its time line.
func TestDemo(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(Run(context.Background(), Config{For: 2 * time.Second, Out: &out}))
	is.True(strings.Contains(out.String(), "promises broken on the time line: 0"))
	is.True(strings.Contains(out.String(), "review"))
}

// TestSoak runs the demo for as long as DOORMAST_SOAK says, and reports how
// goroutines and memory have grown. It is not part of CI.
func TestSoak(t *testing.T) {
	d, err := time.ParseDuration(os.Getenv("DOORMAST_SOAK"))
	if err != nil {
		t.Skip("set DOORMAST_SOAK to a duration, such as 2m")
	}
	is := is.New(t)
	is.NoErr(Run(context.Background(), Config{For: 5 * time.Second, Out: io.Discard})) // warm
	time.Sleep(housekeeping)
	goroutines, memory := runtime.NumGoroutine(), heap()
	is.NoErr(Run(context.Background(), Config{For: d, Out: os.Stdout}))
	time.Sleep(housekeeping)
	t.Logf("goroutines %d -> %d, heap %d -> %d bytes", goroutines, runtime.NumGoroutine(), memory, heap())
}

// housekeeping is how long fasthttp's own goroutines outlive their server.
const housekeeping = 11 * time.Second

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
