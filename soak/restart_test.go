package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/platform"
)

// brokenStream is a stream of which its caller has some events.
type brokenStream struct {
	outgoing
	events []streamedEvent
}

// leavingCaller sends requests of a caller that leaves when it has an event.
type leavingCaller struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (c leavingCaller) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.RoundTripper.RoundTrip(r)
	if err == nil {
		resp.Body = &leftBody{ReadCloser: resp.Body}
	}
	return resp, err
}

// leftBody is the body of a response up to its first event.
type leftBody struct {
	io.ReadCloser
	read bytes.Buffer
}

var errLeft = errors.New("the caller has left")

// Read implements io.Reader.
func (b *leftBody) Read(p []byte) (int, error) {
	if bytes.Contains(b.read.Bytes(), []byte("\n\n")) {
		return 0, errLeft
	}
	n, err := b.ReadCloser.Read(p)
	b.read.Write(p[:n])
	return n, err
}

// beginStreams sends requests for streams to boxes, whose callers leave after some events, until some have begun.
func (w *harness) beginStreams(boxes []*box, name string, count int) []brokenStream {
	client := &http.Client{Transport: leavingCaller{&http.Transport{DisableKeepAlives: true}}}
	var mu sync.Mutex
	var list []brokenStream
	var callers sync.WaitGroup
	for n := range 2 * count {
		callers.Go(func() {
			id := fmt.Sprint(name, n)
			o := outgoing{id: id, path: resumablePath + id, body: "body of " + id}
			ctx, cancel := newCallerContext()
			defer cancel()
			got := w.sendWithin(ctx, client, boxes[n%len(boxes)], o)
			if len(got.events) == 0 || got.events[len(got.events)-1].number == eventsPerStream {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			list = append(list, brokenStream{o, got.events})
		})
	}
	callers.Wait()
	return list
}

// takeUpAt takes a stream up at a box.
func (w *harness) takeUpAt(b *box, s brokenStream, names bool) received {
	ctx, cancel := newCallerContext()
	defer cancel()
	o := outgoing{id: s.id + "-up", path: s.path, body: s.body, resumes: s.id, after: s.events[len(s.events)-1].number, isUnnamed: !names}
	return w.sendWithin(ctx, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, b, o)
}

// checkStreams fails the test if a stream holds events of two versions, or any check of the run failed.
func (w *harness) checkStreams(t *testing.T) {
	t.Helper()
	w.streams.mu.Lock()
	for first, versions := range w.streams.versions {
		if len(versions) > 1 {
			t.Errorf("stream %s holds events of %v", first, versions)
		}
	}
	w.streams.mu.Unlock()
	if v := w.report().Violations; len(v) > 0 {
		t.Errorf("violations: %v", v)
	}
}

// startHarness starts boxes and upstreams; net is the third octet of their addresses.
func startHarness(t *testing.T, daemon string, net, upstreams int) *harness {
	is := is.New(t)
	cfg := Config{Daemon: daemon, Dir: t.TempDir(), Seed: uint64(net), Boxes: 3, Upstreams: upstreams, Net: net}
	guard, err := reserveAddresses(cfg)
	is.NoErr(err)
	w := newHarness(cfg)
	t.Cleanup(func() {
		w.close()
		_ = guard.Close()
	})
	is.NoErr(w.start())
	is.NoErr(w.awaitReady(context.Background()))
	return w
}

// killAll kills all boxes at once, takes the upstreams of a software version away, and starts the boxes again.
func (w *harness) killAll(is *is.I, leaving string) {
	var ended sync.WaitGroup
	for _, b := range w.boxes {
		ended.Go(b.kill)
	}
	ended.Wait()
	for _, u := range w.upstreams {
		if u.software == leaving {
			u.stopped.Store(true)
			w.store.Put(platform.DeletedItem(u.id))
		}
	}
	for _, b := range w.boxes {
		is.NoErr(b.restart())
	}
	is.NoErr(w.awaitReady(context.Background()))
}

// All boxes were killed at once while two software versions served, or as one left: streams that their
// callers then took up were joined from both.
func TestStreamsAreJoinedAfterAllBoxesAreKilled(t *testing.T) {
	daemon := buildDaemon(t)
	for i, leaving := range []string{"", softwareVersions[0], softwareVersions[1]} {
		t.Run(fmt.Sprintf("leaving %q", leaving), func(t *testing.T) {
			is := is.New(t)
			w := startHarness(t, daemon, 100+i, 4)
			streams := w.beginStreams(w.boxes, "r", 60)
			is.True(len(streams) > 20)
			w.killAll(is, leaving)
			for _, s := range streams {
				w.takeUpAt(w.boxes[rand.IntN(len(w.boxes))], s, true)
			}
			w.checkStreams(t)
		})
	}
}
