// Command 5 shows case 5 of the second review: a runner that has left is used on for seconds, by
// boxes that no disruption touches, when the box that reads the store loses it some time after an
// outage of the store.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/doormast/doormast/review/rig"
)

// Bounds of the users' sheet (Zlatna Esen).
const (
	drain = 2000 * time.Millisecond
)

const (
	rounds       = 9
	outageFor    = 2000 * time.Millisecond // platform_down: 4.5 s at the most on the sheet's site
	longer       = 2500 * time.Millisecond // core_cut of two machines, from the outage on: 5.5 s at the most
	calm         = 3200 * time.Millisecond // after all of this: more than contactMs
	cutFor       = 3 * time.Second         // core_cut of one machine: 5.5 s at the most
	leaveAfter   = 300 * time.Millisecond
	linger       = time.Second // how much longer than drainMs the runner that left serves
	clientsEach  = 3           // clients of a box
	interval     = 20 * time.Millisecond
	work         = 20 * time.Millisecond
	spareRunners = 3
)

const (
	service  = "ledger"
	host     = "bank.example"
	pathPay  = "/pay/"
	deadline = 1000 // ms
)

func main() { os.Exit(run()) }

func run() int {
	record, err := rig.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return rig.ExitNotRun
	}
	defer record.Close()
	folder, err := os.MkdirTemp("", "case5")
	if err != nil {
		return rig.ExitNotRun
	}
	defer func() { _ = os.RemoveAll(folder) }()
	c := &deployment{record: record, folder: folder, hasOutage: hasTrouble("outage"), hasCut: hasTrouble("cut")}
	defer c.close()
	if err := c.start(); err != nil {
		record.Printf("the case could not run: %v", err)
		return rig.ExitNotRun
	}
	return c.play()
}

// hasTrouble reports whether a disruption is part of the play: TROUBLE may name the only one, or be 0 for none.
func hasTrouble(name string) bool {
	only := os.Getenv("TROUBLE")
	return only == "" || only == "1" || only == name
}

// arrival is a request that has reached a runner.
type arrival struct {
	runner, id, box string
	at              time.Time
}

// zones are the zones of the sheet.
var zones = []string{"hall-one", "hall-three", "hall-two"}

// places are the boxes. The first one reads the store for all.
var places = []struct{ box, zone, ip string }{
	{"front-hall-one-1", "hall-one", "127.0.1.1"},
	{"front-hall-three-1", "hall-three", "127.0.3.1"},
	{"front-hall-two-1", "hall-two", "127.0.2.1"},
}

// deployment is three boxes in three zones, before one store and some runners.
type deployment struct {
	record            *rig.Record
	folder            string
	hasOutage, hasCut bool
	store             *rig.Store
	proxies           []*rig.Proxy
	boxes             []*rig.Box
	runners           []*rig.Runner

	mu       sync.Mutex
	arrivals []arrival
	replies  map[int]int // by status
	stop     chan struct{}
	clients  sync.WaitGroup
}

func (c *deployment) close() {
	for _, b := range c.boxes {
		b.Kill()
	}
	for _, r := range c.runners {
		r.Close()
	}
}

func (c *deployment) start() error {
	c.replies, c.stop = make(map[int]int), make(chan struct{})
	var err error
	if c.store, err = rig.NewStore("127.0.0.1"); err != nil {
		return err
	}
	for range spareRunners + 1 {
		if err := c.addRunner(); err != nil {
			return err
		}
	}
	c.store.Put("op/config", rig.Config{Version: 7, Limits: rig.DefaultLimits,
		Services: []rig.Service{{Name: service, HealthPath: "/healthz", MaxConns: 100, Protocol: "h1"}},
		Routes: []rig.Route{{Name: "pay", Host: host, PathPrefix: pathPay, Kind: "unsafe", TimeoutMs: deadline, TargetMs: 150,
			Service: service, MaxAttempts: 1}},
		Tenants: []rig.Tenant{{Name: "t", APIKeys: []string{"k"}}}})
	var ips []string
	for _, place := range places {
		ips = append(ips, place.ip)
	}
	port := rig.FreePort(ips...)
	var seeds []string
	for _, place := range places {
		p, err := rig.NewProxy("127.0.0.1", c.store.Address())
		if err != nil {
			return err
		}
		c.proxies = append(c.proxies, p)
		b := rig.NewBox(c.folder, rig.BoxConfig{Name: place.box, Zone: place.zone, IP: place.ip, Zones: zones, Store: p.Address(), PeerPort: port})
		c.boxes = append(c.boxes, b)
		seeds = append(seeds, b.Control)
	}
	for _, b := range c.boxes {
		b.Config.Seeds = seeds
		if err := b.Start(true); err != nil {
			return err
		}
	}
	for _, b := range c.boxes {
		if !b.AwaitReady(10 * time.Second) {
			return fmt.Errorf("%s is not ready", b.Config.Name)
		}
	}
	return nil
}

