package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/platform"
)

// processEnv makes the test binary serve as an upstream: address, id, software version and start.
const processEnv = "SOAK_UPSTREAM"

func TestMain(m *testing.M) {
	if args := strings.Fields(os.Getenv(processEnv)); len(args) == 4 {
		serveAsProcess(args[0], args[1], args[2], args[3])
		return
	}
	os.Exit(m.Run())
}

// serveAsProcess serves sound answers without a length, as soon as the address is free.
func serveAsProcess(address, id, software, startedAt string) {
	start, err := strconv.ParseInt(startedAt, 10, 64)
	if err != nil {
		panic(err)
	}
	u := &unframedUpstream{&upstream{id: id, software: software, startedAt: start, runs: make(map[string]int)}}
	for {
		if l, err := net.Listen("tcp", address); err == nil {
			panic(http.Serve(l, u))
		}
		time.Sleep(time.Millisecond)
	}
}

// unframedUpstream answers all requests whole, without a length or chunks.
type unframedUpstream struct{ *upstream }

// ServeHTTP implements http.Handler.
func (u *unframedUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if call := protocol.ReportCall(); r.Method == call.Method && r.URL.Path == call.Path {
		u.writeReport(w)
		return
	}
	id := r.Header.Get(protocol.RequestID)
	w.Header().Set(protocol.RequestID, id)
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	if r.Header.Get(protocol.Instance) != u.id {
		w.Header().Set(protocol.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.setProgress(id, 0)
	defer u.clearProgress(id)
	w.Header().Set(protocol.Signature, u.id+" "+id)
	w.Header().Set("Transfer-Encoding", "identity")
	for n, part := range u.parts(w, r, id) {
		_, _ = io.WriteString(w, part)
		_ = http.NewResponseController(w).Flush()
		u.setProgress(id, n+1)
		time.Sleep(eventPause)
	}
}

// parts returns the parts of the answer to a request, and sets the type of a stream.
func (u *unframedUpstream) parts(w http.ResponseWriter, r *http.Request, id string) (parts []string) {
	if !isStream(r.URL.Path) {
		body := responseBody(id)
		return []string{body[:len(body)/2], body[len(body)/2:]}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	from, err := strconv.Atoi(r.Header.Get(protocol.LastEvent))
	if err != nil {
		from = 0
	}
	for n := from + 1; n <= eventsPerStream; n++ {
		parts = append(parts, streamEvent(id, n, u.software))
	}
	return parts
}

// upstreamProcess is an upstream that runs as a process of its own.
type upstreamProcess struct {
	entry balance.Upstream
	cmd   *exec.Cmd
}

// startProcess starts an upstream process, which may wait for its address.
func startProcess(t *testing.T, entry balance.Upstream) *upstreamProcess {
	t.Helper()
	p := &upstreamProcess{entry, exec.Command(os.Args[0])}
	p.cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%s %s %s %d", processEnv, entry.Address, entry.ID, entry.Software, entry.StartedAt))
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.kill)
	return p
}

func (p *upstreamProcess) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// publishProcess writes the entry of an upstream process to the store.
func (w *harness) publishProcess(t *testing.T, p *upstreamProcess) {
	t.Helper()
	it, err := platform.UpstreamItem(p.entry)
	if err != nil {
		t.Fatal(err)
	}
	w.store.Put(it)
}

// startProcesses starts upstream processes and publishes them.
func (w *harness) startProcesses(t *testing.T, count int) (list []*upstreamProcess) {
	t.Helper()
	for n := range count {
		l, err := w.listen(120 + n)
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		p := startProcess(t, balance.Upstream{ID: fmt.Sprint("p", n), StartedAt: time.Now().UnixMilli(), Service: service, Address: l.Addr().String(),
			Domain: domain(n), Slots: 32, Software: softwareVersions[0]})
		w.publishProcess(t, p)
		list = append(list, p)
	}
	return list
}

// nextLife is what listens at the address of a killed upstream process.
type nextLife struct {
	name     string
	isAtOnce bool // it waits for the address, otherwise it starts later
	isOther  bool // it has another id
	software string
}

var nextLives = []nextLife{
	{"starts later", false, false, softwareVersions[0]},
	{"listens at once", true, false, softwareVersions[0]},
	{"listens at once with other software", true, false, softwareVersions[1]},
	{"its address is taken by another upstream", true, true, softwareVersions[0]},
}

// replaceProcess kills an upstream process and starts its next life, which the store lists later.
func (w *harness) replaceProcess(t *testing.T, old *upstreamProcess, life nextLife) *upstreamProcess {
	t.Helper()
	next := old.entry
	next.StartedAt, next.Software = time.Now().UnixMilli(), life.software
	if life.isOther {
		next.ID += "-next"
	}
	if !life.isAtOnce {
		old.kill()
	}
	p := startProcess(t, next)
	if life.isAtOnce {
		time.Sleep(2 * watchStep) // p waits for the address
		old.kill()
	}
	w.awaitAnswers(20)
	if life.isOther {
		w.store.Put(platform.DeletedItem(old.entry.ID))
	}
	w.publishProcess(t, p)
	return p
}

// Upstream processes were killed between two events of streams, or within plain answers, that had no length: callers
// got them as complete.
func TestAnswersOfKilledUpstreamsDoNotLookWhole(t *testing.T) {
	daemon := buildDaemon(t)
	for i, life := range nextLives {
		t.Run(life.name, func(t *testing.T) {
			is := is.New(t)
			w := startHarness(t, daemon, 110+i, 0)
			processes := w.startProcesses(t, 3)
			ctx, stop := context.WithCancel(context.Background())
			var callers sync.WaitGroup
			for n := range 24 {
				callers.Go(func() { w.call(ctx, n) })
			}
			for n := range 8 {
				w.awaitAnswers(60)
				processes[n%3] = w.replaceProcess(t, processes[n%3], life)
			}
			stop()
			callers.Wait()
			report := w.report()
			t.Log(report)
			is.Equal(len(report.Violations), 0) // see the log above
		})
	}
}

// awaitAnswers waits until callers have a number of answers more.
func (w *harness) awaitAnswers(count int) {
	answered := func() int {
		w.checker.mu.Lock()
		defer w.checker.mu.Unlock()
		return w.checker.answered
	}
	for until := answered() + count; answered() < until; {
		time.Sleep(watchStep)
	}
}
