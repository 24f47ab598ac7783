package group

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

// A load of requests of different contents of which some share the part of their prompts that
// crashes upstreams. Boxes decide by the evidence that all share, as in a relay.

const (
	customerPart = 1 // in all prompts
	firstPart    = 2 // in half of the sound prompts, and in all that are fatal
	rarePart     = 3 // in few sound prompts, and in all that are fatal
	fatalPart    = 66
	otherFatal   = 67
	firstOwnPart = 1000
	slotCount    = 32
)

// partLoad is a load in front of upstreams.
type partLoad struct {
	fatalEvery  time.Duration // between two fatal requests
	soundEvery  time.Duration
	rareEvery   time.Duration // between two sound requests with the rare part; 0: none
	soundLasts  time.Duration // how long a sound run takes
	rareAt      string        // the box that alone gets the sound requests with the rare part in the warm-up; the others get those from rareBreak later on; empty: any
	bySelf      time.Duration // between two crashes of other causes; 0: none
	planned     time.Duration // between two stops of upstreams that are announced; 0: none
	fatalKinds  [][]uint64    // parts of the fatal prompts, in turn
	boxes       int
	upstreams   int
	spreadParts int // parts each of which some sound prompts have besides
}

var defaultPartLoad = partLoad{
	fatalEvery: 100 * time.Millisecond, soundEvery: 5 * time.Millisecond, soundLasts: 300 * time.Millisecond, boxes: 8, upstreams: 14, spreadParts: 40,
	fatalKinds: [][]uint64{{customerPart, firstPart, fatalPart}},
}

// partRun is a run of a request at an upstream.
type partRun struct {
	box       *testBox
	name      string            // of the box
	subjects  []balance.Subject // that its box knows it by
	parts     []uint64
	began     time.Duration
	endsAt    time.Duration
	isFatal   bool
	mayRepeat bool
}

// partUpstream is an upstream that crashes under fatal runs and starts again under another ID.
type partUpstream struct {
	incarnation balance.Incarnation
	startsAt    time.Duration
	runs        []*partRun
}

// partReplay replays a partLoad.
type partReplay struct {
	*suspectTables
	load      partLoad
	upstreams []*partUpstream
	next      map[string]time.Duration // next arrival of each kind
	sent      int
	crashes   map[uint64][]time.Duration // by fatal part
	fatalSent map[uint64][]time.Duration
	first     map[string][2][]time.Duration // arrivals of sound requests by kind, and those that began at the first attempt
	mayDecide func(x *partReplay, name string, subjects []balance.Subject) bool
	knownBy   func(subjects []balance.Subject) []balance.Subject // selects what boxes know of a request; nil: all
}

const (
	kindSound  = "sound"
	kindFirst  = "sound with the first part"
	kindRare   = "sound with the rare part"
	kindFatal  = "fatal"
	kindBySelf = "crash of another cause"
	kindStop   = "announced stop"
)

func newPartReplay(t *testing.T, seed uint64, load partLoad) *partReplay {
	w := newSimulation(t, seed)
	w.seeds = []string{"b00", "b10", "b20"}
	d := &partReplay{suspectTables: newSuspectTables(w), load: load, next: make(map[string]time.Duration), crashes: make(map[uint64][]time.Duration),
		fatalSent: make(map[uint64][]time.Duration), first: make(map[string][2][]time.Duration), mayDecide: (*partReplay).mayRun}
	for i := range load.boxes {
		w.start(fmt.Sprintf("b%d%d", i%4, i/4), fmt.Sprint("d", i%4), uint32(1000-i), true)
	}
	for range load.upstreams {
		d.upstreams = append(d.upstreams, d.newUpstream(0))
	}
	d.next[kindFatal], d.next[kindBySelf], d.next[kindStop] = partWarmUp, partWarmUp, partWarmUp
	return d
}

// survivalTime is after how long boxes note that a run goes on.
const survivalTime = 2 * time.Second

