package doormast

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/caller"
	"github.com/doormast/doormast/internal/timer"
	"github.com/doormast/doormast/settings"
)

// TestMain checks for leaked goroutines. Those of gnet's worker pool and fasthttp's background goroutines are
// ignored, since they run until the process ends or sleep for 10 s before they end.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// A run that is cancelled while its caller still waits, as happens after a pause, must keep
// its request, so that the caller gets a final response.
func TestCancelledRunIsKept(t *testing.T) {
	is := is.New(t)
	s := settings.Defaults()
	s.Box, s.Domain = "b", "d"
	b := newBox(Config{Settings: s, Log: logrus.New(), Clock: timer.SystemClock{}, Timing: cell.DefaultTiming()})
	defer func() { is.NoErr(b.runner.Close()) }()
	x := caller.NewExchange(1)
	cancelled := false
	b.runs[1] = &run{box: b, exchange: x, cancel: func() { cancelled = true }}
	b.cancelRun(1)
	is.True(cancelled)
	b.finished(time.Second, 1, cell.Result{Outcome: decide.Unused})
	is.True(b.runs[1] != nil)
	b.endRequest(cell.Action{Request: 1, Final: cell.Final{Reason: decide.Late}})
	is.Equal(len(b.runs), 0)
	b.runs[2] = &run{box: b, exchange: x}
	b.dropCaller(2)
	is.Equal(len(b.runs), 0) // a request without a run is removed when its caller disconnects
}
