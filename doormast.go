// Package doormast is the router as a library: a Box is one entry box, with all
// its duties. The daemon doormastd is a thin shell around it.
//
// A box has these duties, each with its own goroutine, joined by bounded rings:
// the core owns the decisions (package cell and, below it, decide); the callers'
// edge, the control link to other boxes, the platform's reader, the reader of
// upstreams' reports and the operators' calls tell the core what happens and do
// what it wants done. Each run on an upstream has a goroutine for as long as it
// lasts.
package doormast

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
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

// Version is the release that this code belongs to.
const Version = "0.1.0"

// Config configures a Box. The zero value of a field takes the default.
type Config struct {
	Settings settings.Settings
	Log      *logrus.Logger
	Clock    timer.Clock
	Timing   cell.Timing
}

// Box is an entry box.
type Box struct {
	cfg      Config
	boot     uint64
	clock    timer.Clock
	log      *logrus.Entry
	node     *cell.Node // owned by the core duty
	arrivals *ring.Ring[caller.Arrival]
	notices  *ring.Ring[notice]
	reads    *ring.Ring[readRequest]
	pulls    *ring.Ring[string]
	timers   *timer.Service
	stamps   timeline.Clock
	events   *timeline.Ring
	stats    *stats
	callers  *caller.Server
	link     *control.Link
	ops      *ops.Server
	runner   upstream.Runner
	reader   platform.Reader
	book     addressBook
	history  tableHistory

	table    atomic.Pointer[table.Table]
	watched  atomic.Pointer[[]watchedUpstream]
	leaving  atomic.Bool
	requests atomic.Uint64
	runs     map[uint64]*run           // owned by the core duty
	outbox   map[string][]cell.Message // owned by the core duty
	stop     context.CancelFunc
	ended    chan dutyEnd
	duties   int
	drained  chan struct{}
}

// dutyEnd is what a duty reports when it ends.
type dutyEnd struct {
	duty string
	err  error
}

const (
	tickStep    = 10 * time.Millisecond
	tickEvery   = 50 * time.Millisecond
	sweepEvery  = 50 * time.Millisecond
	reportEvery = 250 * time.Millisecond
	noticeRing  = 1 << 13
	smallRing   = 64
)

// Start starts a box. It listens and serves when Start returns; Close or Stop
// ends it.
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
		b.closeEdges(0)
		return nil, &Error{Op: "start", Kind: KindEdge, Err: err}
	}
	b.run()
	b.say("box").Infof("Box %s of domain %s is up. Callers connect to %s.", cfg.Settings.Box, cfg.Settings.Domain, b.callers.Address())
	return b, nil
}

func newBox(cfg Config) *Box {
	s := cfg.Settings
	boot := uint64(cfg.Clock.Wall().UnixNano())
	b := &Box{
		cfg:      cfg,
		boot:     boot,
		clock:    cfg.Clock,
		log:      cfg.Log.WithField("box", s.Box),
		arrivals: ring.New[caller.Arrival](s.Limits.InProgress),
		notices:  ring.New[notice](noticeRing),
		reads:    ring.New[readRequest](smallRing),
		pulls:    ring.New[string](smallRing),
		events:   timeline.NewRing(s.Timeline),
		stats:    newStats(),
		runs:     make(map[uint64]*run),
		ended:    make(chan dutyEnd, 8),
		drained:  make(chan struct{}, 1),
	}
	var peers []cell.BoxEntry
	for _, p := range s.Peers {
		peers = append(peers, cell.BoxEntry{Name: p.Box, Domain: p.Domain})
		b.book.set(p.Box, p.Control, p.Ops)
	}
	b.node = cell.NewNode(cell.Config{Box: s.Box, Domain: s.Domain, Boot: boot, Seed: boot, Timing: cfg.Timing, Peers: peers})
	b.reader = platform.NewHTTP(s.Platform)
	b.runner = upstream.NewHTTP(upstream.HTTPConfig{
		Clock:       cfg.Clock,
		DialTimeout: time.Second,
		CallTimeout: time.Second,
		MaxAnswer:   4 << 20,
		MaxSilence:  s.Limits.Silence.Std(),
	})
	return b
}

// open opens the edges.
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
		Address:    s.Listen.Callers,
		Core:       (*callerCore)(b),
		MaxBody:    s.Limits.Body,
		MaxHeaders: s.Limits.Headers,
		MaxConns:   s.Limits.Connections,
		ReadWait:   s.Limits.ReadWait.Std(),
		WriteWait:  s.Limits.WriteWait.Std(),
		Buffer:     s.Limits.Buffer,
	})
	return err
}

// run starts the duties.
func (b *Box) run() {
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	b.timers = timer.Start(ctx, timer.Config{Clock: b.clock, Step: tickStep})
	b.duty(ctx, "core", b.core)
	b.duty(ctx, "sweep", b.sweep)
	b.duty(ctx, "platform", b.platformDuty)
	b.duty(ctx, "pull", b.pullDuty)
	b.duty(ctx, "report", b.reportDuty)
}