// partWarmUp is how long only sound requests come.
const partWarmUp = 10 * time.Second

func (d *partReplay) newUpstream(startsAt time.Duration) *partUpstream {
	d.sent++
	return &partUpstream{incarnation: balance.Incarnation{ID: fmt.Sprint("u", d.sent)}, startsAt: startsAt}
}

// advance runs the replay for a while.
func (d *partReplay) advance(span time.Duration) {
	for end := d.sim.now + span; d.sim.now < end; {
		d.runTables(step)
		d.arrive(kindFatal, d.load.fatalEvery, func() { d.sendFatal() })
		d.arrive(kindSound, d.load.soundEvery, func() { d.sendSound() })
		d.arrive(kindRare, d.load.rareEvery, func() { d.sendRare() })
		d.arrive(kindBySelf, d.load.bySelf, func() { d.crashUpstream(d.anyUpstream()) })
		d.arrive(kindStop, d.load.planned, func() { d.stopUpstream(d.anyUpstream()) })
		for _, u := range slices.Clone(d.upstreams) {
			d.stepUpstream(u)
		}
	}
}

// arrive lets requests of a kind arrive that are due.
func (d *partReplay) arrive(kind string, every time.Duration, send func()) {
	for every > 0 && d.sim.now >= d.next[kind] {
		d.next[kind] = max(d.next[kind], d.sim.now-every) + every
		send()
	}
}

func (d *partReplay) sendFatal() {
	kinds := d.load.fatalKinds
	d.sent++
	d.send(d.anyBox(), append(slices.Clone(kinds[d.sent%len(kinds)]), uint64(firstOwnPart+d.sent)), true)
}

func (d *partReplay) sendSound() {
	parts := []uint64{customerPart}
	kind := kindSound
	if d.sim.random.IntN(2) == 0 {
		kind = kindFirst
		parts = append(parts, firstPart)
	}
	if n := d.load.spreadParts; n > 0 {
		parts = append(parts, uint64(100+d.sim.random.IntN(n)))
	}
	d.sendFirst(d.anyBox(), kind, parts)
}

// sendFirst sends a sound request to a box and records whether its first attempt begins.
func (d *partReplay) sendFirst(box, kind string, parts []uint64) {
	d.sent++
	got := d.first[kind]
	got[0] = append(got[0], d.sim.now)
	if d.send(box, append(slices.Clone(parts), uint64(firstOwnPart+d.sent)), false) {
		got[1] = append(got[1], d.sim.now)
	}
	d.first[kind] = got
}

// rareBreak is how long after the warm-up no sound requests with the rare part come where one box got
// them before: the other boxes decide without answers of their own.
const rareBreak = 4 * time.Second

func (d *partReplay) sendRare() {
	isWarmUp := d.sim.now < partWarmUp
	if d.load.rareAt != "" && !isWarmUp && d.sim.now < partWarmUp+rareBreak {
		return
	}
	name := d.anyBox()
	for d.load.rareAt != "" && (name == d.load.rareAt) != isWarmUp {
		name = d.anyBox()
	}
	d.sendFirst(name, kindRare, []uint64{customerPart, rarePart})
}

func (d *partReplay) anyUpstream() *partUpstream {
	return d.upstreams[d.sim.random.IntN(len(d.upstreams))]
}

func (d *partReplay) anyBox() string { return d.sim.names[d.sim.random.IntN(len(d.sim.names))] }

// send sends a request with the given parts to an upstream; false: it is refused.
func (d *partReplay) send(name string, parts []uint64, isFatal bool) bool {
	var prompt []balance.Part
	for _, id := range parts {
		prompt = append(prompt, balance.Part{ID: id})
	}
	subjects := append(balance.PartSubjects("s", prompt), balance.ContentSubject(parts[len(parts)-1]))
	if d.knownBy != nil {
		subjects = d.knownBy(subjects)
	}
	b := d.sim.boxes[name]
	if b.dead || d.tables[name] == nil || !d.mayDecide(d, name, subjects) {
		return false
	}
	return d.run(&partRun{box: b, name: name, subjects: subjects, parts: parts, isFatal: isFatal, mayRepeat: true})
}

