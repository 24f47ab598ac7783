package soak

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Upstream processes stand still amid their answers, and go on or are killed before they do: no caller gets an event
// twice, none is missing, and nothing that broke off looks whole.
func TestAnswersOfUpstreamsThatStandStillAreInOrder(t *testing.T) {
	daemon := buildDaemon(t)
	for i, life := range nextLives[1:3] {
		t.Run(life.name, func(t *testing.T) {
			w := startHarness(t, daemon, 128+i, 0)
			processes := w.startProcesses(t, 3)
			ctx, stop := context.WithCancel(context.Background())
			var callers sync.WaitGroup
			for n := range 24 {
				callers.Go(func() { w.call(ctx, n) })
			}
			for n := range 4 {
				w.awaitAnswers(60)
				p := processes[n%3]
				_ = p.cmd.Process.Signal(syscall.SIGSTOP)
				time.Sleep(standstills[1+n%2])
				if n%2 == 0 {
					_ = p.cmd.Process.Signal(syscall.SIGCONT)
					continue
				}
				processes[n%3] = w.replaceProcess(t, p, life)
			}
			time.Sleep(settleTime)
			stop()
			callers.Wait()
			report := w.report()
			t.Log(report)
			is.New(t).Equal(len(report.Violations), 0) // see the log above
		})
	}
}
