// Package doormast implements the router as a library: a Box is one entry box, which
// receives requests from callers. The daemon doormastd is a thin wrapper around it.
//
// A box has a fixed set of long-lived goroutines, called duties, connected by bounded
// queues: the core makes the decisions (package cell and, below it, decide). The caller
// server, the control link to other boxes, the platform reader, the reader of upstreams'
// reports and the operator RPC server pass events to the core and execute its actions.
// In addition, each run on an upstream has its own goroutine.
package doormast

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/account"
	"github.com/doormast/doormast/internal/caller"
	"github.com/doormast/doormast/internal/control"
	"github.com/doormast/doormast/internal/ops"
	"github.com/doormast/doormast/internal/platform"
	"github.com/doormast/doormast/internal/ring"
	"github.com/doormast/doormast/internal/timer"
	"github.com/doormast/doormast/internal/upstream"
	"github.com/doormast/doormast/settings"
	"github.com/doormast/doormast/table"
	"github.com/doormast/doormast/timeline"
)

// Version is the release version.
const Version = "0.1.0"

// Config configures a Box. Zero values of Log, Clock and Timing select the defaults.
type Config struct {
	Settings settings.Settings
	Log      *logrus.Logger
	Clock    timer.Clock
	Timing   cell.Timing
}

// Box is one entry box of the router.
type Box struct {
	cfg       Config
	boot      uint64 // start of the process in Unix nanoseconds; identifies this run of the box
	clock     timer.Clock
	log       *logrus.Entry
	node      *cell.Node // owned by the core goroutine
	arrivals  *ring.Ring[caller.Arrival]
	notices   *ring.Ring[notice]
	reads     *ring.Ring[readRequest]
	pulls     *ring.Ring[string]
	timers    *timer.Service
	stamps    timeline.Clock // logical clock of the timeline's events
	events    *timeline.Ring
	stats     *stats
	callers   *caller.Server
	link      *control.Link
	ops       *ops.Server
	runner    upstream.Runner
	reader    platform.Reader
	addresses addressBook
	history   tableHistory // data that other boxes pull

	table      atomic.Pointer[table.Table]
	watched    atomic.Pointer[[]watchedUpstream]
	leaving    atomic.Bool
	requests   atomic.Uint64
	answers    *account.Account          // memory of the answers that are held until they are complete
	runs       map[uint64]*run           // owned by the core goroutine
	outbox     map[string][]cell.Message // owned by the core goroutine
	stop       context.CancelFunc        // ends the duties
	dutyEnds   chan dutyEnd
	duties     int           // number of duties started
	drainAsked chan struct{} // receives a value when an operator requests a planned stop
}

// dutyEnd is the result of a duty.
type dutyEnd struct {
	duty string
	err  error
}

const (
	timerStep      = 10 * time.Millisecond  // resolution of the timers
	tickInterval   = 50 * time.Millisecond  // between ticks of the node
	sweepInterval  = 50 * time.Millisecond  // between checks for callers that disconnected
	reportInterval = 250 * time.Millisecond // between load reports of an engine
	noticeRingSize = 1 << 13                // capacity of the ring of notices
	smallRingSize  = 64                     // capacity of the rings of reads and of pulls

	maxAnswerMemory = 64 << 20 // bytes
)

// Start starts a box, which serves requests when Start returns; Close or Stop ends it. The
// error is an Error of KindListen.
func Start(ctx context.Context, cfg Config) (*Box, error) {
	if cfg.Clock == nil {
		cfg.Clock = timer.SystemClock{}
	}
	if cfg.Log == nil {
		cfg.Log = logrus.New()
	}
	if cfg.Timing.Heartbeat == 0 {
		cfg.Timing = cell.DefaultTiming()
	}
	b := newBox(cfg)
	if err := b.open(ctx); err != nil {
		b.closeListeners(0)
		return nil, &Error{Op: "start", Kind: KindListen, Err: err}
	}
	b.run()
	b.logFor("box").Infof("box %s of domain %s started, listening for callers at %s", cfg.Settings.Box, cfg.Settings.Domain, b.callers.Address())
	return b, nil
}

