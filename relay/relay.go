package relay

// This file defines the relay's configuration and start. The invariant: every background task that is
// started reports its end, so that Stop can wait for it.

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/group"
	"github.com/doormast/doormast/internal/account"
	"github.com/doormast/doormast/internal/timer"
	"github.com/doormast/doormast/mirror"
	"github.com/doormast/doormast/wire"
)

// Config configures a Relay.
type Config struct {
	Box               string            // name of the box in logs and for operators
	Domain            string            // failure domain of the box
	Regions           map[string]string // region of each failure domain; empty if domains are not grouped into regions
	CallerListener    net.Listener      // accepts callers' requests
	ReadinessListener net.Listener      // accepts readiness checks
	ControlListener   net.Listener      // accepts RPCs of other boxes; nil if the box has no peers
	TunnelListener    net.Listener      // accepts other boxes that connect to upstreams through this one, at Self.Address; nil: none may
	MaxTunnels        int               // how many connections of other boxes may lead through this one
	Self              *wire.GroupBox    // the entry of this box in the group; without an address the box has no peers
	Seeds             []string          // IP:port of boxes to contact first; they need not be running
	LinkBandwidth     float64           // bandwidth of the box's network link in bytes per second; 0: unknown
	Timing            group.Timing
	Protocol          Protocol
	// Publisher provides the routing document and the list of upstreams as items; Decode parses one
	// item.
	Publisher mirror.Publisher
	Decode    func(mirror.Item) (Update, error)
	Version   string // of the program, for the log
	Log       *Log   // not closed by the relay
	Budget    balance.BudgetConfig
	Cold      ColdBounds
	Limits    balance.LimitBounds // bounds on the rate limits that upstreams announce
	Tuning    balance.Tuning
	Disabled  balance.Off // mechanisms that are switched off
	// FirstStart states that no box ran here before, so that no callers are waiting and no prompts are
	// cached.
	FirstStart bool
	// Boxes is the number of boxes assumed to share limits until others are heard from.
	Boxes int
	// Memory is the maximum number of bytes buffered for callers and upstreams; 0: unlimited.
	Memory int64
	// Clock also counts the time during which the machine was suspended; nil: the system clock.
	Clock timer.Clock
	// StopTimeout is the maximum duration of a planned stop, including graceMargin.
	StopTimeout time.Duration
}

// ColdBounds limit the number of requests sent to upstreams that have just started (cold upstreams).
type ColdBounds struct {
	Overshoot float64 // factor on the requests per second that an upstream can serve; 0: unlimited
	Slack     float64 // requests allowed in addition
}

// maxRequests returns how many requests per second a cold upstream with a capacity of perSecond may be
// sent; 0: unlimited.
func (b ColdBounds) maxRequests(perSecond float64) int {
	if b.Overshoot == 0 || perSecond == 0 {
		return 0
	}
	return int(b.Overshoot*perSecond + b.Slack)
}

// Relay is a running box.
type Relay struct {
	cfg          Config
	startedAt    time.Time
	startBoot    time.Duration // reading of the clock that counts suspensions, taken at startedAt
	suspendedFor atomic.Int64  // time.Duration for which the machine was suspended since the start
	startWall    atomic.Int64  // wall clock time of the start in Unix ns, as derived when the last request arrived
	published    published
	account      *account.Account // memory used for callers and upstreams
	openEnded    *account.Account // the part of it used for responses that do not say how long they are
	conns        *connPool
	stats        stats
	callerServer *callerServer

	tunnels      *tunnels
	origins      *origins
	tunnelServer *tunnelServer

	members    *members
	pullClient *http.Client

	mu            sync.Mutex // guards the fields up to verifications
	fleet         *balance.Fleet
	budgets       *balance.Budgets
	crashSuspects balance.Suspects       // requests during which upstreams crashed
	runTimes      *balance.RunTimes      // by route
	runConns      map[*exchange]*conn    // connection of each active run
	pauseQueues   map[string]*pauseQueue // requests waiting for the end of a pause, by service
	priorTotals   chan struct{}          // closed, and replaced, when totals of requests sent before limits arrive
	// Running checks of whether an upstream instance has ended; each channel is closed when the result
	// is known.
	endChecks map[balance.Incarnation]chan struct{}
	// Running verifications of upstreams that other boxes report unreachable, likewise.
	verifications map[balance.Incarnation]chan struct{}

	probeWake    chan struct{} // readable when a connection to an upstream has failed
	stopOnce     sync.Once
	stopping     atomic.Bool
	stopBegan    atomic.Int64    // time.Duration since the start; 0: no planned stop has begun
	graceEnd     context.Context // done when the grace period of a planned stop is over
	endGrace     context.CancelFunc
	cancel       context.CancelFunc
	endedTasks   chan string // receives the name of each background task that has ended
	runningTasks int
}

