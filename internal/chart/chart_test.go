package chart

import (
	"testing"

	"github.com/matryer/is"
)

func TestChart(t *testing.T) {
	is := is.New(t)
	c := MustLoad([]byte(`{"name":"x","start":"a","states":["a","b"],"ends":["b"],"steps":{"go":{"a":"b"}}}`))
	s, ok := c.Step(0, c.Event("go"))
	is.True(ok)
	is.Equal(c.StateName(s), "b")
	is.True(c.Ended(s))
	_, ok = c.Step(s, c.Event("go"))
	is.True(!ok)
}

func TestLoadInvalid(t *testing.T) {
	for name, source := range map[string]string{
		"malformed JSON":         `{`,
		"start is not first":     `{"start":"a","states":["b"]}`,
		"unknown end state":      `{"start":"a","states":["a"],"ends":["z"]}`,
		"unknown next state":     `{"start":"a","states":["a"],"steps":{"go":{"a":"z"}}}`,
		"transition from an end": `{"start":"a","states":["a","b"],"ends":["b"],"steps":{"go":{"b":"a"}}}`,
	} {
		if _, err := Load([]byte(source)); err == nil {
			t.Errorf("%s: Load succeeded, want an error", name)
		}
	}
}
