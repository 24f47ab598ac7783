package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast"
	"github.com/doormast/doormast/internal/jsonc"
	"github.com/doormast/doormast/internal/ops"
	"github.com/doormast/doormast/internal/platform"
	"github.com/doormast/doormast/standin"
	"github.com/doormast/doormast/table"
	"github.com/doormast/doormast/timeline"
	"github.com/doormast/doormast/wire"
)

const (
	peerKey = "peer-key-for-the-tests"
	opsKey  = "ops-key-for-the-tests"
	// eventTimeout limits each wait for an event; no test asserts a duration with it.
	eventTimeout = 60 * time.Second
)

var daemonBin, standinBin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "doormast-e2e")
	if err != nil {
		panic(err)
	}
	daemonBin, standinBin = filepath.Join(dir, "doormastd"), filepath.Join(dir, "standin")
	build := exec.Command("go", "build", "-o", dir, "./cmd/doormastd", "./cmd/standin")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a child process of a test; done receives its exit error.
type process struct {
	cmd    *exec.Cmd
	first  string // first line of its standard output, for stand-ins
	output *output
	done   chan error
}

// output collects the standard error of a process.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// start runs a program and kills it when the test ends.
func start(t *testing.T, bin string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(bin, args...), output: new(output), done: make(chan error, 1)}
	p.cmd.Stderr = p.output
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if bin == standinBin {
		line, err := bufio.NewReader(out).ReadString('\n')
		if err != nil {
			t.Fatalf("%s %v: %v\n%s", bin, args, err, p.output)
		}
		p.first = strings.TrimSpace(line)
	}
	go func() { p.done <- p.cmd.Wait() }()
	t.Cleanup(func() { p.kill() })
	return p
}

