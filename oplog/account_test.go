package oplog

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// requestLine is a line about a request of a class that ended at a second.
func requestLine(second int, class, event, fields string) string {
	return fmt.Sprintf(`{"box":"b","msg":"request: %s","route":%q,"time":"2026-01-01T10:00:%02d.000Z"%s}`, event, class, second, fields) + "\n"
}

func TestEachRequestHasOneFate(t *testing.T) {
	tests := []struct {
		name, event, fields string
		want                Fate
	}{
		{"a stream in time", "answered", `,"status":200,"first_ms":90,"total_ms":5000,"target_ms":100,"late_pauses":0`, InTime},
		{"a stream that began late", "answered", `,"status":200,"first_ms":110,"total_ms":5000,"target_ms":100,"late_pauses":3`, LateFirst},
		{"a stream with a late pause", "answered", `,"status":200,"first_ms":90,"total_ms":5000,"target_ms":100,"late_pauses":1`, LatePause},
		{"an answer in time", "answered", `,"status":200,"total_ms":90,"target_ms":100`, InTime},
		{"a late answer", "answered", `,"status":200,"total_ms":110,"target_ms":100`, LateFirst},
		{"no target", "answered", `,"status":200,"total_ms":110000`, InTime},
		{"an upstream's failure", "answered", `,"status":500,"total_ms":9,"target_ms":100`, Failed},
		{"refused", "too much before it", ``, Refused},
		{"nowhere to go", "no upstream", ``, Refused},
		{"cut", "broken off", `,"status":200,"late_pauses":2`, Cut},
		{"its time ran out, and its caller left", "caller left", `,"status":200,"late_pauses":2,"left_ms":3`, Unfinished},
		{"its time ran out", "broken off", `,"status":200,"late_pauses":2,"left_ms":-1`, Unfinished},
		{"left before its end", "caller left", `,"status":200,"late_pauses":2,"left_ms":4000`, Left},
		{"left before its answer began", "caller left", `,"left_ms":3`, Left},
		{"cut with time left", "broken off", `,"status":200,"late_pauses":2,"left_ms":4000`, Cut},
		{"cut by a stop", "cut by the stop", `,"held_ms":7000`, Cut},
		{"no answer", "no answer", ``, Failed},
		{"out of time", "out of time", ``, Failed},
		{"left", "caller left", ``, Left},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			lines, _ := read(t, requestLine(1, "a", tt.event, tt.fields))
			account := Tell(lines, time.Second)
			is.Equal(len(account.Classes), 1)
			is.Equal(account.Classes[0].Fates[tt.want], 1)
			is.Equal(account.Classes[0].Requests, 1)
		})
	}
}

func TestTheAccountIsBySpanAndClass(t *testing.T) {
	is := is.New(t)
	log := requestLine(0, "a", "answered", `,"status":200,"ahead":100,"runs":2,"kept":false`) +
		requestLine(1, "b", "answered", `,"status":200,"kept":true,"fetched":true,"came_back":true`) +
		requestLine(1, "a", "broken off", `,"ahead":300,"kept":true`) +
		requestLine(5, "a", "answered", `,"status":200,"lines_left_out":7`) +
		`{"box":"b","msg":"request: refused","reason":"no route","time":"2026-01-01T10:00:06.000Z"}` + "\n"
	lines, _ := read(t, log)
	a := Tell(lines, 2*time.Second)
	is.Equal(len(a.Classes), 2)
	first := a.Classes[0]
	is.Equal(first.Class, "a")
	is.Equal(first.Tally, Tally{Requests: 3, Fates: [fates]int{InTime: 2, Cut: 1}, Again: 1, Unkept: 1, Ahead: 400})
	is.Equal(a.Classes[1].CameBack, 1)
	is.Equal(a.Classes[1].Fetched, 1)
	is.Equal(len(a.Spans), 3) // a and b from 0 s on, a from 4 s on
	is.Equal(a.Spans[0].Requests, 2)
	is.Equal(a.Spans[2].From.Sub(a.From), 4*time.Second)
	is.Equal(a.LeftOut, 7)
	var out strings.Builder
	is.NoErr(a.Write(&out))
	is.True(strings.Contains(out.String(), "left out 7 lines"))
	for _, name := range FateNames {
		is.True(strings.Contains(out.String(), name))
	}
}

func TestAnAccountOfNothingIsEmpty(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(Tell(nil, time.Second).Write(&out))
	is.True(strings.Contains(out.String(), "class"))
}

func TestWhereTheTimeOfAnswersWent(t *testing.T) {
	is := is.New(t)
	log := requestLine(0, "a", "answered", `,"status":200,"first_ms":100,"total_ms":900,"late_pauses":0,"moved":true`) +
		requestLine(0, "a", "caller left", `,"status":200,"first_ms":300,"total_ms":1500,"late_pauses":0,"left_ms":0`) +
		requestLine(0, "a", "too much before it", `,"first_ms":0,"total_ms":1`)
	lines, _ := read(t, log)
	a := Tell(lines, time.Second).Classes[0]
	is.Equal(a.Moved, 1)
	is.Equal(a.Begun, 2)
	is.Equal(a.First, 400*time.Millisecond)
	is.Equal(a.Rest, 2*time.Second)
	var text strings.Builder
	is.NoErr(Tell(lines, time.Second).Write(&text))
	row := strings.Fields(strings.Split(text.String(), "\n")[1])
	is.Equal(row[len(row)-2:], []string{"200", "1000"}) // means of those that began
}