func (d *partReplay) mayRun(name string, subjects []balance.Subject) bool {
	return d.tables[name].Admit(d.sim.now, subjects...) == 0
}

// run starts a run at any upstream with a free slot; false: there is none.
func (d *partReplay) run(r *partRun) bool {
	free := slices.DeleteFunc(slices.Clone(d.upstreams), func(u *partUpstream) bool { return u.startsAt > d.sim.now || len(u.runs) >= slotCount })
	if len(free) == 0 {
		return false
	}
	u := free[d.sim.random.IntN(len(free))]
	r.began, r.endsAt = d.sim.now, d.sim.now+d.load.soundLasts
	if r.isFatal {
		r.endsAt = d.sim.now + time.Duration(60+d.sim.random.IntN(200))*time.Millisecond
		for _, part := range r.fatalParts() {
			d.fatalSent[part] = append(d.fatalSent[part], d.sim.now)
		}
	}
	u.runs = append(u.runs, r)
	return true
}

// fatalParts returns the parts of a run that crash upstreams.
func (r *partRun) fatalParts() []uint64 {
	return slices.DeleteFunc(slices.Clone(r.parts), func(part uint64) bool { return part != fatalPart && part != otherFatal })
}

// stepUpstream ends the runs that are due.
func (d *partReplay) stepUpstream(u *partUpstream) {
	var left []*partRun
	for _, r := range u.runs {
		switch alive := !r.box.dead && d.sim.boxes[r.name] == r.box; {
		case r.isFatal && d.sim.now >= r.endsAt:
			for _, part := range r.fatalParts() {
				d.crashes[part] = append(d.crashes[part], d.sim.now)
			}
			d.crashUpstream(u)
			return
		case !alive, r.isFatal && d.tables[r.name].Left(d.sim.now, r.subjects...) > 0: // its connection is closed
		case d.sim.now >= r.endsAt:
			d.tables[r.name].Answered(d.sim.now, r.subjects...)
		default:
			if age := d.sim.now - r.began; age >= survivalTime && age < survivalTime+step {
				d.tables[r.name].Survived(d.sim.now, r.subjects...)
			}
			left = append(left, r)
		}
	}
	u.runs = left
}

// crashUpstream crashes an upstream, and lets the boxes repeat the runs that were cut off.
func (d *partReplay) crashUpstream(u *partUpstream) { d.endUpstream(u, false) }

// stopUpstream ends an upstream that has announced it, with the runs that it has.
func (d *partReplay) stopUpstream(u *partUpstream) { d.endUpstream(u, true) }

func (d *partReplay) endUpstream(u *partUpstream, isPlanned bool) {
	i := slices.Index(d.upstreams, u)
	if u.startsAt > d.sim.now || i < 0 {
		return
	}
	d.upstreams[i] = d.newUpstream(d.sim.now + 2500*time.Millisecond)
	told := make(map[string]bool)
	for _, r := range u.runs {
		if !r.box.dead && d.sim.boxes[r.name] == r.box {
			d.tables[r.name].NoteConnectionLost(d.sim.now, balance.LostRun{Subjects: r.subjects, Incarnation: u.incarnation, Began: r.began})
			told[r.name] = true
		}
	}
	for name := range told {
		if !isPlanned {
			d.tables[name].Ended(d.sim.now, u.incarnation)
		}
	}
	for _, r := range u.runs {
		s := d.tables[r.name]
		if told[r.name] && r.mayRepeat && s.MayRepeat(d.sim.now, r.subjects...) && s.Left(d.sim.now, r.subjects...) == 0 {
			d.run(&partRun{box: r.box, name: r.name, subjects: r.subjects, parts: r.parts, isFatal: r.isFatal})
		}
	}
}

