package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validSettings = `{
  "box": "b", "domain": "d", // this box
  "listen": {"callers": "127.0.0.1:1", "control": "127.0.0.1:2", "ops": "127.0.0.1:3"},
  "platform": "127.0.0.1:4",
  "peer_key": "0123456789abcdef", "ops_key": "0123456789abcdef",
  "limits": {"body": 2048},
}`

func TestParse(t *testing.T) {
	is := is.New(t)
	s, err := Parse("good", []byte(validSettings))
	is.NoErr(err)
	is.Equal(s.Limits.Body, 2048)
	is.Equal(s.Limits.Headers, Defaults().Limits.Headers) // unset fields keep their defaults
}

func TestParseErrors(t *testing.T) {
	for _, c := range []struct {
		name, from, to string
		want           []string
	}{
		{"unknown field", `"box"`, `"bax"`, []string{"bad:2", "bax", `did you mean "box"?`}},
		{"invalid address", `"127.0.0.1:1"`, `"localhost"`, []string{"bad:3", "listen.callers", "IP:port"}},
		{"short key", `"peer_key": "0123456789abcdef"`, `"peer_key": "hunter2"`, []string{"bad:5", "peer_key", "7 characters", "16"}},
		{"too small", `2048`, `1`, []string{"bad:6", "limits.body", "found 1", "1024"}},
		{"wrong type", `2048`, `"big"`, []string{"bad:6", "limits.body", "whole number"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("bad", []byte(strings.Replace(validSettings, c.from, c.to, 1)))
			is.True(err != nil)
			for _, w := range c.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("error %q does not contain %q", err, w)
				}
			}
			is.True(!strings.Contains(err.Error(), "hunter2")) // errors must not contain secrets
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = Parse("fuzz", b) })
}
