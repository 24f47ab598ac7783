package main

import (
	"bytes"
	"slices"
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

func TestStatusShowsUpstreamStartTime(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(showStates(&out, []*wire.StateResponse{{Box: "b1", Upstreams: []*wire.UpstreamRow{{Id: "u1", Born: 1790000000123}, {Id: "u2"}}}}))
	is.True(strings.Contains(out.String(), "BORN"))
	is.True(strings.Contains(out.String(), "2026-09-21T14:13:20.123Z"))
	is.True(strings.Contains(out.String(), "not known"))
}

func TestStatusShowsWithheldContents(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(showStates(&out, []*wire.StateResponse{{Box: "b1"}, {Box: "b2", Withheld: []*wire.WithheldRow{{Content: "78a6f68a54cd7cce", Ended: 2, Left: 299999000}}}}))
	is.True(strings.Contains(strings.Join(strings.Fields(out.String()), " "), "b2 78a6f68a54cd7cce 2 5m0s"))
}

func TestStatusShowsWithheldParts(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(showStates(&out, []*wire.StateResponse{{Box: "b1", Withheld: []*wire.WithheldRow{{Parts: []string{"42", "2"}, Service: "s", Ended: 3, Left: 60000000}}}}))
	is.True(strings.Contains(strings.Join(strings.Fields(out.String()), " "), "b1 parts 42+2 of s 3 1m0s"))
}

func TestStatusShowsRetryBudgets(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(showStates(&out, []*wire.StateResponse{{Box: "b1"}, {Box: "b2", BudgetLeft: 3, Retries: []*wire.RetryRow{{Service: "s", Taken: 40, Spent: 5, Left: 3}}}}))
	text := strings.Join(strings.Fields(out.String()), " ")
	is.True(strings.Contains(text, "no requests yet"))
	is.True(strings.Contains(text, "b2 s 40 5 3"))
}

func TestStatusShowsTraffic(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(showStates(&out, []*wire.StateResponse{
		{Box: "b1", Traffic: []*wire.TrafficRow{{Kind: "beat", Reach: "other region", Messages: 3, Bytes: 412}}},
		{Box: "b2", Traffic: []*wire.TrafficRow{{Kind: "changed loads", Reach: "domain", Messages: 70, Bytes: 9000}}},
	}))
	var rows []string
	for _, l := range strings.Split(out.String(), "\n") {
		rows = append(rows, strings.Join(strings.Fields(l), " "))
	}
	is.True(slices.Contains(rows, "b1 beat other region 3 412"))
	is.True(slices.Contains(rows, "b2 changed loads domain 70 9000"))
}
