package doormast

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/doormast/doormast/internal/jsonc"
	"github.com/doormast/doormast/settings"
	"github.com/doormast/doormast/standin"
	"github.com/doormast/doormast/table"
)

// stopSystem is a box before an engine and a platform.
type stopSystem struct {
	t      *testing.T
	box    *Box
	engine *standin.Engine
}

const stopKey = "a-key"

// newStopSystem starts a system with a notice and deadline of a planned stop, and waits until it is healthy.
func newStopSystem(t *testing.T, pace, notice, deadline time.Duration) *stopSystem {
	t.Helper()
	is := is.New(t)
	p, err := standin.NewPlatform("127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = p.Close() })
	e, err := standin.NewEngine(standin.EngineConfig{Address: "127.0.0.1:0", Model: "m", Slots: 64, Pace: pace})
	is.NoErr(err)
	t.Cleanup(func() { _ = e.Close() })
	p.SetTable(&table.Table{
		Classes:   []table.Class{{Name: "c", Tier: 1, FirstToken: jsonc.Duration(time.Minute), Weight: 1, Floor: 0.1, Repeatable: true, OnLate: table.Wait, Set: "s", Scope: table.ScopeDomain}},
		Customers: []table.Customer{{Name: "u", DefaultClass: "c", KeyHashes: []string{table.HashKey(stopKey)}, Scope: table.ScopeDomain}},
		Upstreams: []table.Upstream{{Name: "e", Domain: "d", Address: e.Address(), Kind: table.Engine, Set: "s", Model: "m", Slots: 64}},
	})
	s := settings.Defaults()
	s.Box, s.Domain, s.Platform, s.PeerKey, s.OpsKey = "b", "d", p.Address(), "a-peer-key-of-some-length", "an-ops-key-of-some-length"
	s.Listen.Callers, s.Listen.Control, s.Listen.Ops = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Stop.Notice, s.Stop.Deadline = jsonc.Duration(notice), jsonc.Duration(deadline)
	log := logrus.New()
	log.SetOutput(io.Discard)
	b, err := Start(context.Background(), Config{Settings: s, Log: log})
	is.NoErr(err)
	sys := &stopSystem{t, b, e}
	for {
		c := sys.dial()
		resp := c.ask(0)
		c.close()
		if resp.status == http.StatusOK {
			return sys
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// stopCaller is a connection of a caller.
type stopCaller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// dial opens a connection; nil if the box no longer listens.
func (s *stopSystem) dial() *stopCaller {
	address, _ := s.box.Addresses()
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil
	}
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	return &stopCaller{s.t, c, bufio.NewReader(c)}
}

func (c *stopCaller) close() { _ = c.conn.Close() }

// stopAnswer is what a caller got; status 0 if its connection was closed without an answer.
type stopAnswer struct {
	status      int
	ran, body   string
	closes      bool
	isTruncated bool
}

// chatRequest returns a request for an answer of some tokens.
func chatRequest(tokens int) string {
	body := fmt.Sprintf(`{"messages":[{"role":"user","content":"len=%d"}]}`, max(tokens, 1))
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", stopKey, len(body), body)
}

// ask sends a request and reads the answer.
func (c *stopCaller) ask(tokens int) stopAnswer {
	_, _ = io.WriteString(c.conn, chatRequest(tokens))
	return c.read()
}

// read reads an answer.
func (c *stopCaller) read() stopAnswer {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.t.Error("the box neither answered nor closed the connection")
		}
		return stopAnswer{}
	}
	body, err := io.ReadAll(resp.Body)
	return stopAnswer{resp.StatusCode, resp.Header.Get("X-Doormast-Ran"), string(body), resp.Close, err != nil}
}

// startedAtEngine returns how many runs the engine started.
func (s *stopSystem) startedAtEngine() int {
	n := 0
	for _, starts := range s.engine.Counts().Starts {
		n += starts
	}
	return n
}

// Callers go on using their connections until the box closes them.
func TestPlannedStopAnswersWhatItSendsOn(t *testing.T) {
	for range 5 {
		is := is.New(t)
		s := newStopSystem(t, time.Millisecond, 200*time.Millisecond, time.Minute)
		before := s.startedAtEngine()
		var callers sync.WaitGroup
		var answered, refused, cut atomic.Int64
		for i := range 24 {
			callers.Go(func() {
				c := s.dial()
				for c != nil {
					switch a := c.ask(i % 8); {
					case a.status == http.StatusOK && !a.isTruncated:
						answered.Add(1)
					case a.ran == "no":
						refused.Add(1)
					default:
						cut.Add(1)
						c.close()
						c = s.dial()
						continue
					}
					time.Sleep(time.Millisecond)
				}
			})
		}
		for answered.Load() < 100 {
			time.Sleep(time.Millisecond)
		}
		is.NoErr(s.box.Stop(context.Background()))
		callers.Wait()
		is.Equal(refused.Load(), int64(0))
		is.Equal(int64(s.startedAtEngine()-before), answered.Load())
	}
}

// A connection that was opened before the stop and not used yet does not hold the stop up.
func TestPlannedStopClosesUnusedConnections(t *testing.T) {
	is := is.New(t)
	s := newStopSystem(t, time.Millisecond, 50*time.Millisecond, time.Minute)
	unused, used := s.dial(), s.dial()
	defer unused.close()
	is.Equal(used.ask(1).status, http.StatusOK)
	is.NoErr(s.box.Stop(context.Background()))
	is.Equal(unused.ask(1), stopAnswer{})
	is.Equal(used.ask(1), stopAnswer{})
	used.close()
}

// A deadline ends requests with a refusal that says that they may have run.
func TestDeadlineOfPlannedStopRefusesRequests(t *testing.T) {
	is := is.New(t)
	s := newStopSystem(t, 10*time.Millisecond, 50*time.Millisecond, 500*time.Millisecond)
	long, idle := s.dial(), s.dial()
	defer long.close()
	defer idle.close()
	is.Equal(idle.ask(1).status, http.StatusOK)
	answer := make(chan stopAnswer, 1)
	before := s.startedAtEngine()
	go func() { answer <- long.ask(100_000) }()
	for s.startedAtEngine() == before {
		time.Sleep(time.Millisecond)
	}
	is.True(s.box.Stop(context.Background()) != nil)
	a := <-answer
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.Equal(a.ran, "unknown")
}

// A request that waited for its next run was refused as not run, though an earlier run of it had broken off.
func TestRequestThatBrokeOffIsNotRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	s := newStopSystem(t, 10*time.Millisecond, 50*time.Millisecond, 500*time.Millisecond)
	c := s.dial()
	defer c.close()
	answer := make(chan stopAnswer, 1)
	before := s.startedAtEngine()
	go func() { answer <- c.ask(100_000) }()
	for s.startedAtEngine() == before {
		time.Sleep(time.Millisecond)
	}
	s.engine.SetFaults(standin.Faults{CutAfter: 1, Pause: 60})
	for s.engine.Counts().Refused == 0 { // the next run
		time.Sleep(time.Millisecond)
	}
	is.True(s.box.Stop(context.Background()) != nil)
	a := <-answer
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.Equal(a.ran, "unknown")
}

