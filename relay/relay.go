package relay

// This file defines the relay's configuration and its start. The invariant: every duty
// that is started reports its end.

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
	Box      string            // its name, as logs and operators see it
	Domain   string            // its failure domain
	Regions  map[string]string // of each failure domain, where they are divided into such
	Callers  net.Listener      // for requests
	Ready    net.Listener      // for readiness checks
	Control  net.Listener      // for other boxes' calls; nil where a box has no peers
	Self     *wire.GroupBox    // the box as the others know it; without an address it has no peers
	Seeds    []string          // IP:port of boxes that may be there
	Link     float64           // what the box's link carries, in bytes a second; 0: not known
	Timing   group.Timing
	Protocol Protocol
	// Publisher is read for the document and the list of upstreams, which Decode
	// makes of what lies there.
	Publisher mirror.Publisher
	Decode    func(mirror.Item) (Update, error)
	Log       *Log // the relay never closes it
	Budget    balance.BudgetConfig
	Cold      ColdBounds
	Limits    balance.LimitBounds // of the limits that upstreams name
	Tuning    balance.Tuning
	Off       balance.Off // the mechanisms that are switched off
	// FirstStart says that no box ran before, so that nothing is left of an
	// earlier one's budget.
	FirstStart bool
	// Boxes is how many boxes share limits while nothing is known of the others.
	Boxes int
	// Memory is how many bytes may be kept on behalf of callers and upstreams; 0: there
	// is no bound.
	Memory int64
	// Clock also counts the time for which the machine was suspended; nil: the machine's own.
	Clock timer.Clock
	// Grace is how long a planned stop may take, graceMargin included.
	Grace time.Duration
}

// ColdBounds bound what cold upstreams are sent.
type ColdBounds struct {
	Overshoot float64 // times what an upstream bears in a second; 0: there is no bound
	Slack     float64 // and so many requests besides
}

// most is how many requests a cold upstream that bears so many a second may be sent in one.
func (b ColdBounds) most(perSecond float64) int {
	if b.Overshoot == 0 || perSecond == 0 {
		return 0
	}
	return int(b.Overshoot*perSecond + b.Slack)
}

// Relay is a running box.
type Relay struct {
	cfg       Config
	start     time.Time
	startBoot time.Duration // the same by the clock that counts suspensions
	slept     atomic.Int64  // time.Duration for which the machine was suspended since
	startWall atomic.Int64  // the time of day at the start, Unix ns, as it seemed when a request last came
	published published
	account   *account.Account // of what is kept for callers and upstreams
	conns     *connPool
	stats     stats
	front     *front

	members    *members
	pullClient *http.Client

	mu         sync.Mutex // guards what follows, up to finding
	fleet      *balance.Fleet
	budgets    *balance.Budgets
	endedUnder balance.Suspects    // requests that upstreams ended under
	runs       map[*exchange]*conn // the connections on which requests run
	waiting    map[string]*waiting // requests that wait for the end of a pause, by service
	// Lives of which it is being found out whether they have ended; closed when that is known.
	endChecks map[balance.Incarnation]chan struct{}

	probeWake chan struct{} // readable when an upstream could not be reached
	stopping  atomic.Bool
	ended     atomic.Bool // the grace of a planned stop is over
	cancel    context.CancelFunc
	ends      chan string // the name of each duty that has ended
	duties    int
}

// Start starts a relay; Stop ends it. The error is an Error of KindEdge where datagrams
// cannot be listened for.
func Start(cfg Config) (*Relay, error) {
	if cfg.Clock == nil {
		cfg.Clock = timer.SystemClock{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		cfg:        cfg,
		start:      time.Now(),
		startBoot:  cfg.Clock.Boot(),
		published:  newPublished(),
		account:    account.New(cfg.Memory),
		cancel:     cancel,
		ends:       make(chan string, maxDuties),
		pullClient: newPullClient(),
		probeWake:  make(chan struct{}, 1),
		runs:       make(map[*exchange]*conn),
		waiting:    make(map[string]*waiting),
		endChecks:  make(map[balance.Incarnation]chan struct{}),
		stats:      newStats(),
	}
	r.startWall.Store(r.start.UnixNano())
	r.fleet = balance.NewFleet(balance.Config{Domain: cfg.Domain, Regions: cfg.Regions, Tuning: cfg.Tuning, Named: cfg.Limits, Off: cfg.Off, FirstStart: cfg.FirstStart})
	r.budgets = balance.NewBudgets(cfg.Budget, r.now(), cfg.FirstStart)
	r.conns = newConnPool(r.connectionCap)
	r.conns.onConnect = r.recordConnectTime
	r.front = newFront(r)
	var err error
	if r.members, err = newMembers(r); err != nil {
		cancel()
		return nil, &Error{Op: "listen to other boxes", Kind: KindEdge, Err: err}
	}
	r.startDuties(ctx)
	r.cfg.Log.Event("box", "start", Fields{"box": cfg.Box, "domain": cfg.Domain, "off": cfg.Off.Names()})
	return r, nil
}

// startDuties starts what goes on until the box ends.
func (r *Relay) startDuties(ctx context.Context) {
	r.run("members", func() { r.members.run(ctx) })
	r.run("reader", func() { r.members.readLoop(ctx) })
	r.run("trials", func() { r.probeLoop(ctx) })
	if r.cfg.Protocol.ReportCall != nil {
		r.run("silence", func() { r.silenceLoop(ctx) })
	}
	if r.cfg.Control != nil {
		r.run("control", r.serveControl)
	}
	r.run("callers", func() { r.front.serve(r.cfg.Callers) })
	r.run("ready", func() { r.front.serveReady(r.cfg.Ready) })
}

// maxDuties is how many duties a box has at most.
const maxDuties = 8

// run starts a duty; its name comes from ends when it has ended.
func (r *Relay) run(duty string, f func()) {
	r.duties++
	go func() {
		f()
		r.ends <- duty
	}()
}

// boxes is how many boxes share the limits.
func (r *Relay) boxes() int { return max(int(r.members.boxes.Load()), 1) }

// divisor is by how many this box divides what all boxes share; 0: it has heard of nobody, and has no part.
func (r *Relay) divisor() int { return int(r.members.divisor.Load()) }

// connectionCap is how many connections this box may hold to an upstream.
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

// Ready reports whether callers may be sent here.
func (r *Relay) Ready() bool { return !r.stopping.Load() && r.published.document() != nil }
