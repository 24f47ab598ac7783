// Package soak runs relaying boxes as real processes on one machine, with simulated
// callers, upstreams and store. It injects faults from outside the processes and checks
// the router's guarantees from what callers and upstreams observe.
//
// The seed determines the schedule of the faults; the interleaving depends on the
// machine. Every check holds under any interleaving, so a run fails only on a real bug.
package soak

// This file defines a run: its configuration and report, and the parts it starts and stops.
//
// Invariant: a run ends only processes that it started, by their ids.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/platform"
	"github.com/doormast/doormast/platform/standin"
	"github.com/doormast/doormast/route"
)

// Config configures a run.
type Config struct {
	Daemon    string // path of the doormastd program
	Dir       string // directory for settings and logs
	Seed      uint64
	Duration  time.Duration
	Boxes     int
	Upstreams int
	Callers   int
	// RetryWindow is the window of the retry budget; 0: defaultRetryWindow. The upstreams fail for a third of
	// Duration, so only a run of more than three windows reaches a second one with its budget exhausted.
	RetryWindow time.Duration
	// OnlyFailures injects no faults other than failing upstreams that requests are slow to reach. Boxes that
	// restart or lose upstreams leave part of the retry budget unused, which hides an excess.
	OnlyFailures bool
	// OnlyKills injects no faults other than boxes that are killed, up to half of them at once, and streams that
	// upstreams break.
	OnlyKills bool
	// OnlyFatal injects no faults other than requests under which upstreams crash.
	OnlyFatal bool
	// OnlyStops injects no faults other than planned stops of boxes, up to half of them at once, with reloads and
	// changes beside them. Callers hold more connections.
	OnlyStops bool
	// OnlyEnds injects no faults other than upstreams that end or break streams, and boxes that are killed or
	// stopped.
	OnlyEnds bool
	// CallerPause is the pause of a caller between two requests; 0: defaultCallerPause. With fewer requests the
	// slack is a larger part of the retry budget.
	CallerPause time.Duration
	// Net is the third octet of the loopback addresses; concurrent runs need different values.
	Net int
}

// Report is the result of a run.
type Report struct {
	Requests, Answered, Refused, Runs int
	Retries                           int // arrivals at upstreams beyond the first of each request
	TakenUp, Continued                int // streams that callers took up while two upstreams of their version served, and those that went on
	Tried, Began                      int // requests for new streams at undisturbed boxes, and those that brought events
	Sharing, SharingBegan             int // sound requests that share parts with fatal ones, once those must be withheld, and those that began
	Others, OthersBegan               int // likewise those without a prompt
	Unframed, UnframedWhole           int // sound answers without a length at undisturbed boxes, and those that their callers got whole by one run
	Held                              heldCounts
	Crashes, LateSends                int      // upstreams crashed by fatal requests, and such requests that were sent too late
	Faults                            []string // descriptions, each with its time since the start of the run
	Violations                        []string
}

func (r *Report) String() string {
	text := fmt.Sprintf("%d requests: %d answered, %d refused; %d runs, %d retries, %d of %d streams taken up went on (%d of %d new ones began), %d crashes under fatal requests, %d of these sent late, %d of %d sound ones that share parts began (%d of %d others), %d of %d sound answers without a length were whole, %d on held connections (to stopping boxes %d: %d answered, %d refused, %d closed), %d faults, %d violations", r.Requests, r.Answered, r.Refused,
		r.Runs, r.Retries, r.Continued, r.TakenUp, r.Began, r.Tried, r.Crashes, r.LateSends, r.SharingBegan, r.Sharing, r.OthersBegan, r.Others,
		r.UnframedWhole, r.Unframed, r.Held.sent, r.Held.late, r.Held.lateAnswered, r.Held.lateRefused, r.Held.lateCut, len(r.Faults), len(r.Violations))
	if len(r.Violations) == 0 {
		return text
	}
	return text + "\n" + strings.Join(r.Violations, "\n") + "\nfaults:\n" + strings.Join(r.Faults, "\n")
}

// harness is the state of a run.
type harness struct {
	cfg           Config
	random        *rand.Rand
	startedAt     time.Time
	checker       *checker
	store         *standin.Store
	storeProxies  map[string]*proxy // by box name, the proxy between the box and the store
	upstreams     []*upstream
	upstreamCount int // upstreams created so far; a restart under the same id is not counted
	boxes         []*box
	document      route.Document
	faults        []string
	fatal         *fatal
	streams       *streamRecord
	unframed      *unframedRecord
	held          *heldRecord
	stopping      []stoppingBox
	mu            sync.Mutex           // guards upstreamsByID
	upstreamsByID map[string]*upstream // the latest incarnation of each
	evacuated     map[string]bool      // by domain; guarded by mu as well
	healthy       []*upstream          // upstreams of healthyService; they only announce leaving and pauses
	failing       atomic.Int32         // if positive, upstreams other than the healthy ones refuse most requests
	pathDelay     atomic.Int64         // delay of requests on their way to an upstream, a time.Duration
	replacements  chan *upstream       // upstreams that the fatal request crashed and whose replacement is due
}

