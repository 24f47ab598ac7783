package settings

// This file defines the settings of a box that relays requests without interpreting
// them. The invariant: settings that LoadRelay or ParseRelay returned are valid.

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/internal/jsonc"
)

// Relay holds the settings of a relaying box.
type Relay struct {
	Box        string            `json:"box"`         // name of this box
	Domain     string            `json:"domain"`      // failure domain of this box
	FirstStart bool              `json:"first_start"` // no box has run before in this deployment
	Regions    map[string]string `json:"regions"`     // region of each failure domain; empty if there are no regions
	Listen     RelayListen       `json:"listen"`
	Platform   string            `json:"platform"`   // IP:port of the store
	Seeds      []string          `json:"seeds"`      // IP:port of the control addresses of some boxes
	PeerPorts  []int             `json:"peer_ports"` // ports between boxes, UDP and TCP; only the first is used
	MemoryMB   int               `json:"memory_mb"`  // memory of the box in megabytes; 0: not specified
	MaxFDs     int               `json:"max_fds"`    // file descriptors of the box; 0: not specified
	CPUShare   float64           `json:"cpu_share"`  // processor share of the box, in cores
	LinkMbps   float64           `json:"link_mbps"`  // bandwidth of the box in megabits per second
	Links      RelayLinks        `json:"links"`
	Bounds     RelayBounds       `json:"bounds"`
	// Off names mechanisms to disable, for measuring the effect of each; normally
	// empty.
	Off []string `json:"off"`
}

// RelayListen holds the listening addresses of the box, each IP:port, and its IP.
type RelayListen struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Control string `json:"control"`
	Metrics string `json:"metrics"`
	IP      string `json:"ip"` // at which other boxes reach this box
}

// RelayLinks holds the costs of sending a kilobyte of a request over a link, each as the number of
// prompt tokens whose prefill costs as much; nil: the default cost.
type RelayLinks struct {
	Domain *float64 `json:"domain_tokens_per_kb"` // to another failure domain
	Region *float64 `json:"region_tokens_per_kb"` // to another region
}

// Tuning returns the default placement parameters with the link costs of the settings.
func (l RelayLinks) Tuning() balance.Tuning {
	t := balance.DefaultTuning
	if l.Domain != nil {
		t.DomainKB = *l.Domain
	}
	if l.Region != nil {
		t.RegionKB = *l.Region
	}
	return t
}

// RelayBounds holds the bounds on the behaviour of all boxes; they are the same on every box.
type RelayBounds struct {
	GraceSeconds       float64 `json:"grace_s"`        // the longest duration of a planned stop
	RetryRatio         float64 `json:"retry_ratio"`    // retries allowed per accepted request
	RetrySlack         float64 `json:"retry_slack"`    // retries allowed in addition, over all boxes
	RetryWindowSeconds float64 `json:"retry_window_s"` // window in which requests and retries are counted
	DocumentMillis     float64 `json:"document_ms"`    // time until a new document is in force
	EvacuateMillis     float64 `json:"evacuate_ms"`    // time until no more requests are sent to an evacuated domain; 0: as DocumentMillis
	ColdOvershoot      float64 `json:"cold_overshoot"` // factor on the requests per second that a cold upstream can take, to bound those sent to it; 0: no bound
	ColdSlack          float64 `json:"cold_slack"`     // requests allowed in addition, over all boxes
	// Bounds for request limits that upstreams announce: the window in which an upstream counts requests, the factor on its
	// limit that bounds the requests sent in a window, and the requests allowed in addition, over all boxes. The defaults
	// are 4 s, 1 and 0.
	LimitSpanSeconds float64 `json:"limit_span_s"`
	LimitOvershoot   float64 `json:"limit_overshoot"`
	LimitSlack       float64 `json:"limit_slack"`
}

// defaultLimitSpan is the window used if the settings have none.
const defaultLimitSpan = 4 * time.Second

// Limits returns the bounds for request limits that upstreams announce.
func (b RelayBounds) Limits() balance.LimitBounds {
	span := seconds(b.LimitSpanSeconds)
	if span == 0 {
		span = defaultLimitSpan
	}
	return balance.LimitBounds{Span: span, Overshoot: b.LimitOvershoot, Slack: b.LimitSlack}
}

// Strength returns a measure of the box's capacity, by which boxes are ordered when they do
// work for others. It is the lesser of the processor's and the link's, where 0.1 of a core
// counts as much as 10 Mbit/s. The values only need to order boxes by capacity.
func (s *Relay) Strength() uint32 {
	return uint32(min(s.CPUShare*strengthPerCore, s.LinkMbps*strengthPerMegabit))
}

// Strength of one core, and of one megabit per second.
const (
	strengthPerCore    = 1000
	strengthPerMegabit = 10
)

