package settings

// This file defines the settings of a box that relays opaque requests. The
// invariant: what LoadRelay returns has passed every check.

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

// Relay is what a relaying box is told at its start.
type Relay struct {
	Box        string            `json:"box"`         // its name
	Domain     string            `json:"domain"`      // its failure domain
	FirstStart bool              `json:"first_start"` // no box ran before
	Regions    map[string]string `json:"regions"`     // of each failure domain, where they are divided into such
	Listen     RelayListen       `json:"listen"`
	Platform   string            `json:"platform"`   // IP:port of the store
	Seeds      []string          `json:"seeds"`      // IP:port of some boxes' control addresses
	PeerPorts  []int             `json:"peer_ports"` // for datagrams; the first is used
	MemoryMB   int               `json:"memory_mb"`  // of the box, in megabytes; 0: not said
	CPUShare   float64           `json:"cpu_share"`  // of a core
	LinkMbps   float64           `json:"link_mbps"`  // megabits a second
	Links      RelayLinks        `json:"links"`
	Bounds     RelayBounds       `json:"bounds"`
	// Off names the mechanisms that are switched off, to measure what each is worth;
	// none as a rule.
	Off []string `json:"off"`
}

// RelayListen holds the box's addresses, each IP:port, and its IP.
type RelayListen struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Control string `json:"control"`
	Metrics string `json:"metrics"`
	IP      string `json:"ip"` // at which other boxes reach this one
}

// RelayLinks says what a kilobyte of a request counts for that is sent over a link, in prompt tokens
// that could be read for as much; the defaults hold where nothing is said.
type RelayLinks struct {
	Domain *float64 `json:"domain_tokens_per_kb"` // to another failure domain
	Region *float64 `json:"region_tokens_per_kb"` // to another region
}

// Tuning is the figures of placement with what the settings say of links.
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

// RelayBounds holds the figures that all boxes keep to.
type RelayBounds struct {
	GraceSeconds       float64 `json:"grace_s"`        // of a planned stop
	RetryRatio         float64 `json:"retry_ratio"`    // requests sent again for each one taken
	RetrySlack         float64 `json:"retry_slack"`    // and besides, over all boxes
	RetryWindowSeconds float64 `json:"retry_window_s"` // the span both are counted in
	DocumentMillis     float64 `json:"document_ms"`    // until a document is in force
	EvacuateMillis     float64 `json:"evacuate_ms"`    // until nothing more is sent to a domain that is evacuated; 0: as DocumentMillis
	ColdOvershoot      float64 `json:"cold_overshoot"` // times what a cold upstream bears in a second that it may be sent; 0: no bound
	ColdSlack          float64 `json:"cold_slack"`     // and requests besides, over all boxes
	// Of limits that upstreams name: the span over which they count requests, times the limit that they may be sent in it, and
	// requests besides, over all boxes. Where nothing is said, 4 s, 1 and 0.
	LimitSpanSeconds float64 `json:"limit_span_s"`
	LimitOvershoot   float64 `json:"limit_overshoot"`
	LimitSlack       float64 `json:"limit_slack"`
}

// limitSpanUsual is the span that holds where the settings say nothing.
const limitSpanUsual = 4 * time.Second

// Limits are the bounds of the limits that upstreams name.
func (b RelayBounds) Limits() balance.LimitBounds {
	span := seconds(b.LimitSpanSeconds)
	if span == 0 {
		span = limitSpanUsual
	}
	return balance.LimitBounds{Span: span, Overshoot: b.LimitOvershoot, Slack: b.LimitSlack}
}

// Strength orders boxes by what they can carry for others: the processor first, and
// the link where it is the narrower of the two. 0.1 of a core counts as much as
// 100 Mbit/s; the figures only have to put strong boxes before weak ones.
func (s *Relay) Strength() uint32 {
	return uint32(min(s.CPUShare*strengthOfCore, s.LinkMbps*strengthOfMegabit))
}

// What a core, and a megabit a second, add to a box's strength.
const (
	strengthOfCore    = 1000
	strengthOfMegabit = 10
)

// PeerAddress is where the box's datagrams arrive, and those of any box with that IP.
func (s *Relay) PeerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PeerPorts[0]))
}

// SeedAddresses are where the datagrams of the boxes named as seeds arrive.
func (s *Relay) SeedAddresses() []string {
	var list []string
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			list = append(list, s.PeerAddress(host))
		}
	}
	return list
}

// Grace is how long a planned stop may take.
func (b RelayBounds) Grace() time.Duration { return seconds(b.GraceSeconds) }

// Published is the time within which all that is published has to be in force: a document, or
// that a failure domain is evacuated.
func (b RelayBounds) Published() time.Duration {
	ms := b.DocumentMillis
	if b.EvacuateMillis > 0 {
		ms = min(ms, b.EvacuateMillis)
	}
	return seconds(ms / 1000)
}

// RetryWindow is the span in which requests sent again are counted.
func (b RelayBounds) RetryWindow() time.Duration { return seconds(b.RetryWindowSeconds) }

// seconds makes a duration of a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// LoadRelay reads and checks the file. The error is of type jsonc.Problems, or says
// why the file cannot be read.
func LoadRelay(file string) (*Relay, error) {
	s := new(Relay)
	if err := jsonc.LoadChecked(file, s, s.check); err != nil {
		return nil, err
	}
	return s, nil
}

// ParseRelay reads and checks settings; file is the name that errors give.
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
	want(len(s.PeerPorts) > 0, "peer_ports", "[]", "want a port at least")
	address("listen.control", s.Listen.Control)
	for i, name := range s.Off {
		_, err := balance.ParseOff([]string{name})
		want(err == nil, fmt.Sprintf("off[%d]", i), strconv.Quote(name), "want one of "+strings.Join(balance.MechanismNames(), ", "))
	}
	want(s.Links.Domain == nil || *s.Links.Domain >= 0, "links.domain_tokens_per_kb", "", "want 0 or more")
	want(s.Links.Region == nil || *s.Links.Region >= 0, "links.region_tokens_per_kb", "", "want 0 or more")
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