const (
	service        = "service"
	host           = "soak.example"
	settleTime     = 700 * time.Millisecond // from the end of the faults until the callers stop
	startupTimeout = 10 * time.Second       // limit for all boxes to become ready
	pollMs         = 5                      // interval between readiness checks
	goodKey        = "the-key-that-stays"
	maxRetryRatio  = 0.2
	maxRetrySlack  = 40
	// Duration of the cold phase of an upstream, and the bound on its requests per second meanwhile.
	coldFor       = time.Second
	coldPerSecond = 5
	coldOvershoot = 1.5
	coldSlack     = 5
	// maxReplacements exceeds the number of upstreams that crash in a run.
	maxReplacements = 1 << 12
	// guardPort stays bound for the duration of a run, so that a second run on the same
	// addresses is refused and cannot connect to the boxes of the first.
	guardPort = 17117 // below the ephemeral port range
)

// reserveAddresses reserves the run's loopback addresses, and fails if another run uses them.
// Closing the returned listener releases them.
func reserveAddresses(cfg Config) (net.Listener, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.1:%d", cfg.Net, guardPort))
	if err != nil {
		return nil, fmt.Errorf("another soak run uses 127.0.%d.x, choose another net: %w", cfg.Net, err)
	}
	return l, nil
}

// Run executes one run and returns its report. It returns an error if the addresses are in use, a part cannot be
// started, or a box does not become ready; violations appear in the report only. Concurrent runs need different cfg.Net.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	guard, err := reserveAddresses(cfg)
	if err != nil {
		return nil, err
	}
	defer func() { _ = guard.Close() }()
	w := newHarness(cfg)
	defer w.close()
	if err := w.start(); err != nil {
		return nil, err
	}
	if err := w.awaitReady(ctx); err != nil {
		return nil, err
	}
	callers, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	for i := range cfg.Callers {
		go func() {
			w.call(callers, i)
			done <- struct{}{}
		}()
	}
	holders := w.holders()
	for i := range holders {
		go func() {
			w.hold(callers, i)
			done <- struct{}{}
		}()
	}
	go func() {
		if w.sendsFatal() {
			w.sendFatal(callers)
		}
		done <- struct{}{}
	}()
	go func() {
		if w.sendsFatal() {
			w.sendFatalPart(callers)
		}
		done <- struct{}{}
	}()
	w.injectFaults(ctx)
	time.Sleep(settleTime)
	stop()
	for range cfg.Callers + holders + 2 {
		<-done
	}
	return w.report(), nil
}

// sendsFatal reports whether callers send requests under which upstreams crash.
func (w *harness) sendsFatal() bool {
	return !w.cfg.OnlyFailures && !w.isSelective()
}

// isSelective reports whether the run injects one group of the faults only.
func (w *harness) isSelective() bool { return w.cfg.OnlyKills || w.cfg.OnlyStops || w.cfg.OnlyEnds }

// newHarness returns the state of a run in which nothing is started yet.
func newHarness(cfg Config) *harness {
	return &harness{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 0)), startedAt: time.Now(), checker: newChecker(), storeProxies: make(map[string]*proxy),
		fatal: newFatal(), evacuated: make(map[string]bool), streams: newStreamRecord(), unframed: newUnframedRecord(), held: newHeldRecord(), upstreamsByID: make(map[string]*upstream), replacements: make(chan *upstream, maxReplacements)}
}

func (w *harness) report() *Report {
	w.streams.check(w.checker.reportViolation)
	w.fatal.checkSound(w.checker.reportViolation)
	counts, unframed := w.held.check(w.checker.reportViolation), w.unframed.check(w.checker.reportViolation)
	r := w.checker.report(w.retryWindow())
	r.TakenUp, r.Continued = w.streams.goesOn.tried, w.streams.goesOn.brought
	r.Tried, r.Began = w.streams.began.tried, w.streams.began.brought
	r.Crashes, r.LateSends = w.fatal.request.crashes+w.fatal.part.crashes, w.fatal.request.lateSends+w.fatal.part.lateSends
	r.Sharing, r.SharingBegan = w.fatal.sound.sharing.tried, w.fatal.sound.sharing.brought
	r.Others, r.OthersBegan = w.fatal.sound.others.tried, w.fatal.sound.others.brought
	r.Unframed, r.UnframedWhole = unframed.tried, unframed.brought
	r.Held, r.Faults = counts, w.faults
	return r
}

func (w *harness) listen(last int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:0", w.cfg.Net, last))
}

