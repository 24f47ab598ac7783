package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/doormast/doormast/balance"
)

// A box whose goroutines had to wait for a core while it connected took the upstream, which had
// accepted the connection at once, for one that cannot be reached.
func TestStarvedBoxTakesUpstreamForUnreachable(t *testing.T) {
	is := is.New(t)
	address := newStub(t, "u1", respondOK("")).listener.Addr().String()
	const dials = 16
	var errs [dials]error
	var took [dials]time.Duration
	var dialers sync.WaitGroup
	stop := starve(t)
	for i := range dials {
		dialers.Go(func() {
			began := time.Now()
			c, err := dial(context.Background(), address)
			took[i], errs[i] = time.Since(began), err
			if err == nil {
				_ = c.Close()
			}
		})
	}
	dialers.Wait()
	stop()
	is.True(slices.Max(took[:]) > balance.DialWait) // otherwise they were not starved
	is.NoErr(errors.Join(errs[:]...))
}

// starve leaves the goroutines of this process one core, which others use, until stop is called.
func starve(t *testing.T) (stop func()) {
	t.Helper()
	cores := runtime.GOMAXPROCS(1)
	var stopped atomic.Bool
	var busy sync.WaitGroup
	for range 60 {
		busy.Go(func() {
			for spins := 0; !stopped.Load(); {
				spins++
			}
		})
	}
	return func() {
		stopped.Store(true)
		busy.Wait()
		runtime.GOMAXPROCS(cores)
	}
}

// An upstream whose host does not answer counts as unreachable after the time for a connection, also
// for a starved box.
func TestUnansweredDialTimesOut(t *testing.T) {
	for _, test := range []struct {
		name      string
		isStarved bool
	}{
		{"running", false},
		{"starved", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address := unansweredAddress(t)
			if test.isStarved {
				defer starve(t)()
			}
			began := time.Now()
			_, err := dial(context.Background(), address)
			is.True(time.Since(began) >= balance.DialWait)
			is.Equal(verificationResult(err), balance.VerifiedUnreachable)
			is.Equal(dialOutcome(err), balance.Unreachable)
			is.True(strings.HasSuffix(err.Error(), "i/o timeout"))
		})
	}
}

// unansweredAddress returns the address of a listener whose queue of connections is full, so that the
// kernel answers no further ones.
func unansweredAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := errors.Join(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), unix.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
	for range 4 {
		c, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the listener's queue does not fill")
	return ""
}