func newBox(cfg Config) *Box {
	s := cfg.Settings
	boot := uint64(cfg.Clock.Wall().UnixNano())
	b := &Box{
		cfg:        cfg,
		boot:       boot,
		clock:      cfg.Clock,
		log:        cfg.Log.WithField("box", s.Box),
		arrivals:   ring.New[caller.Arrival](s.Limits.InProgress),
		notices:    ring.New[notice](noticeRingSize),
		reads:      ring.New[readRequest](smallRingSize),
		pulls:      ring.New[string](smallRingSize),
		events:     timeline.NewRing(s.Timeline),
		stats:      newStats(),
		runs:       make(map[uint64]*run),
		answers:    account.New(maxAnswerMemory),
		dutyEnds:   make(chan dutyEnd, 8),
		drainAsked: make(chan struct{}, 1),
	}
	var peers []cell.BoxEntry
	for _, p := range s.Peers {
		peers = append(peers, cell.BoxEntry{Name: p.Box, Domain: p.Domain})
		b.addresses.set(p.Box, p.Control, p.Ops)
	}
	b.node = cell.NewNode(cell.Config{Box: s.Box, Domain: s.Domain, Boot: boot, Seed: boot, Timing: cfg.Timing, Peers: peers})
	b.reader = platform.NewHTTP(s.Platform)
	b.runner = upstream.NewHTTP(upstream.HTTPConfig{
		Clock:       cfg.Clock,
		DialTimeout: time.Second,
		CallTimeout: time.Second,
		MaxAnswer:   4 << 20,
		Memory:      b.answers,
		MaxSilence:  s.Limits.Silence.Std(),
	})
	return b
}

// open starts the listeners for other boxes, operators and callers.
func (b *Box) open(ctx context.Context) error {
	s := b.cfg.Settings
	var err error
	b.link, err = control.Listen(ctx, control.Config{
		Address: s.Listen.Control,
		Codec:   control.NewCodec(s.Box, b.boot, []byte(s.PeerKey), func() timeline.Stamp { return b.stamps.Now(b.clock.Wall()) }),
		Handler: b.received,
		Dropped: b.stats.dropped,
		Sent:    b.stats.sent,
	})
	if err != nil {
		return err
	}
	for _, p := range s.Peers {
		b.link.SetAddress(p.Box, p.Control)
	}
	b.ops, err = ops.Listen(ops.Config{Address: s.Listen.Ops, OpsKey: s.OpsKey, PeerKey: s.PeerKey, Backend: (*opsBackend)(b)})
	if err != nil {
		return err
	}
	b.callers, err = caller.Listen(caller.Config{
		Address:      s.Listen.Callers,
		Core:         (*callerCore)(b),
		MaxBody:      s.Limits.Body,
		MaxHeaders:   s.Limits.Headers,
		MaxConns:     s.Limits.Connections,
		ReadTimeout:  s.Limits.ReadWait.Std(),
		WriteTimeout: s.Limits.WriteWait.Std(),
		Buffer:       s.Limits.Buffer,
		Memory:       b.answers,
	})
	return err
}

// run starts the duties of the box.
func (b *Box) run() {
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	b.timers = timer.Start(ctx, timer.Config{Clock: b.clock, Step: timerStep})
	b.duty(ctx, "core", b.core)
	b.duty(ctx, "sweep", b.sweep)
	b.duty(ctx, "platform", b.platformDuty)
	b.duty(ctx, "pull", b.pullDuty)
	b.duty(ctx, "report", b.reportDuty)
}

// duty starts a goroutine that runs f and reports its end.
func (b *Box) duty(ctx context.Context, name string, f func(context.Context) error) {
	b.duties++
	go func() { b.dutyEnds <- dutyEnd{name, f(ctx)} }()
}

// componentLog writes log lines with the name of a component as their prefix.
type componentLog struct {
	entry  *logrus.Entry
	prefix string
}

// logFor returns the log of a component.
func (b *Box) logFor(component string) componentLog { return componentLog{b.log, component + ": "} }

func (p componentLog) Infof(format string, args ...any)  { p.entry.Infof(p.prefix+format, args...) }
func (p componentLog) Warnf(format string, args ...any)  { p.entry.Warnf(p.prefix+format, args...) }
func (p componentLog) Errorf(format string, args ...any) { p.entry.Errorf(p.prefix+format, args...) }

// Addresses returns the addresses, IP:port, at which the box listens for callers and operators.
func (b *Box) Addresses() (callers, operators string) {
	return b.callers.Address(), b.ops.Address()
}

// Events returns the box's part of the timeline.
func (b *Box) Events() []timeline.Event { return b.events.Events() }

