package oplog

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// requestLogLine returns the log line of a request of the class that ended at the given second.
func requestLogLine(second int, class, event, fields string) string {
	return fmt.Sprintf(`{"box":"b","msg":"request: %s","route":%q,"time":"2026-01-01T10:00:%02d.000Z"%s}`, event, class, second, fields) + "\n"
}

func TestEachRequestHasOneOutcome(t *testing.T) {
	tests := []struct {
		name, event, fields string
		want                Outcome
	}{
		{"stream on time", "answered", `,"status":200,"first_ms":90,"total_ms":5000,"target_ms":100,"late_pauses":0`, OnTime},
		{"stream starts late", "answered", `,"status":200,"first_ms":110,"total_ms":5000,"target_ms":100,"late_pauses":3`, LateStart},
		{"stream with a late pause", "answered", `,"status":200,"first_ms":90,"total_ms":5000,"target_ms":100,"late_pauses":1`, LatePause},
		{"answer on time", "answered", `,"status":200,"total_ms":90,"target_ms":100`, OnTime},
		{"late answer", "answered", `,"status":200,"total_ms":110,"target_ms":100`, LateStart},
		{"no latency target", "answered", `,"status":200,"total_ms":110000`, OnTime},
		{"upstream error status", "answered", `,"status":500,"total_ms":9,"target_ms":100`, Failed},
		{"refused for queued tokens", "too much before it", ``, Refused},
		{"no upstream left", "no upstream", ``, Refused},
		{"stream broken off, remaining time unknown", "broken off", `,"status":200,"late_pauses":2`, Interrupted},
		{"caller disconnects at the deadline", "caller left", `,"status":200,"late_pauses":2,"left_ms":3`, Unfinished},
		{"stream broken off after the deadline", "broken off", `,"status":200,"late_pauses":2,"left_ms":-1`, Unfinished},
		{"caller disconnects before the deadline", "caller left", `,"status":200,"late_pauses":2,"left_ms":4000`, Disconnected},
		{"caller disconnects before the answer began", "caller left", `,"left_ms":3`, Disconnected},
		{"stream broken off before the deadline", "broken off", `,"status":200,"late_pauses":2,"left_ms":4000`, Interrupted},
		{"interrupted by shutdown", "cut by the stop", `,"held_ms":7000`, Interrupted},
		{"no answer", "no answer", ``, Failed},
		{"deadline passed before an answer", "out of time", ``, Failed},
		{"caller disconnects, remaining time unknown", "caller left", ``, Disconnected},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			lines, _ := read(t, requestLogLine(1, "a", tt.event, tt.fields))
			account := Summarize(lines, time.Second)
			is.Equal(len(account.Classes), 1)
			is.Equal(account.Classes[0].Outcomes[tt.want], 1)
			is.Equal(account.Classes[0].Requests, 1)
		})
	}
}

func TestAccountGroupsBySpanAndClass(t *testing.T) {
	is := is.New(t)
	log := requestLogLine(0, "a", "answered", `,"status":200,"ahead":100,"runs":2,"kept":false`) +
		requestLogLine(1, "b", "answered", `,"status":200,"kept":true,"fetched":true,"came_back":true`) +
		requestLogLine(1, "a", "broken off", `,"ahead":300,"kept":true`) +
		requestLogLine(5, "a", "answered", `,"status":200,"lines_left_out":7`) +
		`{"box":"b","msg":"request: refused","reason":"no route","time":"2026-01-01T10:00:06.000Z"}` + "\n"
	lines, _ := read(t, log)
	a := Summarize(lines, 2*time.Second)
	is.Equal(len(a.Classes), 2)
	first := a.Classes[0]
	is.Equal(first.Class, "a")
	is.Equal(first.Counts, Counts{Requests: 3, Outcomes: [outcomeCount]int{OnTime: 2, Interrupted: 1}, MultipleRuns: 1, CacheMisses: 1, TokensAhead: 400})
	is.Equal(a.Classes[1].RetriedAfterRefusal, 1)
	is.Equal(a.Classes[1].CacheFetches, 1)
	is.Equal(len(a.Spans), 3) // classes a and b in the span at 0 s, class a in the span at 4 s
	is.Equal(a.Spans[0].Requests, 2)
	is.Equal(a.Spans[2].Start.Sub(a.Start), 4*time.Second)
	is.Equal(a.DroppedLines, 7)
	var out strings.Builder
	is.NoErr(a.Write(&out))
	is.True(strings.Contains(out.String(), "left out 7 lines"))
	for _, name := range OutcomeNames {
		is.True(strings.Contains(out.String(), name))
	}
}

func TestAccountWithoutLines(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(Summarize(nil, time.Second).Write(&out))
	is.True(strings.Contains(out.String(), "class"))
}

func TestAccountSumsAnswerTimes(t *testing.T) {
	is := is.New(t)
	log := requestLogLine(0, "a", "answered", `,"status":200,"first_ms":100,"total_ms":900,"late_pauses":0,"moved":true`) +
		requestLogLine(0, "a", "caller left", `,"status":200,"first_ms":300,"total_ms":1500,"late_pauses":0,"left_ms":0`) +
		requestLogLine(0, "a", "too much before it", `,"first_ms":0,"total_ms":1`)
	lines, _ := read(t, log)
	a := Summarize(lines, time.Second).Classes[0]
	is.Equal(a.Migrated, 1)
	is.Equal(a.Started, 2)
	is.Equal(a.TimeToFirst, 400*time.Millisecond)
	is.Equal(a.TimeAfterFirst, 2*time.Second)
	var text strings.Builder
	is.NoErr(Summarize(lines, time.Second).Write(&text))
	row := strings.Fields(strings.Split(text.String(), "\n")[1])
	is.Equal(row[len(row)-2:], []string{"200", "1000"}) // means over the answers that began
}