const (
	// reservedFDs is how many descriptors are left for other uses than sockets.
	reservedFDs = 200
	// fdsPerTunnel is how many of the remaining descriptors there are for each connection that
	// other boxes may have through this one, which takes two: callers come first.
	fdsPerTunnel = 8
	// defaultTunnels is the limit if the settings state no number of descriptors.
	defaultTunnels = 256
)

// Tunnels returns how many connections of other boxes to upstreams may lead through this box.
func (s *Relay) Tunnels() int {
	if s.MaxFDs == 0 {
		return defaultTunnels
	}
	return max(0, s.MaxFDs-reservedFDs) / fdsPerTunnel
}

// PeerAddress returns the address at which the box with the given IP receives datagrams and
// connections to upstreams of other boxes, as IP:port.
func (s *Relay) PeerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PeerPorts[0]))
}

// SeedAddresses returns the addresses for datagrams to the seeds, each IP:port. Seeds without a
// valid port are omitted.
func (s *Relay) SeedAddresses() []string {
	var list []string
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			list = append(list, s.PeerAddress(host))
		}
	}
	return list
}

// Grace returns the longest duration of a planned stop.
func (b RelayBounds) Grace() time.Duration { return seconds(b.GraceSeconds) }

// PublishDeadline returns the time within which any published change must be in force: a new document
// or the evacuation of a failure domain.
func (b RelayBounds) PublishDeadline() time.Duration {
	ms := b.DocumentMillis
	if b.EvacuateMillis > 0 {
		ms = min(ms, b.EvacuateMillis)
	}
	return seconds(ms / 1000)
}

// RetryWindow returns the window in which requests and retries are counted.
func (b RelayBounds) RetryWindow() time.Duration { return seconds(b.RetryWindowSeconds) }

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// LoadRelay reads and validates a settings file. The error is a jsonc.Problems if the
// settings are invalid, or else says why the file cannot be read.
func LoadRelay(file string) (*Relay, error) {
	s := new(Relay)
	if err := jsonc.LoadChecked(file, s, s.check); err != nil {
		return nil, err
	}
	return s, nil
}

// ParseRelay parses and validates settings; file is the name used in errors.
func ParseRelay(file string, source []byte) (*Relay, error) {
	s := new(Relay)
	if err := jsonc.ParseChecked(file, source, s, s.check); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Relay) check(c *jsonc.Checker) {
	want := c.Want
	address := func(field, value string) {
		_, err := netip.ParseAddrPort(value)
		want(err == nil, field, value, "want IP:port")
	}
	want(s.Box != "", "box", `""`, "want a name")
	want(s.Domain != "", "domain", `""`, "want a failure domain")
	address("listen.callers", s.Listen.Callers)
	address("listen.ready", s.Listen.Ready)
	address("listen.metrics", s.Listen.Metrics)
	address("platform", s.Platform)
	want(len(s.PeerPorts) > 0, "peer_ports", "[]", "want at least one port")
	address("listen.control", s.Listen.Control)
	for i, name := range s.Off {
		_, err := balance.ParseOff([]string{name})
		want(err == nil, fmt.Sprintf("off[%d]", i), strconv.Quote(name), "want one of "+strings.Join(balance.MechanismNames(), ", "))
	}
	want(s.Links.Domain == nil || *s.Links.Domain >= 0, "links.domain_tokens_per_kb", "", "want 0 or more")
	want(s.Links.Region == nil || *s.Links.Region >= 0, "links.region_tokens_per_kb", "", "want 0 or more")
	want(s.MaxFDs >= 0, "max_fds", strconv.Itoa(s.MaxFDs), "want 0 or more")
	want(s.Bounds.GraceSeconds > 0, "bounds.grace_s", "", "want a number above 0")
	want(s.Bounds.DocumentMillis > 0, "bounds.document_ms", "", "want a number above 0")
	want(s.Bounds.EvacuateMillis >= 0, "bounds.evacuate_ms", "", "want 0 or more")
	want(s.Bounds.ColdOvershoot >= 0, "bounds.cold_overshoot", "", "want 0 or more")
	want(s.Bounds.ColdSlack >= 0, "bounds.cold_slack", "", "want 0 or more")
	want(s.Bounds.LimitSpanSeconds >= 0, "bounds.limit_span_s", "", "want 0 or more")
	want(s.Bounds.LimitOvershoot >= 0, "bounds.limit_overshoot", "", "want 0 or more")
	want(s.Bounds.LimitSlack >= 0, "bounds.limit_slack", "", "want 0 or more")
	want(s.Bounds.RetryWindowSeconds > 0, "bounds.retry_window_s", "", "want a number above 0")
	want(s.Bounds.RetryRatio >= 0, "bounds.retry_ratio", "", "want 0 or more")
	want(s.Bounds.RetrySlack >= 0, "bounds.retry_slack", "", "want 0 or more")
}