// The bounds of the users' rules: of the requests with a part under which five upstreams have
// crashed, three may be sent later than partContact after the fifth crash, and from twice that on
// half as many of the sound ones begin at the first attempt as before.
const (
	partContact    = 3 * time.Second
	allowedCrashes = 5
	lateSends      = 3
	minBeganShare  = 0.5
)

// lateFatalSends counts the requests with a part that were sent later than partContact after the
// fifth crash under it.
func (d *partReplay) lateFatalSends(part uint64) int {
	crashes := d.crashes[part]
	if len(crashes) < allowedCrashes {
		return 0
	}
	from := crashes[allowedCrashes-1] + partContact
	return len(slices.DeleteFunc(slices.Clone(d.fatalSent[part]), func(at time.Duration) bool { return at < from }))
}

// beganShare is the share of the sound requests of a kind that began at the first attempt within a
// span.
func (d *partReplay) beganShare(kind string, from, to time.Duration) float64 {
	within := func(list []time.Duration) float64 {
		return float64(len(slices.DeleteFunc(slices.Clone(list), func(at time.Duration) bool { return at < from || at >= to })))
	}
	return within(d.first[kind][1]) / max(within(d.first[kind][0]), 1)
}

// settledAt is twice partContact after the fifth crash under a part, or the last if there are fewer.
func (d *partReplay) settledAt(part uint64) time.Duration {
	crashes := d.crashes[part]
	return crashes[min(allowedCrashes, len(crashes))-1] + 2*partContact
}

// checkRules fails the test if a rule is broken for a part.
func (d *partReplay) checkRules(t *testing.T, seed uint64, part uint64) {
	t.Helper()
	if len(d.crashes[part]) == 0 {
		t.Fatalf("seed %d: no crash", seed)
	}
	if n := d.lateFatalSends(part); n > lateSends {
		t.Errorf("seed %d: %d requests with part %d were sent late, %d upstreams crashed", seed, n, part, len(d.crashes[part]))
	}
	from := d.settledAt(part)
	for _, kind := range []string{kindSound, kindFirst, kindRare} {
		before, after := d.beganShare(kind, 5*time.Second, partWarmUp), d.beganShare(kind, from, d.sim.now)
		if after < minBeganShare*before {
			t.Errorf("seed %d: %s: %.2f began before, %.2f after", seed, kind, before, after)
		}
	}
}