// start starts the store, the upstreams and the boxes.
func (w *harness) start() error {
	l, err := w.listen(1)
	if err != nil {
		return err
	}
	w.store = standin.NewStore(l)
	for n := range standin.OddEntries {
		w.store.PutOdd(fmt.Sprint("odd", n), n)
	}
	w.document = testDocument()
	if err := w.publish(); err != nil {
		return err
	}
	for i := range w.cfg.Upstreams {
		if err := w.startUpstream(i, 0); err != nil {
			return err
		}
	}
	if err := w.startHealthy(); err != nil {
		return err
	}
	for i := range w.cfg.Boxes {
		g, err := w.newProxy(1, l.Addr().String(), new(atomic.Int64))
		if err != nil {
			return err
		}
		b := &box{name: fmt.Sprintf("box%d", i), harness: w, ip: fmt.Sprintf("127.0.%d.%d", w.cfg.Net, 10+i), domain: domain(i)}
		b.callers = b.address(portCallers)
		w.storeProxies[b.name] = g
		w.boxes = append(w.boxes, b)
		if err := b.writeSettings(true); err != nil {
			return err
		}
		if err := b.start(); err != nil {
			return err
		}
	}
	return nil
}

func domain(i int) string { return fmt.Sprintf("domain%d", i%2) }

func testDocument() route.Document {
	to := []route.Target{{Service: service, Weight: 1}}
	return route.Document{Version: 1,
		Routes: []route.Route{
			{Name: "once", Host: host, Prefix: "/once/", MaxAttempts: 3, Timeout: 3 * time.Second, Targets: to},
			{Name: "safe", Host: host, Prefix: "/safe/", Repeat: route.Repeatable, MaxAttempts: 3, Timeout: 3 * time.Second, Targets: to},
			{Name: "flow", Host: host, Prefix: "/flow/", Repeat: route.Stream, Resumable: true, MaxAttempts: 3, Timeout: 3 * time.Second, Targets: to},
			{Name: "sound", Host: host, Prefix: healthyPath, Repeat: route.Repeatable, MaxAttempts: 3, Timeout: 3 * time.Second, Targets: []route.Target{{Service: healthyService, Weight: 1}}},
			{Name: "held", Host: host, Prefix: heldPath, MaxAttempts: 3, Timeout: heldWait, Targets: []route.Target{{Service: healthyService, Weight: 1}}},
			{Name: "held streams", Host: host, Prefix: heldStreamPath, Repeat: route.Stream, MaxAttempts: 3, Timeout: heldWait, Targets: []route.Target{{Service: healthyService, Weight: 1}}},
			{Name: "fixed", Host: host, Prefix: "/fixed/", Repeat: route.Stream, MaxAttempts: 3, Timeout: 3 * time.Second, Targets: to},
		},
		Services: []route.Service{{Name: service, MaxConnections: 400, ColdFor: coldFor, ColdPerSecond: coldPerSecond},
			{Name: healthyService, MaxConnections: 400}},
		Customers: []route.Customer{{Name: "customer", Keys: []string{goodKey}}},
		Limits:    route.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderWait: 3 * time.Second, IdleWait: 15 * time.Second},
	}
}

// publish writes the current document to the store.
func (w *harness) publish() error {
	it, err := platform.DocumentItem(w.document)
	if err == nil {
		w.store.Put(it)
	}
	return err
}

// publishUpstream writes an upstream's entry to the store.
func (w *harness) publishUpstream(u *upstream, leaving bool) {
	it, err := platform.UpstreamItem(balance.Upstream{ID: u.id, StartedAt: u.startedAt, Service: u.service, Address: u.proxy.address(), Domain: u.domain, Slots: 32, Leaving: leaving, Software: u.software,
		ColdFor: max(0, time.Until(u.coldUntil))})
	if err != nil {
		w.checker.reportViolation("encode upstream entry: %v", err)
		return
	}
	w.store.Put(it)
	u.listedAt.CompareAndSwap(0, time.Now().UnixNano())
}

func (w *harness) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	for _, b := range w.boxes {
		for !b.ready() {
			if ctx.Err() != nil {
				return errors.New("soak: box did not become ready; see " + filepath.Join(w.cfg.Dir, b.name+".log"))
			}
			time.Sleep(pollMs * time.Millisecond)
		}
	}
	return nil
}

// close stops all boxes, upstreams, proxies and the store.
func (w *harness) close() {
	for _, b := range w.boxes {
		b.kill()
	}
	for _, u := range append(w.upstreams, w.healthy...) {
		u.close()
	}
	for _, g := range w.storeProxies {
		g.close()
	}
	if w.store != nil {
		_ = w.store.Close()
	}
}

// logFault adds a line with the time since the start of the run to the list of faults.
func (w *harness) logFault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%6.2f s ", time.Since(w.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

func logFile(dir, name string) (*os.File, error) {
	return os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
}
