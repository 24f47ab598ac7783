package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/wire"
)

func TestStatusShowsUpstreamsWithStateAndLane(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(showStates(&out, []*wire.StateResponse{{Box: "b1", Domain: "d", Lead: "b1", Upstreams: []*wire.UpstreamRow{
		{Id: "u1", Service: "s", Tight: true, Open: 3},
		{Id: "u2", Service: "s", Leaving: true},
		{Id: "u3", Service: "s", Out: true, Unread: 640},
	}}}))
	lines := make(map[string]string)
	for _, l := range strings.Split(out.String(), "\n") {
		if name, rest, ok := strings.Cut(l, " "); ok {
			lines[name] = rest
		}
	}
	for name, want := range map[string][]string{
		"u1": {"ready", "tight streams", "3"},
		"u2": {"leaving", "others"},
		"u3": {"out of reach", "others", "640"},
	} {
		for _, text := range want {
			is.True(strings.Contains(lines[name], text))
		}
	}
}

func TestStatusShowsTheLifeOfEachUpstream(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(showStates(&out, []*wire.StateResponse{{Box: "b1", Upstreams: []*wire.UpstreamRow{{Id: "u1", Born: 1790000000123}, {Id: "u2"}}}}))
	is.True(strings.Contains(out.String(), "BORN"))
	is.True(strings.Contains(out.String(), "2026-09-21T14:13:20.123Z"))
	is.True(strings.Contains(out.String(), "not known"))
}
