package stand

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of a box; each box has a loopback address of its own.
const (
	portCallers = 18080
	portReady   = 18081
	portControl = 18082
	portMetrics = 18083
	portPeers   = 18084
)

// Net is a range of loopback addresses for one run.
type Net struct{ prefix string }

// NewNet draws a range in which the boxes' ports are free.
func NewNet() (Net, error) {
	for range 50 {
		n := Net{fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))}
		l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", n.prefix, 10, portCallers))
		if err == nil {
			return n, l.Close()
		}
	}
	return Net{}, errors.New("no free loopback addresses")
}

// IP returns an address of the range.
func (n Net) IP(host int) string { return fmt.Sprintf("%s%d", n.prefix, host) }

// Box is one box as a process.
type Box struct {
	Name, IP string

	program, settings, log string
	files                  int // limit of descriptors; 0: as inherited
	cmd                    *exec.Cmd
	ended                  chan struct{}
}

// Deployment is what all boxes of a run have in common.
type Deployment struct {
	Program string // path of doormastd
	Dir     string // for settings and logs
	Net     Net
	Store   string   // IP:port
	Zones   []string // of the boxes, in order
	Files   int      // limit of descriptors of a box; 0: as inherited
	Size    Size     // of a box; the zero value is SmallSize
}

// Size is what the settings say of a box's machine and the site's bounds.
type Size struct {
	MemoryMB, LinkMbps, RetrySlack, ConfigMs int
	CPUShare                                 float64
}

// SmallSize is that of the site zlatna-esen, and GrownSize that of most machines of zlatna-esen-now-grown.
var (
	SmallSize = Size{284, 1000, 54, 2000, 0.4}
	GrownSize = Size{184, 10, 214, 3000, 0.192}
)

// Boxes writes the settings of the boxes, as deploy/box.json has them for a small site.
func (d Deployment) Boxes() ([]*Box, error) {
	var list []*Box
	var seeds []string
	size := d.Size
	if size == (Size{}) {
		size = SmallSize
	}
	regions := make(map[string]bool)
	var zones []string
	for i, zone := range d.Zones {
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", d.Net.IP(10+i), portControl)))
		}
		if !regions[zone] {
			regions[zone] = true
			zones = append(zones, fmt.Sprintf("%q: \"region\"", zone))
		}
	}
	for i, zone := range d.Zones {
		b := &Box{Name: fmt.Sprintf("box-%d", i+1), IP: d.Net.IP(10 + i), program: d.Program, files: d.Files}
		b.settings = filepath.Join(d.Dir, b.Name+".json")
		b.log = filepath.Join(d.Dir, b.Name+".log")
		text := fmt.Sprintf(`{
  "box": %q, "domain": %q, "regions": { %s }, "first_start": false,
  "listen": { "callers": "%s:%d", "ready": "%s:%d", "control": "%s:%d", "metrics": "%s:%d", "ip": %q },
  "platform": %q, "seeds": [%s], "peer_ports": [%d, %d],
  "memory_mb": %d, "max_fds": 4100, "cpu_share": %g, "link_mbps": %d,
  "bounds": { "grace_s": 8, "retry_ratio": 0.2, "retry_slack": %d, "retry_window_s": 10,
    "limit_span_s": 4, "limit_overshoot": 1.5, "limit_slack": 5, "document_ms": %d }
}
`, b.Name, zone, strings.Join(zones, ", "), b.IP, portCallers, b.IP, portReady, b.IP, portControl, b.IP, portMetrics, b.IP,
			d.Store, strings.Join(seeds, ", "), portPeers, portPeers+15,
			size.MemoryMB, size.CPUShare, size.LinkMbps, size.RetrySlack, size.ConfigMs)
		if err := os.WriteFile(b.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		list = append(list, b)
	}
	return list, nil
}

// Callers returns the address for clients.
func (b *Box) Callers() string { return fmt.Sprintf("%s:%d", b.IP, portCallers) }

// ReadyURL is where the platform asks whether the box takes clients.
func (b *Box) ReadyURL() string { return fmt.Sprintf("http://%s:%d/readyz", b.IP, portReady) }

// Start starts the process.
func (b *Box) Start() error {
	log, err := os.OpenFile(b.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	b.cmd = exec.Command(b.program, "relay", "--settings", b.settings)
	if b.files > 0 {
		// The platform limits the descriptors of each process; the shell sets that limit and becomes the box.
		b.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec \"$0\" \"$@\"", b.files), b.program, "relay", "--settings", b.settings)
	}
	b.cmd.Stdout, b.cmd.Stderr = log, log
	b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := b.cmd.Start(); err != nil {
		return err
	}
	b.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(b.cmd, b.ended)
	return nil
}

// Signal sends a signal to the process.
func (b *Box) Signal(s syscall.Signal) { _ = b.cmd.Process.Signal(s) }

// Ended reports whether the process has ended.
func (b *Box) Ended() bool {
	select {
	case <-b.ended:
		return true
	default:
		return false
	}
}

// Kill ends the process.
func (b *Box) Kill() {
	if b.cmd == nil || b.cmd.Process == nil {
		return
	}
	b.Signal(syscall.SIGKILL)
	<-b.ended
}

// Ready asks the box whether it takes clients, as the platform's balancer does.
func (b *Box) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(b.ReadyURL())
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all boxes are ready.
func AwaitReady(list []*Box, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, b := range list {
			if b.Ready() {
				ready++
			}
		}
		if ready == len(list) {
			return nil
		}
	}
	return errors.New("the boxes did not become ready")
}
