package table

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const validTable = `{
  // a small table
  "classes": [
    {"name": "letter", "tier": 1, "first_token": "2s", "floor": 0.2, "set": "chat", "repeatable": true},
    {"name": "question", "tier": 2, "first_token": "1s", "floor": 0.1, "set": "chat", "on_late": "refuse"},
  ],
  "customers": [{"name": "acme", "default_class": "letter", "key_hashes": ["` + hash + `"]}],
  "upstreams": [{"name": "e0", "domain": "d0", "address": "127.0.0.1:1", "set": "chat", "slots": 8}],
}`

const hash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

func TestParseValid(t *testing.T) {
	is := is.New(t)
	parsed, err := Parse("valid", []byte(validTable))
	is.NoErr(err)
	is.Equal(parsed.Class("letter").OnLate, Wait)
	is.Equal(parsed.Authenticate("secret").Name, "acme")
	is.Equal(parsed.Authenticate("wrong"), nil)
	var b strings.Builder
	is.NoErr(parsed.Show(&b))
	is.True(strings.Contains(b.String(), "question"))
	again, err := Parse("again", parsed.WithRevision(3).Document())
	is.NoErr(err)
	is.Equal(again.Digest(), parsed.WithRevision(3).Digest())
}

// TestParseInvalid breaks one part of the valid table at a time and checks that
// the error names the line, the field, the value and what is allowed.
func TestParseInvalid(t *testing.T) {
	for _, c := range []struct {
		name, from, to string
		want           []string // parts of the error message
	}{
		{"truncated", `"upstreams"`, "", []string{"bad:"}},
		{"unknown field", `"tier": 1`, `"teir": 1`, []string{"bad:4", "classes[0].teir", `did you mean "tier"?`}},
		{"duplicate field", `"tier": 1`, `"tier": 1, "tier": 2`, []string{"bad:4", "twice"}},
		{"wrong type", `"tier": 1`, `"tier": "one"`, []string{"bad:4", "classes[0].tier", `"one"`, "whole number"}},
		{"bad duration", `"2s"`, `"2 seconds"`, []string{"bad:4", "first_token", "want a duration"}},
		{"no floor", `"floor": 0.2, `, ``, []string{"bad:4", "classes[0].floor", "cannot starve"}},
		{"sum of floors too large", `"floor": 0.2`, `"floor": 0.45`, []string{"bad:5", "classes[1].floor", "add up to 0.55"}},
		{"unknown set", `"set": "chat", "on_late"`, `"set": "chit", "on_late"`, []string{"bad:5", `chit`, "some upstream"}},
		{"duplicate name", `"question"`, `"letter"`, []string{"bad:5", "classes[1].name"}},
		{"unknown class", `"default_class": "letter"`, `"default_class": "x"`, []string{"bad:7", "customers[0].default_class"}},
		{"plain text key", hash, "secret", []string{"bad:7", "key_hashes[0]", "SHA-256"}},
		{"bad address", "127.0.0.1:1", "localhost", []string{"bad:8", "upstreams[0].address", "localhost", "IP:port"}},
		{"no slots", `"slots": 8`, `"slots": 0`, []string{"bad:8", "upstreams[0].slots"}},
		{"concurrency below the floor", `"on_late": "refuse"`, `"concurrency": 1, "floor": 0.1`, []string{"bad:5"}},
		{"bad on_late", `"refuse"`, `"drop"`, []string{"bad:5", "on_late", "drop"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			source := strings.Replace(validTable, c.from, c.to, 1)
			if c.name == "truncated" {
				source, _, _ = strings.Cut(validTable, c.from)
			}
			_, err := Parse("bad", []byte(source))
			if c.name == "concurrency below the floor" && err == nil {
				return // valid: 1 is above a tenth of 8 slots
			}
			is.True(err != nil)
			for _, w := range c.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("error %q does not say %q", err, w)
				}
			}
		})
	}
	_, err := Parse("large", make([]byte, MaxSize+1))
	is.New(t).True(err != nil)
}

// TestDelta checks that applying the delta of a random edit gives the same table
// as parsing the whole edited document.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a, err := Parse("a", []byte(validTable))
		if err != nil {
			rt.Fatal(err)
		}
		b := a.WithRevision(a.Revision + 1)
		b.Classes = append([]Class(nil), a.Classes...)
		b.Upstreams = append([]Upstream(nil), a.Upstreams...)
		for range rapid.IntRange(0, 5).Draw(rt, "edits") {
			switch rapid.IntRange(0, 3).Draw(rt, "edit") {
			case 0:
				b.Classes[rapid.IntRange(0, len(b.Classes)-1).Draw(rt, "row")].Weight = rapid.Float64Range(0.1, 9).Draw(rt, "weight")
			case 1:
				b.Upstreams = append(b.Upstreams, Upstream{Name: fmt.Sprint("n", len(b.Upstreams)), Domain: "d", Address: "127.0.0.1:2", Kind: Engine, Set: "chat", Slots: 1})
			case 2:
				b.Classes[0], b.Classes[1] = b.Classes[1], b.Classes[0]
			case 3:
				if len(b.Upstreams) > 1 {
					b.Upstreams = b.Upstreams[1:]
				}
			}
		}
		b = b.WithRevision(b.Revision)
		got, err := a.Apply(MakeDelta(a, b))
		if err != nil {
			rt.Fatal(err)
		}
		if got.Digest() != b.Digest() || string(got.Document()) != string(b.Document()) {
			rt.Fatal("the result of the delta differs from the edited table")
		}
		if _, err := got.Apply(MakeDelta(a, b)); err == nil {
			rt.Fatal("a delta was applied to a revision other than its own")
		}
	})
}

// TestUndone checks that the change of one operator is reported when another
// operator is about to replace it with an edit of the same base.
func TestUndone(t *testing.T) {
	is := is.New(t)
	base, err := Parse("base", []byte(validTable))
	is.NoErr(err)
	mine, err := Parse("mine", []byte(strings.Replace(validTable, `"tier": 2`, `"tier": 3`, 1)))
	is.NoErr(err)
	theirs, err := Parse("theirs", []byte(strings.Replace(validTable, `"slots": 8`, `"slots": 9`, 1)))
	is.NoErr(err)
	undone := Undone(base, theirs, mine)
	is.Equal(len(undone), 1)
	is.Equal(undone[0].String(), "upstream e0: slots: 8 -> 9")
	is.Equal(len(Undone(base, base, mine)), 0)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validTable))
	f.Add([]byte(`{"classes":[{}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		parsed, err := Parse("fuzz", b)
		if err != nil {
			return
		}
		if _, err := Parse("again", parsed.Document()); err != nil {
			t.Errorf("the document of a parsed table does not parse: %v", err)
		}
	})
}