func TestFatalPartCrashesFewUpstreams(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*partLoad)
		during func(d *partReplay) // runs 12 s at least
	}{
		{"among short answers", func(*partLoad) {}, nil},
		{"few at a time", func(l *partLoad) { l.fatalEvery = 700 * time.Millisecond }, nil},
		{"among long answers", func(l *partLoad) { l.soundEvery, l.soundLasts = 100*time.Millisecond, 15*time.Second }, nil},
		{"with a part that few sound prompts have", func(l *partLoad) {
			l.rareEvery, l.fatalKinds = 250*time.Millisecond, [][]uint64{{customerPart, rarePart, fatalPart}}
		}, nil},
		{"as the first part", func(l *partLoad) { l.fatalKinds = [][]uint64{{fatalPart, firstPart}} }, nil},
		{"with different parts besides", func(l *partLoad) {
			l.rareEvery, l.fatalKinds = 250*time.Millisecond, [][]uint64{{customerPart, fatalPart}, {firstPart, fatalPart}, {fatalPart, rarePart}}
		}, nil},
		{"and upstreams that crash by themselves", func(l *partLoad) { l.bySelf = time.Second }, nil},
		{"two parts at once", func(l *partLoad) {
			l.fatalKinds = [][]uint64{{customerPart, firstPart, fatalPart}, {customerPart, otherFatal}}
		}, nil},
		{"with a part whose sound prompts came to one box", func(l *partLoad) {
			l.rareEvery, l.rareAt, l.fatalKinds = 250*time.Millisecond, "b00", [][]uint64{{customerPart, rarePart, fatalPart}}
		}, nil},
		{"and upstreams that stop as announced", func(l *partLoad) { l.planned = 500 * time.Millisecond }, nil},
		{"all messages are late", func(*partLoad) {}, func(d *partReplay) {
			d.sim.datagramDelay = 300 * time.Millisecond
			d.advance(12 * time.Second)
		}},
		{"a domain is cut off from the others", func(*partLoad) {}, func(d *partReplay) {
			d.sim.cutDomains["d1"] = true
			d.advance(12 * time.Second)
			d.sim.cutDomains["d1"] = false
		}},
		{"half of all messages are lost", func(*partLoad) {}, func(d *partReplay) {
			d.sim.lossRate = 0.5
			d.advance(12 * time.Second)
		}},
		{"boxes are killed and start again", func(*partLoad) {}, func(d *partReplay) {
			for i := range 12 {
				name := d.sim.names[i%len(d.sim.names)]
				b := d.sim.boxes[name]
				b.dead = true
				d.advance(500 * time.Millisecond)
				d.sim.start(name, b.self.Domain, b.self.Strength, false)
				d.advance(500 * time.Millisecond)
			}
		}},
		{"a third of the upstreams crash at once", func(*partLoad) {}, func(d *partReplay) {
			d.advance(time.Second)
			for _, u := range slices.Clone(d.upstreams)[:5] {
				d.crashUpstream(u)
			}
			d.advance(11 * time.Second)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(3) {
				load := defaultPartLoad
				test.change(&load)
				d := newPartReplay(t, seed, load)
				d.advance(partWarmUp)
				if test.during != nil {
					test.during(d)
				} else {
					d.advance(12 * time.Second)
				}
				d.advance(4 * time.Second)
				d.checkRules(t, seed, fatalPart)
				if len(load.fatalKinds) == 2 {
					d.checkRules(t, seed, otherFatal)
				}
				t.Logf("seed %d: %d crashes, %d sends, %d late, sound %.2f, first %.2f, rare %.2f", seed, len(d.crashes[fatalPart]), len(d.fatalSent[fatalPart]), d.lateFatalSends(fatalPart),
					d.beganShare(kindSound, d.settledAt(fatalPart), d.sim.now), d.beganShare(kindFirst, d.settledAt(fatalPart), d.sim.now), d.beganShare(kindRare, d.settledAt(fatalPart), d.sim.now))
			}
		})
	}
}

// Boxes that identify requests by their whole contents break the rule.
func TestBoxesThatKnowContentsOnlyBreakTheRule(t *testing.T) {
	is := is.New(t)
	d := newPartReplay(t, 1, defaultPartLoad)
	d.knownBy = func(subjects []balance.Subject) []balance.Subject { return subjects[len(subjects)-1:] }
	d.advance(partWarmUp + 8*time.Second)
	is.True(d.lateFatalSends(fatalPart) > lateSends)
}

// Upstreams that crash for other causes, one after another and many at once, make boxes withhold
// no part, and begin no fewer requests than there is room for.
func TestCrashesOfOtherCausesWithholdNoPart(t *testing.T) {
	for _, test := range []struct {
		name   string
		bySelf time.Duration
		lasts  time.Duration
		every  time.Duration
	}{
		{"short answers", 300 * time.Millisecond, 300 * time.Millisecond, 5 * time.Millisecond},
		{"long answers", 700 * time.Millisecond, 5 * time.Second, 40 * time.Millisecond},
		{"rare crashes among longer answers", 2 * time.Second, 15 * time.Second, 100 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			withheld, refused := 0, 0
			for seed := range uint64(2) {
				load := defaultPartLoad
				load.fatalEvery, load.bySelf, load.soundLasts, load.soundEvery, load.rareEvery = 0, test.bySelf, test.lasts, test.every, time.Second
				d := newPartReplay(t, seed, load)
				decide := d.mayDecide
				d.mayDecide = func(d *partReplay, name string, subjects []balance.Subject) bool {
					may := decide(d, name, subjects)
					if !may {
						refused++
					}
					return may
				}
				d.advance(partWarmUp)
				for range 4 {
					d.advance(4 * time.Second)
					for _, u := range slices.Clone(d.upstreams)[:5] {
						d.crashUpstream(u)
					}
				}
				for _, s := range d.tables {
					withheld += len(slices.DeleteFunc(s.Verdicts(d.sim.now), func(v balance.Verdict) bool { return !v.Subjects[0].IsPart() }))
				}
			}
			t.Logf("%d verdicts on parts, %d requests refused", withheld, refused)
			is := is.New(t)
			is.Equal(withheld, 0)
			is.Equal(refused, 0)
		})
	}
}