// serve is a sound runner: it works for a while and answers.
func (c *deployment) serve(r *rig.Run) bool {
	c.mu.Lock()
	c.arrivals = append(c.arrivals, arrival{r.Runner.ID, r.ID, r.Request.Header.Get("X-Box"), time.Now()})
	c.mu.Unlock()
	time.Sleep(work)
	r.Answer(http.StatusOK, "paid "+r.ID)
	return true
}

// client sends requests to a box, one after the other, each on a new connection.
func (c *deployment) client(b *rig.Box, number int) {
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(interval):
		}
		call := rig.Call{Method: http.MethodPost, Host: host, Path: pathPay, ID: fmt.Sprintf("%s.%d.%d", b.Config.Name, number, n), Body: "10",
			DeadlineMs: deadline, Headers: []string{"X-Api-Key: k", "X-Box: " + b.Config.Name}}
		reply := rig.Once(b.Callers, call, 2*time.Second)
		c.mu.Lock()
		c.replies[reply.Status]++
		c.mu.Unlock()
		if reply.Status != http.StatusOK {
			c.record.Printf("request %s at %s: %s", call.ID, b.Config.Name, reply)
		}
	}
}

// addRunner starts a runner and lists it.
func (c *deployment) addRunner() error {
	r, err := rig.NewRunner("127.0.0.1", fmt.Sprintf("i-%02d", len(c.runners)), service, "hall-two", c.serve)
	if err != nil {
		return err
	}
	c.runners = append(c.runners, r)
	c.store.Put("servers/"+r.ID, r.Entry("ready"))
	return nil
}

// departure is a runner that has left.
type departure struct {
	runner string
	acked  time.Time
}

func (c *deployment) play() int {
	for _, b := range c.boxes[1:] {
		for i := range clientsEach {
			c.clients.Go(func() { c.client(b, i) })
		}
	}
	var left []departure
	for n := range rounds {
		c.record.Printf("round %d", n+1)
		time.Sleep(500 * time.Millisecond)
		if c.hasOutage {
			c.outage()
		}
		time.Sleep(calm)
		d, err := c.departure(n)
		if err != nil {
			c.record.Printf("the case could not run: %v", err)
			return rig.ExitNotRun
		}
		left = append(left, d)
	}
	close(c.stop)
	c.clients.Wait()
	return c.judge(left)
}

// outage takes the store away from all boxes; two of them are partitioned from it for a while longer.
func (c *deployment) outage() {
	c.record.Printf("the store is silent for all boxes, for %v", outageFor)
	for _, p := range c.proxies {
		p.SetSilent(true)
	}
	time.Sleep(outageFor)
	c.proxies[0].SetSilent(false)
	c.record.Printf("the store is back; %s and %s are partitioned from it for %v more", c.boxes[1].Config.Name, c.boxes[2].Config.Name, longer)
	time.Sleep(longer)
	for _, p := range c.proxies {
		p.SetSilent(false)
	}
	c.record.Printf("all boxes reach the store")
}

// departure cuts the first box off from the store, and removes the entry of a runner, which serves on.
func (c *deployment) departure(n int) (departure, error) {
	if c.hasCut {
		c.record.Printf("%s alone is partitioned from the store, for %v", c.boxes[0].Config.Name, cutFor)
		c.proxies[0].SetSilent(true)
		time.AfterFunc(cutFor, func() { c.proxies[0].SetSilent(false) })
	}
	time.Sleep(leaveAfter)
	r := c.runners[n] // the one that has been listed the longest
	c.store.Delete("servers/" + r.ID)
	d := departure{r.ID, time.Now()}
	c.record.Printf("the store has acknowledged that runner %s is gone; it serves on for drainMs and %v more", r.ID, linger)
	time.Sleep(drain + linger)
	r.Close()
	c.record.Printf("runner %s has ended", r.ID)
	return d, c.addRunner()
}

// judge counts the requests that reached a runner later than drainMs after the acknowledgement.
func (c *deployment) judge(left []departure) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	for _, d := range left {
		within, after := 0, 0
		for _, a := range c.arrivals {
			since := a.at.Sub(d.acked)
			switch {
			case a.runner != d.runner || since < 0:
			case since <= drain:
				within++
			default:
				after++
				c.record.Printf("request %s, sent on by %s, reached runner %s %d ms after it was acknowledged as gone", a.id, a.box, d.runner, since.Milliseconds())
			}
		}
		c.record.Printf("runner %s: %d requests within drainMs (%v) after the acknowledgement, %d later", d.runner, within, drain, after)
		late += after
	}
	for _, b := range c.boxes {
		for _, line := range append(b.Log("gone from the list"), b.Log("publisher: ")...) {
			c.record.Printf("log: %s", line)
		}
	}
	c.record.Printf("%d requests ran in all, answers by status %v; %d requests reached a runner too late", len(c.arrivals), c.replies, late)
	if late > 0 {
		return rig.ExitBroken
	}
	return rig.ExitHeld
}
