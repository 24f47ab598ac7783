package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestCommands checks the output and errors of commands without a running box.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	edited := filepath.Join(dir, "edited.json")
	source, err := os.ReadFile("../../examples/table.json")
	if err != nil {
		t.Fatal(err)
	}
	edit := func(from, to string) string {
		if err := os.WriteFile(edited, []byte(strings.Replace(string(source), from, to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		return edited
	}
	const example = "../../examples/table.json"
	for _, c := range []struct {
		name string
		args []string
		in   string
		ok   bool
		want string
	}{
		{"check", []string{"table", "check", example}, "", true, "good"},
		{"check reports an error", []string{"table", "check", edit(`"floor": 0.15`, `"floor": 0.9`)}, "", false, "edited.json:4: classes[0].floor"},
		{"show", []string{"table", "show", example}, "", true, "letter"},
		{"key", []string{"table", "key"}, "example\n", true, "50d858e0"},
		{"settings", []string{"settings", "check", "../../examples/box.json"}, "", true, "box b1 of domain d1"},
		{"missing file", []string{"table", "check", "nowhere.json"}, "", false, "nowhere.json"},
		{"missing box flag", []string{"status"}, "", false, "box"},
		{"no box answers", []string{"status", "--box", "127.0.0.1:1"}, "", false, "no box answered"},
		{"invalid request ID", []string{"explain", "xyz", "--box", "127.0.0.1:1"}, "", false, "16 hex digits"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			if c.name == "check reports an error" {
				edit(`"floor": 0.15`, `"floor": 0.9`)
			}
			out, err := run(c.in, c.args...)
			is.Equal(err == nil, c.ok)
			if err != nil {
				out += err.Error()
			}
			if !strings.Contains(out, c.want) {
				t.Errorf("output %q does not contain %q", out, c.want)
			}
		})
	}
	t.Run("diff", func(t *testing.T) {
		is := is.New(t)
		out, err := run("", "table", "diff", example, edit(`"slots": 8`, `"slots": 9`))
		is.NoErr(err)
		is.Equal(out, "upstream engine1: slots: 8 -> 9\n")
	})
	t.Run("edit undoes another change", func(t *testing.T) {
		is := is.New(t)
		_, err := run("", "table", "check", example, "--base", example, "--against", edit(`"slots": 8`, `"slots": 9`))
		is.True(err != nil)
	})
}

func run(in string, args ...string) (string, error) {
	root := newRoot()
	var out bytes.Buffer
	root.SetIn(strings.NewReader(in))
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(args)
	err := root.Execute()
	return out.String(), err
}
