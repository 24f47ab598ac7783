package capacity

// This file defines the measurement of the callers' and upstreams' edges, through
// a real daemon's library on loopback.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/doormast/doormast"
	"github.com/doormast/doormast/internal/jsonc"
	"github.com/doormast/doormast/internal/platform"
	"github.com/doormast/doormast/settings"
	"github.com/doormast/doormast/standin"
	"github.com/doormast/doormast/table"
)

const edgeKey = "measured-key"

// edgeSystem is one box before one stand-in engine.
type edgeSystem struct {
	engine   *standin.Engine
	platform *standin.Platform
	box      *doormast.Box
	client   *http.Client
}

func startEdge(slots int, pace time.Duration) (*edgeSystem, error) {
	e := &edgeSystem{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}}
	var err error
	if e.engine, err = standin.NewEngine(standin.EngineConfig{Address: "127.0.0.1:0", Model: "m", Slots: slots, Pace: pace}); err != nil {
		return nil, err
	}
	if e.platform, err = standin.NewPlatform("127.0.0.1:0"); err != nil {
		return nil, err
	}
	t := &table.Table{
		Classes: []table.Class{{Name: "c", Tier: 1, FirstToken: jsonc.Duration(time.Minute), Weight: 1, Floor: 0.1, Repeatable: true,
			OnLate: table.Wait, Set: "s", Scope: table.ScopeDomain}},
		Customers: []table.Customer{{Name: "u", KeyHashes: []string{table.HashKey(edgeKey)}, DefaultClass: "c", Scope: table.ScopeDomain}},
		Sets:      []table.Set{{Name: "s", Queue: 100000}},
		Upstreams: []table.Upstream{{Name: "e", Domain: "d", Address: e.engine.Address(), Kind: table.Engine, Set: "s", Slots: slots}},
	}
	e.platform.SetTable(t)
	s := settings.Defaults()
	s.Box, s.Domain, s.Platform = "b", "d", e.platform.Address()
	s.PeerKey, s.OpsKey = "a key for the measurement", "a key for the measurement"
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Control: freeUDP(), Ops: "127.0.0.1:0"}
	e.platform.SetList(platform.List{Boxes: []platform.Box{{Name: "b", Domain: "d", Control: s.Listen.Control, Ops: "127.0.0.1:1"}}})
	log := logrus.New()
	log.SetOutput(io.Discard)
	if e.box, err = doormast.Start(context.Background(), doormast.Config{Settings: s, Log: log}); err != nil {
		return nil, err
	}
	for range 500 {
		if e.box.Table() != nil {
			return e, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, fmt.Errorf("capacity: the box got no table")
}

func freeUDP() string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

func (e *edgeSystem) close() {
	e.client.CloseIdleConnections()
	_ = e.box.Close()
	_ = e.engine.Close()
	_ = e.platform.Close()
}

// ask makes a request for an answer of some tokens and returns when its first
// byte came.
func (e *edgeSystem) ask(address string, tokens int) (time.Duration, error) {
	body := fmt.Sprintf(`{"stream":true,"messages":[{"role":"user","content":"len=%d"}]}`, tokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+edgeKey)
	start := time.Now()
	resp, err := e.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	r := bufio.NewReader(resp.Body)
	if _, err := r.ReadByte(); err != nil {
		return 0, err
	}
	first := time.Since(start)
	_, err = io.Copy(io.Discard, r)
	return first, err
}

// manyStreams is as many as the files that a process may open by default allow
// here, with callers, box and engine in one.
const manyStreams = 4000

// measureEdge compares with a direct connection to the stand-in, in the same run.
func measureEdge() (EdgeCost, error) {
	var c EdgeCost
	e, err := startEdge(20000, 0)
	if err != nil {
		return c, err
	}
	address, _ := e.box.Addresses()
	if err := e.latency(address, &c); err != nil {
		e.close()
		return c, err
	}
	if err = e.events(address, &c); err != nil {
		e.close()
		return c, err
	}
	e.close()
	if c.StreamBytes, err = measureStreams(1000); err != nil {
		return c, err
	}
	c.ManyBytes, err = measureStreams(manyStreams)
	return c, err
}

func (e *edgeSystem) latency(address string, c *EdgeCost) error {
	const rounds = 2000
	var direct, through []time.Duration
	for i := range rounds + 200 {
		d, err := e.ask(e.engine.Address(), 1)
		if err != nil {
			return err
		}
		t, err := e.ask(address, 1)
		if err != nil {
			return err
		}
		if i >= 200 {
			direct, through = append(direct, d), append(through, t)
		}
	}
	slices.Sort(direct)
	slices.Sort(through)
	at := func(q float64) float64 {
		i := int(q * rounds)
		return float64((through[i] - direct[i]).Nanoseconds()) / 1000
	}
	c.AddedMedian, c.AddedP99 = at(0.5), at(0.99)
	return nil
}

// work is what a number of requests cost the whole process, for each.
type work struct {
	nanos  float64 // processor time
	allocs float64
}

// many makes requests, some at a time, for answers of some tokens.
func (e *edgeSystem) many(address string, atOnce, requests, tokens int) (work, error) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := processorTime()
	var wg sync.WaitGroup
	errs := make(chan error, atOnce)
	for range atOnce {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range requests / atOnce {
				if _, err := e.ask(address, tokens); err != nil {
					errs <- err
					return
				}
			}
		}()
	}
	wg.Wait()
	spent := processorTime() - start
	runtime.ReadMemStats(&after)
	select {
	case err := <-errs:
		return work{}, err
	default:
	}
	n := float64(requests)
	return work{float64(spent.Nanoseconds()) / n, float64(after.Mallocs-before.Mallocs) / n}, nil
}

