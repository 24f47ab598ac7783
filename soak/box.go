package soak

// This file defines a box, which runs as a daemon process and can be killed and restarted.
//
// Invariant: the process ends only after the run has asked it to, within exitWithin and with success; any other exit is a violation.

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// box is a box with its current daemon process, if any.
type box struct {
	name, ip, domain string
	harness          *harness
	settings         string
	callers          string // IP:port
	cmd              *exec.Cmd
	ended            chan struct{}
	stopRequested    *atomic.Bool // whether the run has asked the process to end
	starts           atomic.Int64
	life             atomic.Pointer[life] // its latest process; nil before the first
}

// Ports of a box. Each box has its own IP address.
const (
	portCallers = 18080
	portReady   = 18081
	portControl = 18082
	portMetrics = 18083
	portPeers   = 18084
)

func (b *box) address(port int) string { return net.JoinHostPort(b.ip, fmt.Sprint(port)) }

// writeSettings writes the settings file; first is the setting first_start.
func (b *box) writeSettings(first bool) error {
	seeds := ""
	for i := range min(b.harness.cfg.Boxes, 3) {
		if i > 0 {
			seeds += ", "
		}
		seeds += fmt.Sprintf("%q", fmt.Sprintf("127.0.%d.%d:%d", b.harness.cfg.Net, 10+i, portControl))
	}
	text := fmt.Sprintf(`{"box": %q, "domain": %q, "first_start": %v,
  "listen": {"callers": %q, "ready": %q, "control": %q, "metrics": %q, "ip": %q},
  "platform": %q, "seeds": [%s], "peer_ports": [%d], "memory_mb": 256, "cpu_share": 0.5, "link_mbps": 100,
  "bounds": {"grace_s": 8, "retry_ratio": %v, "retry_slack": %d, "retry_window_s": %v, "document_ms": 2000,
    "cold_overshoot": %v, "cold_slack": %d, "limit_span_s": %v, "limit_overshoot": %v, "limit_slack": %d}}`,
		b.name, b.domain, first, b.address(portCallers), b.address(portReady), b.address(portControl), b.address(portMetrics), b.ip,
		b.harness.storeProxies[b.name].address(), seeds, portPeers, maxRetryRatio, maxRetrySlack, b.harness.retryWindow().Seconds(), coldOvershoot, coldSlack,
		limitSpan.Seconds(), limitOvershoot, limitSlack)
	b.settings = filepath.Join(b.harness.cfg.Dir, b.name+".json")
	return os.WriteFile(b.settings, []byte(text), 0o644)
}

func (b *box) start() error {
	log, err := logFile(b.harness.cfg.Dir, b.name)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	b.cmd = exec.Command(b.harness.cfg.Daemon, "relay", "--settings", b.settings)
	b.cmd.Stdout, b.cmd.Stderr = log, log
	// The kernel kills the box if the soak process dies.
	b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	b.life.Store(new(life))
	b.starts.Add(1) // before the process can send anything
	if err := b.cmd.Start(); err != nil {
		return err
	}
	b.ended, b.stopRequested = make(chan struct{}), new(atomic.Bool)
	go b.wait(b.cmd, b.ended, b.stopRequested, b.life.Load())
	return nil
}

// exitWithin is the time after SIGTERM in which a process ends: the grace period and a margin for a busy machine.
const exitWithin = 10 * time.Second

// wait waits for a process to exit, and reports a violation if no stop was requested or the stop took too long.
func (b *box) wait(cmd *exec.Cmd, ended chan<- struct{}, stopRequested *atomic.Bool, l *life) {
	err := cmd.Wait()
	if stopped := l.terminated.Load(); stopped != nil && l.harms.Load() == 0 && time.Since(*stopped) > exitWithin {
		b.harness.checker.reportViolation("%s exited %v after SIGTERM", b.name, time.Since(*stopped))
	}
	if failed := new(exec.ExitError); errors.As(err, &failed) && failed.ExitCode() > 0 { // no signal has ended it
		b.harness.checker.reportViolation("%s failed: %v; see its log", b.name, err)
	}
	if !stopRequested.Load() {
		b.harness.checker.reportViolation("%s exited unexpectedly: %v; see its log", b.name, err)
	}
	close(ended)
}

func (b *box) signal(s syscall.Signal) {
	if b.cmd != nil && b.cmd.Process != nil {
		b.life.Load().signaled(s)
		_ = b.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its exit.
func (b *box) kill() {
	if b.cmd == nil {
		return
	}
	b.stopRequested.Store(true)
	b.signal(syscall.SIGKILL)
	<-b.ended
	b.cmd = nil
}

// restart starts a new process after the previous one has exited.
func (b *box) restart() error {
	if err := b.writeSettings(false); err != nil {
		return err
	}
	return b.start()
}

func (b *box) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + b.address(portReady) + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