// When a verdict is over, one box lets one request run, and the others hear how it ended.
func TestVerdictThatIsOverIsTriedOnce(t *testing.T) {
	for seed := range uint64(2) {
		load := defaultPartLoad
		load.soundEvery = 200 * time.Millisecond
		d := newPartReplay(t, seed, load)
		d.advance(partWarmUp)
		d.advance(12 * time.Minute)
		t.Logf("seed %d: %d crashes, %d late", seed, len(d.crashes[fatalPart]), d.lateFatalSends(fatalPart))
		d.checkRules(t, seed, fatalPart)
		is.New(t).True(d.lateFatalSends(fatalPart) > 0) // the verdict was over within that time
	}
}

// After all boxes were killed at once nobody knows of the part. They learn of it as at first: the
// bounds hold from when they have been up for partContact.
func TestFatalPartIsLearnedAgainAfterAllBoxesRestart(t *testing.T) {
	for seed := range uint64(3) {
		d := newPartReplay(t, seed, defaultPartLoad)
		d.advance(partWarmUp + 8*time.Second)
		for _, name := range d.sim.names {
			d.sim.boxes[name].dead = true
		}
		d.advance(time.Second)
		for _, name := range d.sim.names {
			b := d.sim.boxes[name]
			d.sim.start(name, b.self.Domain, b.self.Strength, false)
		}
		d.crashes, d.fatalSent = make(map[uint64][]time.Duration), make(map[uint64][]time.Duration)
		restarted := d.sim.now
		d.advance(12 * time.Second)
		late := slices.DeleteFunc(slices.Clone(d.fatalSent[fatalPart]), func(at time.Duration) bool { return at < restarted+partContact })
		t.Logf("seed %d: %d crashes, %d later than %v after the restart", seed, len(d.crashes[fatalPart]), len(late), partContact)
		is.New(t).True(len(late) <= lateSends)
		is.New(t).True(d.beganShare(kindSound, restarted+2*partContact, d.sim.now) >= minBeganShare)
	}
}

// Three hundred boxes before a hundred upstreams, with twice the fatal requests and five times the sound ones.
func TestFatalPartCrashesFewUpstreamsOfThreeHundredBoxes(t *testing.T) {
	if testing.Short() {
		t.Skip("slow: simulates 300 boxes")
	}
	load := defaultPartLoad
	load.boxes, load.upstreams, load.fatalEvery, load.soundEvery, load.spreadParts = 300, 100, 50*time.Millisecond, time.Millisecond, 400
	d := newPartReplay(t, 1, load)
	d.advance(partWarmUp + 14*time.Second)
	d.checkRules(t, 1, fatalPart)
	t.Logf("%d crashes, %d sends, %d late, sound %.2f, first %.2f", len(d.crashes[fatalPart]), len(d.fatalSent[fatalPart]), d.lateFatalSends(fatalPart),
		d.beganShare(kindSound, d.settledAt(fatalPart), d.sim.now), d.beganShare(kindFirst, d.settledAt(fatalPart), d.sim.now))
}
