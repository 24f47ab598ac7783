package capacity

// This file defines the measurement of the data path: what a request and a stream
// cost between caller and upstream. The daemon's library runs on loopback in this
// process, with a stand-in for the engine and for the platform.

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

// edgeSystem is one box, one engine stand-in as its upstream, and a client.
type edgeSystem struct {
	engine   *standin.Engine
	platform *standin.Platform
	box      *doormast.Box
	client   *http.Client
}

// startEdge starts the system and waits at most 10 s until the box has its table.
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
	return nil, fmt.Errorf("capacity: the box received no table within 10 s")
}

// freeUDP returns the address of a UDP port that was free a moment ago.
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

// request sends a request for an answer of the given number of tokens, reads the whole
// answer, and returns the time to its first byte.
func (e *edgeSystem) request(address string, tokens int) (time.Duration, error) {
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

// manyStreams is limited by the default number of open files of a process: the
// sockets of callers, box and engine are all in this one.
const manyStreams = 4000

// measureEdge measures requests through the box and, in the same run, sent directly to
// the engine stand-in; the results are the differences.
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

// latency sets the median and the 99th percentile of the time that the box adds to the
// first byte, in microseconds, after 200 warm-up rounds.
func (e *edgeSystem) latency(address string, c *EdgeCost) error {
	const rounds = 2000
	var direct, through []time.Duration
	for i := range rounds + 200 {
		d, err := e.request(e.engine.Address(), 1)
		if err != nil {
			return err
		}
		t, err := e.request(address, 1)
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

// requestCost is what one request costs the whole process.
type requestCost struct {
	nanos  float64 // processor time
	allocs float64
}

// sendRequests sends requests over the given number of concurrent workers and returns
// the mean cost of one.
func (e *edgeSystem) sendRequests(address string, concurrency, requests, tokens int) (requestCost, error) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := processorTime()
	var wg sync.WaitGroup
	errs := make(chan error, concurrency)
	for range concurrency {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range requests / concurrency {
				if _, err := e.request(address, tokens); err != nil {
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
		return requestCost{}, err
	default:
	}
	n := float64(requests)
	return requestCost{float64(spent.Nanoseconds()) / n, float64(after.Mallocs-before.Mallocs) / n}, nil
}

// boxCost returns the cost of a request through the box less that of one sent directly
// to the engine stand-in. A first round through the box warms it up.
func (e *edgeSystem) boxCost(address string, concurrency, requests, tokens int) (requestCost, error) {
	if _, err := e.sendRequests(address, concurrency, requests, tokens); err != nil {
		return requestCost{}, err
	}
	direct, err := e.sendRequests(e.engine.Address(), concurrency, requests, tokens)
	if err != nil {
		return requestCost{}, err
	}
	w, err := e.sendRequests(address, concurrency, requests, tokens)
	return requestCost{w.nanos - direct.nanos, w.allocs - direct.allocs}, err
}

// events sets the cost of a streamed event and of a request with a one-token answer.
func (e *edgeSystem) events(address string, c *EdgeCost) error {
	const tokens = 4000
	long, err := e.boxCost(address, 16, 16, tokens)
	if err != nil {
		return err
	}
	c.EventNanos, c.EventAllocs = long.nanos/tokens, long.allocs/tokens
	short, err := e.boxCost(address, 16, 16000, 1)
	c.RequestNanos = short.nanos
	return err
}

// processorTime returns the user and system processor time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureStreams returns the bytes that an open stream takes in the box: the memory
// of a stream through the box less that of one directly to the engine stand-in. Both
// include the client's side.
func measureStreams(openStreams int) (float64, error) {
	direct, err := streamsBytes(openStreams, false)
	if err != nil {
		return 0, err
	}
	through, err := streamsBytes(openStreams, true)
	return through - direct, err
}

// streamsBytes returns the bytes that each of openStreams streams takes in this process.
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
	before := memoryInUse()
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
			return float64(memoryInUse()-before) / float64(openStreams), nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0, fmt.Errorf("capacity: %d of %d streams opened within 30 s", e.engine.Counts().Running, openStreams)
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