func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	select {
	case err := <-p.done:
		p.done <- err
	case <-time.After(eventTimeout):
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// nextPort counts the ports probed. Ports are chosen below the kernel's ephemeral range, so that
// no outgoing connection of another test takes one before the daemon listens on it: a daemon
// whose port is taken exits, and its test would wait for it until the timeout.
var nextPort atomic.Uint32

const minPort, portCount = 20000, 10000

func init() { nextPort.Store(uint32(os.Getpid()) * 64) }

// freePort returns a local address whose port is free for both UDP and TCP.
func freePort(t *testing.T) string {
	t.Helper()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", minPort+nextPort.Add(1)%portCount)
		if isFreeAddress(address) {
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

// isFreeAddress reports whether an address is free for both UDP and TCP.
func isFreeAddress(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	c, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// expectRunning fails the test with the process's output if the process has exited.
func (p *process) expectRunning(t *testing.T) {
	t.Helper()
	select {
	case err := <-p.done:
		p.done <- err
		t.Fatalf("process exited unexpectedly: %v\n%s", err, p.output)
	default:
	}
}

// box is a daemon process with its addresses and settings file.
type box struct {
	name, domain, callers, control, ops string
	proc                                *process
	file                                string
}

// system is a deployment under test.
type system struct {
	t        *testing.T
	platform *standin.Platform
	engines  []*standin.Engine
	plain    *standin.Plain
	boxes    []*box
	table    *table.Table
	dir      string
}

// config is the size of a system and of its engines.
type config struct {
	domains int
	boxes   int // in each domain
	engines int // in each domain
	slots   int
	pace    time.Duration      // per token
	edit    func(*table.Table) // if set, changes the table before it is published
}

// newSystem starts the boxes as processes and waits until they are ready. The stand-ins run
// in the test process, so that tests can inspect them and inject faults.
func newSystem(t *testing.T, cfg config) *system {
	t.Helper()
	s := &system{t: t, dir: t.TempDir()}
	var err error
	if s.platform, err = standin.NewPlatform("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.platform.Close() })
	if s.plain, err = standin.NewPlain("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.plain.Close() })
	s.table = baseTable()
	for d := range cfg.domains {
		domain := fmt.Sprintf("d%d", d)
		for i := range cfg.engines {
			e, err := standin.NewEngine(standin.EngineConfig{Address: "127.0.0.1:0", Model: "m", Slots: cfg.slots, Pace: cfg.pace, Prefill: cfg.pace, ChecksFence: true})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = e.Close() })
			s.engines = append(s.engines, e)
			s.table.Upstreams = append(s.table.Upstreams, table.Upstream{Name: fmt.Sprintf("e%d-%d", d, i), Domain: domain,
				Address: e.Address(), Kind: table.Engine, Set: "chat", Model: "m", Slots: cfg.slots, ChecksFence: true})
		}
		s.table.Upstreams = append(s.table.Upstreams, table.Upstream{Name: "p-" + domain, Domain: domain,
			Address: s.plain.Address(), Kind: table.Plain, Set: "pay", Slots: 8})
		for i := range cfg.boxes {
			s.boxes = append(s.boxes, &box{name: fmt.Sprintf("b%d-%d", d, i), domain: domain,
				callers: freePort(t), control: freePort(t), ops: freePort(t)})
		}
	}
	if cfg.edit != nil {
		cfg.edit(s.table)
	}
	s.platform.SetTable(s.table)
	s.publishList()
	for _, b := range s.boxes {
		s.startBox(b)
	}
	for _, b := range s.boxes {
		s.awaitReady(b)
	}
	return s
}

func (s *system) publishList() {
	var l platform.List
	for _, b := range s.boxes {
		l.Boxes = append(l.Boxes, platform.Box{Name: b.name, Domain: b.domain, Control: b.control, Ops: b.ops})
	}
	s.platform.SetList(l)
}

func (s *system) startBox(b *box) {
	s.t.Helper()
	settings := map[string]any{
		"box": b.name, "domain": b.domain,
		"listen":   map[string]string{"callers": b.callers, "control": b.control, "ops": b.ops},
		"platform": s.platform.Address(), "peer_key": peerKey, "ops_key": opsKey,
		"stop": map[string]string{"notice": "200ms"},
	}
	text, err := json.Marshal(settings)
	if err != nil {
		s.t.Fatal(err)
	}
	b.file = filepath.Join(s.dir, b.name+".json")
	if err := os.WriteFile(b.file, append([]byte("// made by a test\n"), text...), 0o600); err != nil {
		s.t.Fatal(err)
	}
	b.proc = start(s.t, daemonBin, "--settings", b.file)
}

func (s *system) status(b *box) (*wire.StatusResponse, error) {
	c := ops.Dial(b.ops, opsKey)
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return c.Status(ctx)
}

// awaitReady waits until a box has a table and a list of boxes, and considers all other started
// boxes of its domain live.
func (s *system) awaitReady(b *box) {
	s.t.Helper()
	waitFor(s.t, b.name+" to be ready", func() bool {
		b.proc.expectRunning(s.t)
		st, err := s.status(b)
		return err == nil && st.TableRevision > 0 && st.RosterRevision > 0 && len(st.Live) == s.startedIn(b.domain)-1
	})
}

// startedIn returns the number of started boxes in a domain.
func (s *system) startedIn(domain string) int {
	n := 0
	for _, b := range s.boxes {
		if b.domain == domain && b.proc != nil {
			n++
		}
	}
	return n
}

// waitFor polls a condition until it is true; what names it in the failure message.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(eventTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// events returns the merged timeline of all boxes that respond.
func (s *system) events() []timeline.Event {
	var lists [][]timeline.Event
	for _, b := range s.boxes {
		c := ops.Dial(b.ops, opsKey)
		resp, err := c.Timeline(context.Background(), &wire.TimelineRequest{})
		_ = c.Close()
		if err != nil {
			continue
		}
		var list []timeline.Event
		for _, e := range resp.Events {
			list = append(list, doormast.EventFromWire(e))
		}
		lists = append(lists, list)
	}
	return timeline.Merge(lists...)
}

// checkInvariants fails the test for each invariant violation on the timeline. Only requests of
// class pay are not repeatable.
func (s *system) checkInvariants() {
	s.t.Helper()
	for _, v := range timeline.Check(s.events(), func(class string) bool { return class != "pay" }) {
		s.t.Error(v)
	}
}

const callerKey = "caller-key"

func baseTable() *table.Table {
	ms := func(n int) jsonc.Duration { return jsonc.Duration(time.Duration(n) * time.Millisecond) }
	return &table.Table{
		Classes: []table.Class{
			{Name: "review", Tier: 1, FirstToken: ms(60000), Weight: 1, Floor: 0.1, Repeatable: true, OnLate: table.Wait, Set: "chat", Scope: table.ScopeDomain},
			{Name: "question", Tier: 2, FirstToken: ms(10000), Weight: 1, Floor: 0.1, Repeatable: true, OnLate: table.Wait, Set: "chat", Scope: table.ScopeDomain},
			{Name: "pay", Tier: 1, FirstToken: ms(60000), Weight: 1, Floor: 0.1, OnLate: table.Wait, Set: "pay", Scope: table.ScopeDomain},
		},
		Customers: []table.Customer{{Name: "acme", KeyHashes: []string{table.HashKey(callerKey)}, DefaultClass: "question", Scope: table.ScopeDomain}},
	}
}

// answer is the response that a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	text   string // the content of a stream, concatenated
	done   bool   // the stream's end marker was received
	err    error
}

// call describes a request of a test.
type call struct {
	prompt  string
	class   string
	stream  bool
	path    string // of a plain service; empty for a chat completion
	headers map[string]string
}

// send sends a request to a box and reads the complete answer.
func send(ctx context.Context, b *box, c call) answer {
	body, path := c.prompt, c.path
	if path == "" {
		path = "/v1/chat/completions"
		raw, _ := json.Marshal(map[string]any{"model": "m", "stream": c.stream,
			"messages": []map[string]string{{"role": "system", "content": "be kind"}, {"role": "user", "content": c.prompt}}})
		body = string(raw)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.callers+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	if c.class != "" {
		req.Header.Set("X-Doormast-Class", c.class)
	}
	for k, v := range c.headers {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err}
	if c.stream {
		a.text, a.done = streamContent(a.body)
	}
	return a
}

// streamContent concatenates the content of an event stream, and reports whether it has an end marker.
func streamContent(stream string) (text string, done bool) {
	for _, line := range strings.Split(stream, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var c struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			text += c.Choices[0].Delta.Content
		}
	}
	return text, false
}

// expectedAnswer returns the complete answer that the stand-in engine generates for a prompt.
func expectedAnswer(prompt string) string {
	raw, _ := json.Marshal(map[string]string{"role": "user", "content": prompt})
	var b strings.Builder
	for i := range standin.AnswerLength(string(raw), 0) {
		b.WriteString(standin.AnswerToken(string(raw), i))
	}
	return b.String()
}

// expectComplete checks that an answer is the complete stream for its prompt.
func expectComplete(t *testing.T, prompt string, a answer) {
	t.Helper()
	is := is.New(t)
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusOK)
	is.True(a.done)                          // the stream has its end marker
	is.Equal(a.text, expectedAnswer(prompt)) // the answer is complete and matches its prompt
}

func newUpstream(name, address, kind, set string) table.Upstream {
	return table.Upstream{Name: name, Domain: "d0", Address: address, Kind: table.Kind(kind), Set: set, Model: "m", Slots: 8}
}

// restartWithPeers starts a box again with its peers listed in its settings.
func (s *system) restartWithPeers(b *box) {
	s.t.Helper()
	var peers []map[string]string
	for _, other := range s.boxes {
		if other != b {
			peers = append(peers, map[string]string{"box": other.name, "domain": other.domain, "control": other.control, "ops": other.ops})
		}
	}
	raw, err := os.ReadFile(b.file)
	if err != nil {
		s.t.Fatal(err)
	}
	var settings map[string]any
	_, text, _ := bytes.Cut(raw, []byte("\n"))
	if err := json.Unmarshal(text, &settings); err != nil {
		s.t.Fatal(err)
	}
	settings["peers"] = peers
	text, err = json.Marshal(settings)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(b.file, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
	b.proc = start(s.t, daemonBin, "--settings", b.file)
}