// Start starts a relay; Stop ends it. The error is an *Error of KindListen if the datagram socket
// cannot be opened.
func Start(cfg Config) (*Relay, error) {
	if cfg.Clock == nil {
		cfg.Clock = timer.SystemClock{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		cfg:           cfg,
		startedAt:     time.Now(),
		startBoot:     cfg.Clock.Boot(),
		published:     newPublished(),
		account:       account.New(cfg.Memory),
		openEnded:     account.New(int64(openEndedShare * float64(cfg.Memory))),
		cancel:        cancel,
		endedTasks:    make(chan string, maxTasks),
		pullClient:    newPullClient(),
		probeWake:     make(chan struct{}, 1),
		runConns:      make(map[*exchange]*conn),
		runTimes:      balance.NewRunTimes(),
		pauseQueues:   make(map[string]*pauseQueue),
		priorTotals:   make(chan struct{}),
		endChecks:     make(map[balance.Incarnation]chan struct{}),
		verifications: make(map[balance.Incarnation]chan struct{}),
		stats:         newStats(),
	}
	r.startWall.Store(r.startedAt.UnixNano())
	r.graceEnd, r.endGrace = context.WithCancel(context.Background())
	r.fleet = balance.NewFleet(balance.Config{Domain: cfg.Domain, Regions: cfg.Regions, Tuning: cfg.Tuning, LimitBounds: cfg.Limits, Off: cfg.Disabled, FirstStart: cfg.FirstStart})
	cfg.Budget.Transit = retryTimeout // the kernel delivers nothing later
	r.budgets = balance.NewBudgets(cfg.Budget, r.now())
	r.conns = newConnPool(r.connectionCap)
	r.conns.onConnect = r.recordConnectTime
	r.conns.dial = r.connectUpstream
	r.conns.usesTunnel = r.usesTunnel
	r.tunnels = newTunnels(r)
	r.origins = newOrigins(r)
	r.tunnelServer = newTunnelServer(r)
	r.callerServer = newCallerServer(r)
	var err error
	if r.members, err = newMembers(r); err != nil {
		cancel()
		return nil, &Error{Op: "listen for datagrams", Kind: KindListen, Err: err}
	}
	r.startTasks(ctx)
	r.cfg.Log.Event("box", "start", Fields{"box": cfg.Box, "domain": cfg.Domain, "version": cfg.Version, "first_start": cfg.FirstStart, "off": cfg.Disabled.Names()})
	return r, nil
}

// startTasks starts the background tasks, which run until the box stops.
func (r *Relay) startTasks(ctx context.Context) {
	r.startTask("members", func() { r.members.run(ctx) })
	r.startTask("origins", func() { r.origins.run(ctx) })
	r.startTask("reader", func() { r.members.readLoop(ctx) })
	r.startTask("unacked", func() { r.unackedLoop(ctx) })
	r.startTask("trials", func() { r.probeLoop(ctx) })
	if r.cfg.Protocol.ReportCall != nil {
		r.startTask("silence", func() { r.silenceLoop(ctx) })
	}
	if r.cfg.ControlListener != nil {
		r.startTask("control", r.serveControl)
	}
	if r.cfg.TunnelListener != nil {
		r.startTask("tunnels", func() { r.tunnelServer.serve(ctx, r.cfg.TunnelListener) })
	}
	r.startTask("callers", func() { r.callerServer.serve() })
	r.startTask("ready", func() { r.callerServer.serveReady(r.cfg.ReadinessListener) })
}

// maxTasks is the maximum number of background tasks of a box.
const maxTasks = 10

// startTask runs f in a goroutine and sends the task's name to endedTasks when f returns.
func (r *Relay) startTask(name string, f func()) {
	r.runningTasks++
	go func() {
		f()
		r.endedTasks <- name
	}()
}

// boxes returns the number of boxes that share limits, at least 1.
func (r *Relay) boxes() int { return max(int(r.members.boxes.Load()), 1) }

// divisor returns the number by which this box divides shared limits; 0 if it has heard from no other
// box and so has no share.
func (r *Relay) divisor() int { return int(r.members.divisor.Load()) }

// connectionCap returns how many connections this box may open to one upstream of the service.
func (r *Relay) connectionCap(service string) int {
	doc := r.published.document()
	if doc == nil {
		return 1
	}
	s := doc.Service(service)
	if s == nil || s.MaxConnections == 0 {
		return defaultConnections
	}
	boxes := max(r.boxes(), r.divisor())
	if r.divisor() == 0 {
		boxes = max(boxes, r.cfg.Boxes)
	}
	return max(1, s.MaxConnections/boxes)
}

// Ready reports whether the box accepts requests: it has a routing document, can accept connections
// and is not stopping.
func (r *Relay) Ready() bool {
	return !r.stopping.Load() && r.published.document() != nil && !r.callerServer.callers.isFailing()
}
