package placing

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/internal/jsonc"
)

// small returns a spec that runs quickly.
func small() *Spec {
	return &Spec{
		Name: "small", Seeds: 1, Duration: jsonc.Duration(5 * time.Second), Domains: 2, Boxes: 4, Tell: jsonc.Duration(100 * time.Millisecond),
		Engine: EngineSpec{Count: 4, Slots: 8, Step: jsonc.Duration(5 * time.Millisecond), ReadRate: 40, ReadChunk: 2000, Memory: 100000, FetchRate: 1000},
		Classes: []ClassSpec{
			{Name: "long", Urgency: 1, Rate: 6, Parts: 5, Shared: 8000, Own: 1000, Out: 40, Event: 4,
				Target: jsonc.Duration(time.Second), Gap: jsonc.Duration(time.Second), Patience: jsonc.Duration(5 * time.Second)},
			{Name: "short", Rate: 6, Parts: 5, Shared: 200, Own: 300, Out: 40, Event: 4,
				Target: jsonc.Duration(time.Second), Gap: jsonc.Duration(300 * time.Millisecond), Patience: jsonc.Duration(5 * time.Second)},
		},
	}
}

// Checks that all ways get the same requests, that each ends once, and that runs are deterministic.
func TestAllWaysSeeTheSameRequests(t *testing.T) {
	is := is.New(t)
	var sent []int
	for _, w := range Ways {
		r := Run(small(), w, 1)
		var all []int
		for _, c := range r.Classes {
			all = append(all, c.InTime+c.Late+c.Failed+c.Refused)
		}
		if sent == nil {
			sent = all
		}
		is.Equal(all, sent)
		is.Equal(Run(small(), w, 1), r)
	}
	is.True(sent[0] > 10 && sent[1] > 10)
}

// Boxes that exchange which engine was sent which part must not prefill more tokens again than
// boxes that decide alone.
func TestTellingPartsSavesReading(t *testing.T) {
	is := is.New(t)
	s := small()
	s.Bursts = []BurstSpec{{Class: "long", Factor: 4, To: jsonc.Duration(3 * time.Second)}}
	alone, told := Run(s, Ways[0], 1), Run(s, Ways[2], 1)
	is.True(told.ReadAgain <= alone.ReadAgain)
	is.True(told.Classes[0].InTime >= alone.Classes[0].InTime)
}

// The same over several seeds. With deciders that each reserved engines on their own, 64,200 tokens
// were prefilled again, and 17,400 without exchange: a long part moved whenever the plans differed.
func TestTellingPartsSavesReadingOverSeeds(t *testing.T) {
	is := is.New(t)
	s := small()
	s.Bursts = []BurstSpec{{Class: "long", Factor: 4, To: jsonc.Duration(3 * time.Second)}}
	var alone, told int
	for seed := uint64(1); seed <= 8; seed++ {
		alone += Run(s, Ways[0], seed).ReadAgain
		told += Run(s, Ways[2], seed).ReadAgain
	}
	is.True(2*told <= alone)
}

// regional returns a small spec of two distant regions, with parts that prefill quickly.
func regional() *Spec {
	s := small()
	s.Regions, s.Engine.Count, s.Ways.Region = 2, 8, jsonc.Duration(60*time.Millisecond)
	for i := range s.Classes {
		s.Classes[i].Bytes = 1000
	}
	return s
}

// Placing within each region must send nothing between regions, and the cost of distance must send
// less than placing over all engines regardless of distance. Runs are deterministic.
func TestDistanceSavesBytesBetweenRegions(t *testing.T) {
	is := is.New(t)
	var bytes []int
	for _, w := range WaysBetweenRegions {
		r := Run(regional(), w, 1)
		bytes = append(bytes, r.BytesRegions)
		is.Equal(Run(regional(), w, 1), r)
	}
	overAll, forEach, cost := bytes[0], bytes[1], bytes[2]
	is.Equal(forEach, 0)
	is.True(cost < overAll)
}

