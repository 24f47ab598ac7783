// Package settings reads and validates the settings of a daemon, which are JSON with
// comments. All settings are validated before the daemon starts any service.
package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/doormast/doormast/internal/jsonc"
)

// Settings holds the settings of a daemon. They are the only source of its own addresses
// and failure domain.
type Settings struct {
	Box      string `json:"box"`
	Domain   string `json:"domain"`
	Listen   Listen `json:"listen"`
	Platform string `json:"platform"` // IP:port
	PeerKey  string `json:"peer_key"` // secret shared by the boxes, 16 characters or more
	OpsKey   string `json:"ops_key"`  // secret of the operators' calls, 16 characters or more
	Peers    []Peer `json:"peers"`    // boxes known before the platform responds
	Limits   Limits `json:"limits"`
	Log      Log    `json:"log"`
	Stop     Stop   `json:"stop"`
	Timeline int    `json:"timeline"` // capacity of the timeline, in events
}

// Listen holds the listening addresses of the daemon, each IP:port.
type Listen struct {
	Callers string `json:"callers"`
	Control string `json:"control"` // UDP
	Ops     string `json:"ops"`
}

// Peer is another box; the addresses are IP:port.
type Peer struct {
	Box     string `json:"box"`
	Domain  string `json:"domain"`
	Control string `json:"control"`
	Ops     string `json:"ops"`
}

// Limits bounds the resources that callers may use.
type Limits struct {
	Body        int            `json:"body"`    // bytes
	Headers     int            `json:"headers"` // bytes
	Connections int            `json:"connections"`
	InProgress  int            `json:"in_progress"` // requests
	Buffer      int            `json:"buffer"`      // events buffered for a slow caller
	ReadWait    jsonc.Duration `json:"read_wait"`
	WriteWait   jsonc.Duration `json:"write_wait"`
	Silence     jsonc.Duration `json:"silence"` // the longest time without data from an upstream before its run fails
}

// Log holds the settings of the log.
type Log struct {
	Level  string `json:"level"`  // debug, info, warn or error
	Format string `json:"format"` // text or json
}

// Stop holds the timing of a planned stop.
type Stop struct {
	Notice   jsonc.Duration `json:"notice"`   // from failing the health check to closing the listeners
	Deadline jsonc.Duration `json:"deadline"` // from the start of the stop until remaining requests are aborted
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Limits: Limits{
			Body:        1 << 20,
			Headers:     8 << 10,
			Connections: 20000,
			InProgress:  10000,
			Buffer:      32,
			ReadWait:    jsonc.Duration(30 * time.Second),
			WriteWait:   jsonc.Duration(30 * time.Second),
			Silence:     jsonc.Duration(time.Minute),
		},
		Log:      Log{Level: "info", Format: "text"},
		Stop:     Stop{Notice: jsonc.Duration(2 * time.Second), Deadline: jsonc.Duration(15 * time.Minute)},
		Timeline: 20000,
	}
}

// Load reads and validates a settings file. The error is a jsonc.Problems if the settings are
// invalid, or else says why the file cannot be read.
func Load(file string) (*Settings, error) {
	s := Defaults()
	if err := jsonc.LoadChecked(file, &s, s.check); err != nil {
		return nil, err
	}
	return &s, nil
}

// Parse parses and validates settings; file is the name used in errors.
func Parse(file string, source []byte) (*Settings, error) {
	s := Defaults()
	if err := jsonc.ParseChecked(file, source, &s, s.check); err != nil {
		return nil, err
	}
	return &s, nil
}

// minSecretLength is the least length of a secret, in bytes.
const minSecretLength = 16

func (s *Settings) check(c *jsonc.Checker) {
	want := c.Want
	address := func(field, value string) {
		_, err := netip.ParseAddrPort(value)
		want(err == nil, field, fmt.Sprintf("%q", value), "want IP:port")
	}
	secret := func(field, value string) {
		// The error gives the length only, since errors are logged and secrets must not be.
		want(len(value) >= minSecretLength, field, fmt.Sprintf("%d characters", len(value)), "want 16 characters or more")
	}
	want(s.Box != "", "box", `""`, "want a name")
	want(s.Domain != "", "domain", `""`, "want a failure domain")
	address("listen.callers", s.Listen.Callers)
	address("listen.control", s.Listen.Control)
	address("listen.ops", s.Listen.Ops)
	address("platform", s.Platform)
	secret("peer_key", s.PeerKey)
	secret("ops_key", s.OpsKey)
	for i, p := range s.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		want(p.Box != "" && p.Box != s.Box, field+".box", fmt.Sprintf("%q", p.Box), "want the name of another box")
		want(p.Domain != "", field+".domain", `""`, "want a failure domain")
		address(field+".control", p.Control)
		address(field+".ops", p.Ops)
	}
	l := s.Limits
	between := func(field string, value, least, most int) {
		want(value >= least && value <= most, field, value, fmt.Sprintf("want %d to %d", least, most))
	}
	between("limits.body", l.Body, 1<<10, 64<<20)
	between("limits.headers", l.Headers, 1<<10, 1<<20)
	between("limits.connections", l.Connections, 1, 1<<20)
	between("limits.in_progress", l.InProgress, 1, 1<<20)
	between("limits.buffer", l.Buffer, 1, 1<<12)
	between("timeline", s.Timeline, 100, 10<<20)
	want(l.ReadWait > 0, "limits.read_wait", l.ReadWait.Std(), "want a duration above 0")
	want(l.WriteWait > 0, "limits.write_wait", l.WriteWait.Std(), "want a duration above 0")
	want(l.Silence > 0, "limits.silence", l.Silence.Std(), "want a duration above 0")
	want(s.Stop.Deadline > 0, "stop.deadline", s.Stop.Deadline.Std(), "want a duration above 0")
	want(s.Stop.Notice >= 0, "stop.notice", s.Stop.Notice.Std(), "want 0 or more")
	want(oneOf(s.Log.Level, "debug", "info", "warn", "error"), "log.level", s.Log.Level, "want debug, info, warn or error")
	want(oneOf(s.Log.Format, "text", "json"), "log.format", s.Log.Format, "want text or json")
}

func oneOf(s string, allowed ...string) bool {
	for _, a := range allowed {
		if s == a {
			return true
		}
	}
	return false
}
