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

// TestDemo checks that a run of the demo reports every class and no invariant violation on its
// timeline.
func TestDemo(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(Run(context.Background(), Config{For: 2 * time.Second, Out: &out}))
	is.True(strings.Contains(out.String(), "invariant violations on the timeline: 0"))
	is.True(strings.Contains(out.String(), "review"))
}

// TestSoak runs the demo for the duration in DOORMAST_SOAK and logs the growth of the goroutine
// count and the heap. It is skipped where the variable is unset, as in CI.
func TestSoak(t *testing.T) {
	duration, err := time.ParseDuration(os.Getenv("DOORMAST_SOAK"))
	if err != nil {
		t.Skip("DOORMAST_SOAK is not set to a duration such as 2m")
	}
	is := is.New(t)
	is.NoErr(Run(context.Background(), Config{For: 5 * time.Second, Out: io.Discard})) // warm up
	time.Sleep(fasthttpShutdown)
	goroutines, heapBytes := runtime.NumGoroutine(), heapSize()
	is.NoErr(Run(context.Background(), Config{For: duration, Out: os.Stdout}))
	time.Sleep(fasthttpShutdown)
	t.Logf("goroutines %d -> %d, heap %d -> %d bytes", goroutines, runtime.NumGoroutine(), heapBytes, heapSize())
}

// fasthttpShutdown is longer than fasthttp's background goroutines outlive their server.
const fasthttpShutdown = 11 * time.Second

// heapSize returns the bytes of live heap objects after a garbage collection.
func heapSize() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
