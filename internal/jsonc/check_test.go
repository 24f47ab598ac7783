package jsonc

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// pool is a document type for the tests.
type pool struct {
	Name  string `json:"name"`
	Slots int    `json:"slots"`
}

func (p *pool) check(c *Checker) {
	c.Want(p.Name != "", "name", `""`, "want a name")
	c.Want(p.Slots > 0, "slots", p.Slots, "want 1 or more")
}

func TestParseChecked(t *testing.T) {
	for _, test := range []struct {
		name, source, want string
	}{
		{"valid", `{"name": "a", "slots": 4}`, ""},
		{"several problems", "{\"name\": \"\",\n\"slots\": -1}",
			"pool.json:1: name: found \"\": want a name\npool.json:2: slots: found -1: want 1 or more"},
		{"missing field", `{"name": "a"}`, "pool.json:1: slots: found 0: want 1 or more"},
		{"malformed JSON", `[`, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var p pool
			err := ParseChecked("pool.json", []byte(test.source), &p, p.check)
			if test.name == "malformed JSON" {
				is.True(err != nil)
				return
			}
			if test.want == "" {
				is.NoErr(err)
				return
			}
			var problems Problems
			is.True(errors.As(err, &problems))
			is.Equal(err.Error(), test.want)
		})
	}
}

func TestLoadCheckedMissingFile(t *testing.T) {
	is := is.New(t)
	var p pool
	err := LoadChecked(filepath.Join(t.TempDir(), "none.json"), &p, p.check)
	is.True(errors.Is(err, os.ErrNotExist))
}