// through measures requests through the daemon, less those straight from the
// stand-in.
func (e *edgeSystem) through(address string, atOnce, requests, tokens int) (work, error) {
	if _, err := e.many(address, atOnce, requests, tokens); err != nil {
		return work{}, err // warm
	}
	direct, err := e.many(e.engine.Address(), atOnce, requests, tokens)
	if err != nil {
		return work{}, err
	}
	w, err := e.many(address, atOnce, requests, tokens)
	return work{w.nanos - direct.nanos, w.allocs - direct.allocs}, err
}

// events measures a streamed event and a short request.
func (e *edgeSystem) events(address string, c *EdgeCost) error {
	const tokens = 4000
	long, err := e.through(address, 16, 16, tokens)
	if err != nil {
		return err
	}
	c.EventNanos, c.EventAllocs = long.nanos/tokens, long.allocs/tokens
	short, err := e.through(address, 16, 16000, 1)
	c.RequestNanos = short.nanos
	return err
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureStreams measures the memory of an open stream through the daemon, less
// that of one straight from the stand-in; the caller's side is in both.
func measureStreams(openStreams int) (float64, error) {
	direct, err := streamsBytes(openStreams, false)
	if err != nil {
		return 0, err
	}
	through, err := streamsBytes(openStreams, true)
	return through - direct, err
}

func streamsBytes(openStreams int, throughBox bool) (float64, error) {
	e, err := startEdge(openStreams*2, time.Minute)
	if err != nil {
		return 0, err
	}
	defer e.close()
	address := e.engine.Address()
	if throughBox {
		address, _ = e.box.Addresses()
	}
	before := inUse()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range openStreams {
		go func() {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions",
				strings.NewReader(`{"stream":true,"messages":[{"role":"user","content":"len=9"}]}`))
			if err != nil {
				return
			}
			req.Header.Set("Authorization", "Bearer "+edgeKey)
			if resp, err := e.client.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}()
	}
	for range 1500 {
		if e.engine.Counts().Running == openStreams {
			return float64(inUse()-before) / float64(openStreams), nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0, fmt.Errorf("capacity: %d of %d streams opened", e.engine.Counts().Running, openStreams)
}

// inUse is the memory of the heap and the stacks.
func inUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
