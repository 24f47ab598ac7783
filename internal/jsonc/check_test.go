package jsonc

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// pool is a document of tests.
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
		{"sound", `{"name": "a", "slots": 4}`, ""},
		{"all problems are told", "{\"name\": \"\",\n\"slots\": -1}",
			"pool.json:1: name: found \"\": want a name\npool.json:2: slots: found -1: want 1 or more"},
		{"a missing field", `{"name": "a"}`, "pool.json:1: slots: found 0: want 1 or more"},
		{"no document", `[`, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var p pool
			err := ParseChecked("pool.json", []byte(test.source), &p, p.check)
			if test.name == "no document" {
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

func TestLoadCheckedNamesAMissingFile(t *testing.T) {
	is := is.New(t)
	var p pool
	err := LoadChecked(filepath.Join(t.TempDir(), "none.json"), &p, p.check)
	is.True(errors.Is(err, os.ErrNotExist))
}
