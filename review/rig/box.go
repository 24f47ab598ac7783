package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// BoxConfig is what differs between the boxes of a case.
type BoxConfig struct {
	Name, Zone, IP string
	Zones          []string
	Store          string // IP:port
	Seeds          []string
	PeerPort       int
}

// Box is a box, run as a process with the command of the deploy file.
type Box struct {
	Config   BoxConfig
	Callers  string // IP:port
	Ready    string
	Control  string
	folder   string
	settings string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// Command is the program of the deploy file, below the root of the repository.
const Command = "target/doormastd"

// freeAddress returns a free TCP address of an IP.
func freeAddress(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// FreePort returns a port that is free for TCP and UDP on all the IPs.
func FreePort(ips ...string) int {
	for {
		_, port, _ := net.SplitHostPort(freeAddress(ips[0]))
		free := true
		for _, ip := range ips {
			l, err := net.Listen("tcp", ip+":"+port)
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
			p, err := net.ListenPacket("udp", ip+":"+port)
			if err != nil {
				free = false
				break
			}
			_ = p.Close()
		}
		if free {
			var n int
			_, _ = fmt.Sscan(port, &n)
			return n
		}
	}
}

// NewBox chooses the addresses of a box; Start starts it.
func NewBox(folder string, c BoxConfig) *Box {
	return &Box{Config: c, Callers: freeAddress(c.IP), Ready: freeAddress(c.IP), Control: freeAddress(c.IP), folder: folder}
}

// writeSettings writes the settings that deploy/box.json gives a box of a small deployment.
func (b *Box) writeSettings(first bool) error {
	c := b.Config
	regions := make(map[string]string)
	for _, z := range c.Zones {
		regions[z] = "region"
	}
	s := map[string]any{
		"box": c.Name, "domain": c.Zone, "regions": regions, "first_start": first,
		"listen":   map[string]string{"callers": b.Callers, "ready": b.Ready, "control": b.Control, "metrics": freeAddress(c.IP), "ip": c.IP},
		"platform": c.Store, "seeds": c.Seeds, "peer_ports": []int{c.PeerPort, c.PeerPort + 15},
		"memory_mb": 284, "max_fds": 4100, "cpu_share": 0.4, "link_mbps": 1000.0,
		"bounds": map[string]any{"grace_s": 8, "retry_ratio": 0.2, "retry_slack": 54, "retry_window_s": 10, "limit_span_s": 4,
			"limit_overshoot": 1.5, "limit_slack": 5, "document_ms": 2000},
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	b.settings = filepath.Join(b.folder, c.Name+".json")
	return os.WriteFile(b.settings, text, 0o600)
}

// Start starts the process; first says that no box has run before.
func (b *Box) Start(first bool) error {
	if err := b.writeSettings(first); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(b.folder, b.Config.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	b.cmd = exec.Command(Command, "relay", "--settings", b.settings)
	b.cmd.Stdout, b.cmd.Stderr = out, out
	if err := b.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	b.ended = ended
	cmd := b.cmd
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(ended)
	}()
	return nil
}

// IsReady asks the box as the platform does.
func (b *Box) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + b.Ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the box is ready.
func (b *Box) AwaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if b.IsReady() {
			return true
		}
	}
	return false
}

// Signal sends a signal to the process.
func (b *Box) Signal(s syscall.Signal) { _ = b.cmd.Process.Signal(s) }

// HasEnded reports whether the process has ended.
func (b *Box) HasEnded() bool {
	select {
	case <-b.ended:
		return true
	default:
		return false
	}
}

// Ended is closed when the process has ended.
func (b *Box) Ended() <-chan struct{} { return b.ended }

// Kill ends the process and waits for its end.
func (b *Box) Kill() {
	if b.cmd == nil {
		return
	}
	b.Signal(syscall.SIGCONT)
	b.Signal(syscall.SIGKILL)
	<-b.ended
}

// Log returns the lines of the box's log that contain a text.
func (b *Box) Log(text string) []string {
	raw, _ := os.ReadFile(filepath.Join(b.folder, b.Config.Name+".log"))
	var list []string
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, text) {
			list = append(list, strings.TrimSpace(line))
		}
	}
	return list
}
