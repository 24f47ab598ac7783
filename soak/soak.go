// Package soak runs real relaying boxes as processes on one machine, before stand-ins
// for callers, upstreams and the store, injects faults from outside them, and checks
// the promises from what callers and upstreams see.
//
// A seed gives the schedule of the faults; the interleaving is the machine's. What is
// checked holds under any interleaving, so a run fails only for a real fault.
package soak

// This file defines a run: what it starts, and what it ends. The invariant: it ends
// only processes that it started, by their ids.

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
	Daemon    string // the program of a box
	Dir       string // for settings and logs
	Seed      uint64
	For       time.Duration
	Boxes     int
	Upstreams int
	Callers   int
	// Net is the third number of the loopback addresses, so that runs beside each
	// other do not meet.
	Net int
}

// Report is what came of a run.
type Report struct {
	Requests, Answered, Refused, Runs int
	Again                             int      // arrivals beyond the first of a request
	Faults                            []string // with their times
	Violations                        []string
}

func (r *Report) String() string {
	text := fmt.Sprintf("%d requests: %d answered, %d refused; %d runs, %d retries, %d faults, %d violations", r.Requests, r.Answered, r.Refused,
		r.Runs, r.Again, len(r.Faults), len(r.Violations))
	if len(r.Violations) == 0 {
		return text
	}
	return text + "\n" + strings.Join(r.Violations, "\n") + "\nfaults:\n" + strings.Join(r.Faults, "\n")
}

// world is what a run is made of.
type world struct {
	cfg       Config
	random    *rand.Rand
	began     time.Time
	ledger    *ledger
	store     *standin.Store
	storeGate map[string]*gate // between a box and the store
	upstreams []*upstream
	started   int // upstreams so far, not counting those that start again under their ids
	boxes     []*box
	document  route.Document
	faults    []string
	fatal     *fatal
	mu        sync.Mutex           // guards lives
	lives     map[string]*upstream // by id, the last one
	sound     []*upstream          // of a service that nothing happens to but what they say
	failing   atomic.Int32         // above 0: upstreams fail most requests
	returning chan *upstream       // that ended under the fatal request, and are to be followed by others
}

const (
	service  = "service"
	host     = "soak.example"
	settle   = 700 * time.Millisecond // after the faults, before the callers stop
	startup  = 10 * time.Second       // within which all boxes must be ready
	retryMs  = 5                      // looking for something that is bound to come
	goodKey  = "the-key-that-stays"
	ratioTop = 0.2
	slackTop = 40
	// What an upstream bears while it is cold.
	coldFor       = time.Second
	coldPerSecond = 5
	coldOvershoot = 1.5
	coldSlack     = 5
	// returningMost is more than the upstreams that end in a run.
	returningMost = 1 << 12
	// guardPort is held for as long as a run lasts, so that another one on the same
	// addresses is refused instead of meeting this one's boxes.
	guardPort = 17117 // below the ports that the kernel hands out
)

// holdAddresses makes sure that no other run uses the addresses; closing what it returns
// lets them go.
func holdAddresses(cfg Config) (net.Listener, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.1:%d", cfg.Net, guardPort))
	if err != nil {
		return nil, fmt.Errorf("another soak runs on 127.0.%d.x, choose another net: %w", cfg.Net, err)
	}
	return l, nil
}

// Run runs once. Two runs at the same time need addresses of their own.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	guard, err := holdAddresses(cfg)
	if err != nil {
		return nil, err
	}
	defer func() { _ = guard.Close() }()
	w := &world{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 0)), began: time.Now(), ledger: newLedger(), storeGate: make(map[string]*gate),
		fatal: newFatal(), lives: make(map[string]*upstream), returning: make(chan *upstream, returningMost)}
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
	go func() {
		w.callFatal(callers)
		done <- struct{}{}
	}()
	w.injectFaults(ctx)
	time.Sleep(settle)
	stop()
	for range cfg.Callers + 1 {
		<-done
	}
	return w.report(), nil
}

func (w *world) report() *Report {
	r := w.ledger.report()
	r.Faults = w.faults
	return r
}

func (w *world) listen(last int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:0", w.cfg.Net, last))
}

// start starts the store, the upstreams and the boxes.
func (w *world) start() error {
	l, err := w.listen(1)
	if err != nil {
		return err
	}
	w.store = standin.NewStore(l)
	w.document = testDocument()
	if err := w.publish(); err != nil {
		return err
	}
	for i := range w.cfg.Upstreams {
		if err := w.startUpstream(i, 0); err != nil {
			return err
		}
	}
	if err := w.startSound(); err != nil {
		return err
	}
	for i := range w.cfg.Boxes {
		g, err := w.newGate(1, l.Addr().String())
		if err != nil {
			return err
		}
		b := &box{name: fmt.Sprintf("box%d", i), world: w, ip: fmt.Sprintf("127.0.%d.%d", w.cfg.Net, 10+i), domain: domain(i)}
		b.callers = b.at(portCallers)
		w.storeGate[b.name] = g
		w.boxes = append(w.boxes, b)
		if err := b.prepare(true); err != nil {
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
			{Name: "sound", Host: host, Prefix: soundPath, Repeat: route.Repeatable, MaxAttempts: 3, Timeout: 3 * time.Second, Targets: []route.Target{{Service: soundService, Weight: 1}}},
			{Name: "fixed", Host: host, Prefix: "/fixed/", Repeat: route.Stream, MaxAttempts: 3, Timeout: 3 * time.Second, Targets: to},
		},
		Services: []route.Service{{Name: service, MaxConnections: 400, ColdFor: coldFor, ColdPerSecond: coldPerSecond},
			{Name: soundService, MaxConnections: 400}},
		Customers: []route.Customer{{Name: "customer", Keys: []string{goodKey}}},
		Limits:    route.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderWait: 3 * time.Second, IdleWait: 15 * time.Second},
	}
}

// publish publishes the document.
func (w *world) publish() error {
	it, err := platform.DocumentItem(w.document)
	if err == nil {
		w.store.Put(it)
	}
	return err
}

// list publishes an upstream's entry.
func (w *world) list(u *upstream, leaving bool) {
	it, err := platform.UpstreamItem(balance.Upstream{ID: u.id, StartedAt: u.born, Service: u.service, Address: u.gate.address(), Domain: u.domain, Slots: 32, Leaving: leaving,
		ColdFor: max(0, time.Until(u.coldTill))})
	if err != nil {
		w.ledger.violate("an entry cannot be written: %v", err)
		return
	}
	w.store.Put(it)
}

func (w *world) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startup)
	defer cancel()
	for _, b := range w.boxes {
		for !b.ready() {
			if ctx.Err() != nil {
				return errors.New("soak: a box does not become ready; see " + filepath.Join(w.cfg.Dir, b.name+".log"))
			}
			time.Sleep(retryMs * time.Millisecond)
		}
	}
	return nil
}

// close ends everything that was started.
func (w *world) close() {
	for _, b := range w.boxes {
		b.kill()
	}
	for _, u := range append(w.upstreams, w.sound...) {
		u.close()
	}
	for _, g := range w.storeGate {
		g.close()
	}
	if w.store != nil {
		_ = w.store.Close()
	}
}

func (w *world) note(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%6.2f s ", time.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}

func logFile(dir, name string) (*os.File, error) {
	return os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
}