// engineJob returns a job that logs its first token and its end.
func engineJob(urgency int, part uint64, shared, own, out int, log *[]string, name string) *job {
	j := &job{class: &ClassSpec{Event: 1}, out: out, end: time.Hour, elsewhere: func(uint64) bool { return false }}
	j.request = balance.Request{Urgency: urgency, Tokens: shared + own, Parts: []balance.Part{{ID: part, Tokens: shared}, {ID: 99, Tokens: own}}}
	j.first = func(time.Duration) { *log = append(*log, name+" first") }
	j.event = func(time.Duration) {}
	j.done = func(_ time.Duration, whole bool) {
		if whole {
			*log = append(*log, name+" done")
		} else {
			*log = append(*log, name+" late")
		}
	}
	return j
}

// play runs an engine until it has no work, and returns the virtual time that this took.
func play(e *engine) time.Duration {
	now := time.Duration(0)
	for {
		took := e.begin(now)
		if took == 0 {
			return now
		}
		now += took
		e.finish(now)
	}
}

func testEngine() *engine {
	return &engine{spec: &EngineSpec{Slots: 2, Step: jsonc.Duration(time.Millisecond), ReadRate: 10, ReadChunk: 1000, Memory: 5000, FetchRate: 100}}
}

func TestEnginePrefillsMoreUrgentFirst(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	var log []string
	e.add(engineJob(5, 1, 1000, 1000, 1, &log, "slow"))
	e.add(engineJob(0, 2, 1000, 1000, 1, &log, "urgent"))
	e.add(engineJob(5, 3, 1000, 1000, 1, &log, "slow too"))
	play(e)
	is.Equal(strings.Join(log, ", "), "urgent first, urgent done, slow first, slow done, slow too first, slow too done")
}

func TestEngineCachesSharedParts(t *testing.T) {
	is := is.New(t)
	e, other := testEngine(), testEngine()
	var log []string
	e.add(engineJob(0, 1, 2000, 100, 1, &log, "a"))
	cold := play(e)
	e.add(engineJob(0, 1, 2000, 100, 1, &log, "b"))
	is.True(play(e) < cold/5) // only the part that is not shared is prefilled
	j := engineJob(0, 1, 2000, 100, 1, &log, "c")
	j.from = e
	other.add(j)
	fetched := play(other)
	is.True(fetched < cold/3)
	is.Equal(other.fetched, 2000)
	j = engineJob(0, 1, 2000, 100, 1, &log, "d")
	j.elsewhere = func(uint64) bool { return true }
	third := testEngine()
	third.add(j)
	play(third)
	is.Equal(third.readAgain, 2000)
	for part := range uint64(4) { // evicts the least recently used part
		e.add(engineJob(0, 10+part, 2000, 100, 1, &log, "more"))
		play(e)
	}
	is.True(!e.holds(1))
	is.True(e.holds(13))
}

func TestEngineDropsAbandonedJobs(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	var log []string
	j := engineJob(0, 1, 1000, 1000, 1000, &log, "long")
	j.end = 300 * time.Millisecond
	e.add(j)
	took := play(e)
	is.Equal(strings.Join(log, ", "), "long first, long late")
	is.True(took < 400*time.Millisecond)
}

func TestTheTableNamesAllWays(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(Compare(&out, small()))
	for _, w := range Ways {
		is.True(strings.Contains(out.String(), w.Name))
	}
}

func TestExperimentsAreChecked(t *testing.T) {
	for _, name := range []string{"placing-zlatna.json", "placing-saltbush.json", "placing-regions-78.json", "placing-regions-300.json"} {
		is := is.New(t)
		_, err := Load(filepath.Join("..", "..", "experiments", name))
		is.NoErr(err)
	}
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "bad.json")
	is.NoErr(os.WriteFile(file, []byte("{\n\"domains\": 3,\n\"boxes\": 1,\n\"bursts\": [{\"class\": \"none\"}]\n}"), 0o600))
	_, err := Load(file)
	is.True(err != nil)
	for _, want := range []string{"bad.json:3", "boxes", "bursts[0].class", "duration"} {
		is.True(strings.Contains(err.Error(), want)) // the line and the field are named
	}
}
