package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/internal/jsonc"
	"github.com/doormast/doormast/timeline"
)

// small returns a spec of a small, overloaded system that runs quickly.
func small() *Spec {
	ms := func(n int) jsonc.Duration { return jsonc.Duration(time.Duration(n) * time.Millisecond) }
	return &Spec{Name: "small", Seeds: 1, Duration: ms(20000), Domains: 2, Boxes: 4, Engines: 4, Slots: 4, Pace: ms(20), Prefill: ms(100),
		Cache: 8, Delay: ms(1), Lag: ms(500), Queue: 100, Load: 2, Customers: 5,
		Classes: []ClassSpec{
			{Name: "high", Tier: 1, FirstToken: ms(2000), Weight: 1, Floor: 0.2, Refuse: true, Share: 0.5, Length: 50, Spread: 0.5, Patience: 2, Prefixes: 5},
			{Name: "low", Tier: 2, FirstToken: ms(10000), Weight: 1, Floor: 0.1, Share: 0.5, Length: 100, Spread: 0.8},
		},
		Policies: AllPolicies, Scenarios: []Scenario{{Name: "plain"}, {Name: "frozen", Freeze: true, From: ms(5000), To: ms(9000)}, {Name: "broken", Down: true, From: ms(5000)}}}
}

// TestEachRequestEndsOnce runs every policy in every scenario. Each request must end
// exactly once: answered, refused, or abandoned by its caller. The coordinated policy's
// timeline must show no violation.
func TestEachRequestEndsOnce(t *testing.T) {
	s := small()
	for i := range s.Scenarios {
		for _, policy := range s.Policies {
			t.Run(s.Scenarios[i].Name+"/"+policy, func(t *testing.T) {
				is := is.New(t)
				l := run(s, &s.Scenarios[i], policy, makeTrace(s, &s.Scenarios[i], 1), 1)
				is.Equal(l.unfinished, 0)
				for _, r := range l.all {
					ends := 0
					for _, ended := range []bool{r.answered, r.refused, r.abandoned} {
						if ended {
							ends++
						}
					}
					is.Equal(ends, 1)
				}
				for _, e := range l.engines {
					is.True(e.running == 0 || e.broken)
				}
				if policy == Coordinated {
					is.Equal(len(timeline.Check(l.events, func(string) bool { return true })), 0)
				}
			})
		}
	}
}

// TestRunsAreDeterministic checks that two runs with the same seed give identical JSON.
func TestRunsAreDeterministic(t *testing.T) {
	is := is.New(t)
	s := small()
	var lines [2]strings.Builder
	for i := range lines {
		r := run(s, &s.Scenarios[1], Coordinated, makeTrace(s, &s.Scenarios[1], 7), 7).result(7)
		is.NoErr(WriteJSON(&lines[i], r))
	}
	is.Equal(lines[0].String(), lines[1].String())
}

// TestExperimentFiles loads the experiments of the repository, and checks that the error
// for an invalid file names the file, the line and the field.
func TestExperimentFiles(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"zlatna", "saltbush"} {
		s, err := Load("../experiments/" + name + ".json")
		is.NoErr(err)
		is.True(len(s.Scenarios) >= 8)
		is.True(s.Seeds >= 5)
	}
	file := filepath.Join(t.TempDir(), "bad.json")
	is.NoErr(os.WriteFile(file, []byte("{\n\"polices\": []\n}"), 0o600))
	_, err := Load(file)
	is.True(err != nil && strings.Contains(err.Error(), `bad.json:2: polices`))
}
