package soak

// This file defines a box as a process.

import (
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

// box is a process of the daemon, over its lives.
type box struct {
	name, ip, domain string
	world            *world
	settings         string
	callers          string // IP:port
	cmd              *exec.Cmd
	ended            chan struct{}
	asked            *atomic.Bool // the process was asked to end
	starts           atomic.Int64
}

// Ports of a box; each box has an address of its own.
const (
	portCallers = 18080
	portReady   = 18081
	portControl = 18082
	portMetrics = 18083
	portPeers   = 18084
)

func (b *box) at(port int) string { return net.JoinHostPort(b.ip, fmt.Sprint(port)) }

// prepare writes the settings.
func (b *box) prepare(first bool) error {
	seeds := ""
	for i := range min(b.world.cfg.Boxes, 3) {
		if i > 0 {
			seeds += ", "
		}
		seeds += fmt.Sprintf("%q", fmt.Sprintf("127.0.%d.%d:%d", b.world.cfg.Net, 10+i, portControl))
	}
	text := fmt.Sprintf(`{"box": %q, "domain": %q, "first_start": %v,
  "listen": {"callers": %q, "ready": %q, "control": %q, "metrics": %q, "ip": %q},
  "platform": %q, "seeds": [%s], "peer_ports": [%d], "memory_mb": 256, "cpu_share": 0.5, "link_mbps": 100,
  "bounds": {"grace_s": 8, "retry_ratio": %v, "retry_slack": %d, "retry_window_s": 10, "document_ms": 2000,
    "cold_overshoot": %v, "cold_slack": %d, "limit_span_s": %v, "limit_overshoot": %v, "limit_slack": %d}}`,
		b.name, b.domain, first, b.at(portCallers), b.at(portReady), b.at(portControl), b.at(portMetrics), b.ip,
		b.world.storeGate[b.name].address(), seeds, portPeers, ratioTop, slackTop, coldOvershoot, coldSlack,
		limitSpan.Seconds(), limitOvershoot, limitSlack)
	b.settings = filepath.Join(b.world.cfg.Dir, b.name+".json")
	return os.WriteFile(b.settings, []byte(text), 0o644)
}

func (b *box) start() error {
	log, err := logFile(b.world.cfg.Dir, b.name)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	b.cmd = exec.Command(b.world.cfg.Daemon, "relay", "--settings", b.settings)
	b.cmd.Stdout, b.cmd.Stderr = log, log
	// A soak that is killed leaves no process behind.
	b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	b.starts.Add(1) // before anything may come from the process
	if err := b.cmd.Start(); err != nil {
		return err
	}
	b.ended, b.asked = make(chan struct{}), new(atomic.Bool)
	go b.wait(b.cmd, b.ended, b.asked)
	return nil
}

// wait waits for the end of a process, which must have been asked for.
func (b *box) wait(cmd *exec.Cmd, ended chan<- struct{}, asked *atomic.Bool) {
	err := cmd.Wait()
	if !asked.Load() {
		b.world.ledger.violate("%s ended by itself: %v; see its log", b.name, err)
	}
	close(ended)
}

func (b *box) signal(s syscall.Signal) {
	if b.cmd != nil && b.cmd.Process != nil {
		_ = b.cmd.Process.Signal(s)
	}
}

// kill ends the process at once and waits for it.
func (b *box) kill() {
	if b.cmd == nil {
		return
	}
	b.asked.Store(true)
	b.signal(syscall.SIGKILL)
	<-b.ended
	b.cmd = nil
}

// restart starts a new life after the process has ended.
func (b *box) restart() error {
	if err := b.prepare(false); err != nil {
		return err
	}
	return b.start()
}

func (b *box) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + b.at(portReady) + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