// What becomes of a connection depends on its state when the box stops accepting connections.
func TestConnectionsWhenBoxStopsAccepting(t *testing.T) {
	request := chatRequest(3)
	head := strings.Index(request, "\r\n\r\n") + 4
	body := request[head:]
	chunkedHead := strings.Replace(request[:head], fmt.Sprintf("Content-Length: %d", len(body)), "Transfer-Encoding: chunked", 1)
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	for _, c := range []struct {
		name         string
		before, rest string
		answers      int // after the rest was sent
	}{
		{"unused", "", request, 0},
		{"after a request", request, request, 0},
		{"within a header", request[:20], request[20:], 1},
		{"within a body", request[:head+10], request[head+10:], 1},
		{"within a body in chunks", chunkedHead + chunk(body[:10]), chunk(body[10:]) + "0\r\n\r\n", 1},
		{"within a header, with a request behind", request[:20], request[20:] + request, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newStopSystem(t, time.Millisecond, 50*time.Millisecond, time.Minute)
			k := s.dial()
			defer k.close()
			_, err := io.WriteString(k.conn, c.before)
			is.NoErr(err)
			if c.before == request {
				is.Equal(k.read().status, http.StatusOK)
			}
			time.Sleep(100 * time.Millisecond) // the box has read the part
			before := s.startedAtEngine()
			stopped := make(chan error, 1)
			go func() { stopped <- s.box.Stop(context.Background()) }()
			for probe := s.dial(); probe != nil; probe = s.dial() {
				probe.close()
			}
			if c.answers == 0 {
				is.NoErr(<-stopped)
			}
			_, _ = io.WriteString(k.conn, c.rest)
			for range c.answers {
				a := k.read()
				is.Equal(a.status, http.StatusOK)
				is.True(a.closes)
			}
			is.Equal(k.read(), stopAnswer{})
			is.Equal(s.startedAtEngine()-before, c.answers)
			if c.answers > 0 {
				is.NoErr(<-stopped)
			}
		})
	}
}

// A request that arrives after the box has stopped accepting connections and outlasts its stop is told so: it gets a
// refusal or, within a stream, an error, not a closed connection.
func TestLateRequestThatOutlastsStopIsToldOfIt(t *testing.T) {
	for _, isStream := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream %v", isStream), func(t *testing.T) {
			is := is.New(t)
			s := newStopSystem(t, 10*time.Millisecond, 50*time.Millisecond, 700*time.Millisecond)
			body := fmt.Sprintf(`{"stream":%v,"messages":[{"role":"user","content":"len=100000"}]}`, isStream)
			request := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", stopKey, len(body), body)
			c := s.dial()
			defer c.close()
			_, err := io.WriteString(c.conn, request[:20])
			is.NoErr(err)
			time.Sleep(100 * time.Millisecond) // the box has read the part
			stopped := make(chan error, 1)
			go func() { stopped <- s.box.Stop(context.Background()) }()
			for probe := s.dial(); probe != nil; probe = s.dial() {
				probe.close()
			}
			_, err = io.WriteString(c.conn, request[20:])
			is.NoErr(err)
			a := c.read()
			is.True(<-stopped != nil)
			is.True(!a.isTruncated)
			is.True(a.closes)
			if isStream {
				is.True(strings.Contains(a.body, `"error"`) && !strings.Contains(a.body, "[DONE]"))
				return
			}
			is.Equal(a.status, http.StatusServiceUnavailable)
			is.Equal(a.ran, "unknown")
		})
	}
}