func (b *Box) duty(ctx context.Context, name string, f func(context.Context) error) {
	b.duties++
	go func() { b.ended <- dutyEnd{name, f(ctx)} }()
}

// partLog writes log lines that begin with the fixed prefix of a part.
type partLog struct {
	entry  *logrus.Entry
	prefix string
}

// say returns the log of a part.
func (b *Box) say(part string) partLog { return partLog{b.log, part + ": "} }

func (p partLog) Infof(format string, args ...any)  { p.entry.Infof(p.prefix+format, args...) }
func (p partLog) Warnf(format string, args ...any)  { p.entry.Warnf(p.prefix+format, args...) }
func (p partLog) Errorf(format string, args ...any) { p.entry.Errorf(p.prefix+format, args...) }

// Addresses returns where the box listens for callers and operators.
func (b *Box) Addresses() (callers, operators string) {
	return b.callers.Address(), b.ops.Address()
}

// Events returns the box's part of the time line.
func (b *Box) Events() []timeline.Event { return b.events.Events() }

// Table returns the table in force, or nil.
func (b *Box) Table() *table.Table { return b.table.Load() }

// Drain begins a planned stop: the balancer sees the box leave, its ownership
// goes to others, and what is in progress goes on.
func (b *Box) Drain() {
	if b.leaving.CompareAndSwap(false, true) {
		b.say("box").Infof("Planned stop begins.")
		b.mustTell(notice{kind: noticeDrain})
	}
}

// Stop is a planned stop to its end: it returns when the last answer is complete
// or ctx ends, and then closes the box.
func (b *Box) Stop(ctx context.Context) error {
	b.Drain()
	deadline, cancel := context.WithTimeout(ctx, b.cfg.Settings.Stop.Deadline.Std())
	defer cancel()
	wait(deadline, b.cfg.Settings.Stop.Notice.Std())
	ticks := b.timers.Subscribe(tickEvery)
	for b.callers.Open() > 0 && deadline.Err() == nil {
		select {
		case <-ticks:
		case <-deadline.Done():
		}
	}
	left := b.callers.Open()
	err := b.Close()
	if left > 0 {
		b.say("box").Warnf("The stop cut off %d requests.", left)
		return &Error{Op: "stop", Kind: KindDeadline, Err: context.DeadlineExceeded}
	}
	b.say("box").Infof("Planned stop is complete.")
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

// Close ends the box at once and waits for all of its goroutines.
func (b *Box) Close() error {
	b.stop()
	for range b.duties {
		end := <-b.ended
		if end.err != nil {
			b.say(end.duty).Errorf("The duty ended: %v.", end.err)
		}
	}
	err := b.timers.Close()
	b.closeEdges(2 * time.Second)
	return err
}

func (b *Box) closeEdges(patience time.Duration) {
	if b.callers != nil {
		_ = b.callers.Close(patience)
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

// sweep looks for callers that have left.
func (b *Box) sweep(ctx context.Context) error {
	ticks := b.timers.Subscribe(sweepEvery)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			b.callers.Sweep()
		}
	}
}

// received takes in a datagram; a full ring drops it, as the network might.
func (b *Box) received(r control.Received) {
	if !b.notices.TryPush(notice{kind: noticeReceived, received: r}) {
		b.stats.dropped(control.DropRingFull)
	}
}

// callerCore is the box as the callers' edge sees it.
type callerCore Box

var _ caller.Core = (*callerCore)(nil)

// Table returns the table in force.
func (c *callerCore) Table() *table.Table { return c.table.Load() }

// NextID makes a request id.
func (c *callerCore) NextID() uint64 {
	return decide.RequestID(c.cfg.Settings.Box, c.boot, c.requests.Add(1))
}

// Arrive hands a request to the core.
func (c *callerCore) Arrive(a caller.Arrival) bool {
	if c.callers.Open() > c.cfg.Settings.Limits.InProgress || !c.arrivals.TryPush(a) {
		return false
	}
	return true
}

// Left says that a caller has left.
func (c *callerCore) Left(id uint64) {
	(*Box)(c).mustTell(notice{kind: noticeLeft, request: id})
}

// Mint asks the core for an idempotency key.
func (c *callerCore) Mint(ctx context.Context) string {
	reply := make(chan string, 1)
	(*Box)(c).mustTell(notice{kind: noticeMint, minted: reply})
	select {
	case key := <-reply:
		return key
	case <-ctx.Done():
		return ""
	}
}

// Healthy reports whether the balancer should send requests here.
func (c *callerCore) Healthy() bool { return !c.leaving.Load() && c.table.Load() != nil }

// Metrics writes the metrics.
func (c *callerCore) Metrics() []byte { return c.stats.text() }

// Refused counts a refusal at the edge.
func (c *callerCore) Refused(reason decide.Reason) { c.stats.refusedAtEdge(reason) }