// Table returns the current table, or nil.
func (b *Box) Table() *table.Table { return b.table.Load() }

// Drain starts a planned stop: the health check fails and each answer ends its connection, so that
// callers go to other boxes, other boxes take over the box's sets, and requests in progress continue.
func (b *Box) Drain() {
	if b.leaving.CompareAndSwap(false, true) {
		b.logFor("box").Infof("planned stop started")
		b.callers.Leave()
		b.notify(notice{kind: noticeDrain})
	}
}

// Stop performs a planned stop: it drains the box, stops accepting connections, waits until the last
// answer has been written, ctx ends or the configured deadline passes, and then closes the box. The
// error is an Error of KindDeadline if connections with requests were left.
func (b *Box) Stop(ctx context.Context) error {
	b.Drain()
	deadline, cancel := context.WithTimeout(ctx, b.cfg.Settings.Stop.Deadline.Std())
	defer cancel()
	wait(deadline, b.cfg.Settings.Stop.Notice.Std())
	timeout := b.callers.Shutdown(deadline)
	left := b.callers.Open()
	err := b.Close()
	if timeout != nil {
		b.logFor("box").Warnf("planned stop ended before its requests; aborted %d", left)
		return &Error{Op: "stop", Kind: KindDeadline, Err: context.DeadlineExceeded}
	}
	b.logFor("box").Infof("planned stop completed")
	return err
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Close stops the box at once, aborts its requests, and waits for all of its duties.
func (b *Box) Close() error {
	b.stop()
	for range b.duties {
		end := <-b.dutyEnds
		if end.err != nil {
			b.logFor(end.duty).Errorf("duty failed: %v", end.err)
		}
	}
	err := b.timers.Close()
	b.closeListeners(2 * time.Second)
	return err
}

// closeListeners closes all listeners and clients; grace bounds the wait for requests in progress.
func (b *Box) closeListeners(grace time.Duration) {
	if b.callers != nil {
		_ = b.callers.Close(grace)
	}
	if b.ops != nil {
		_ = b.ops.Close()
	}
	if b.link != nil {
		_ = b.link.Close()
	}
	_ = b.runner.Close()
	if c, ok := b.reader.(*platform.HTTP); ok {
		_ = c.Close()
	}
}

// sweep periodically detects callers that have disconnected.
func (b *Box) sweep(ctx context.Context) error {
	ticks := b.timers.Subscribe(sweepInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			b.callers.Sweep()
		}
	}
}

// received queues a datagram for the core. If the ring is full the datagram is dropped, which
// senders must tolerate anyway.
func (b *Box) received(r control.Received) {
	if !b.notices.TryPush(notice{kind: noticeReceived, received: r}) {
		b.stats.dropped(control.DropRingFull)
	}
}

// callerCore implements caller.Core for a Box.
type callerCore Box

var _ caller.Core = (*callerCore)(nil)

// Table returns the current table.
func (c *callerCore) Table() *table.Table { return c.table.Load() }

// NextID returns a new request id.
func (c *callerCore) NextID() uint64 {
	return decide.RequestID(c.cfg.Settings.Box, c.boot, c.requests.Add(1))
}

// Arrive queues a request for the core; false if the box has too many requests.
func (c *callerCore) Arrive(a caller.Arrival) bool {
	if c.callers.Open() > c.cfg.Settings.Limits.InProgress || !c.arrivals.TryPush(a) {
		return false
	}
	return true
}

// Disconnected notifies the core that a caller has disconnected.
func (c *callerCore) Disconnected(id uint64) {
	(*Box)(c).notify(notice{kind: noticeCallerLeft, request: id})
}

// Mint returns a new idempotency key from the core, or an empty string if ctx ends.
func (c *callerCore) Mint(ctx context.Context) string {
	reply := make(chan string, 1)
	(*Box)(c).notify(notice{kind: noticeMintKey, minted: reply})
	select {
	case key := <-reply:
		return key
	case <-ctx.Done():
		return ""
	}
}

// Healthy reports whether the balancer should send requests here.
func (c *callerCore) Healthy() bool { return !c.leaving.Load() && c.table.Load() != nil }

// Metrics returns the metrics in text format.
func (c *callerCore) Metrics() []byte { return c.stats.text() }

// Refused counts a request that was refused before it reached the core.
func (c *callerCore) Refused(reason decide.Reason) { c.stats.refusedAtEdge(reason) }
