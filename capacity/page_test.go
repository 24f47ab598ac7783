package capacity

import (
	"bytes"
	"os"
	"testing"

	"github.com/matryer/is"
)

// TestPageFollowsFromSlopes checks that docs/CAPACITY.md equals the page generated from
// the stored slopes; it fails when one is changed without the other.
func TestPageFollowsFromSlopes(t *testing.T) {
	is := is.New(t)
	s, err := Load("../docs/capacity/slopes.json")
	is.NoErr(err)
	var want bytes.Buffer
	is.NoErr(WritePage(&want, s))
	got, err := os.ReadFile("../docs/CAPACITY.md")
	is.NoErr(err)
	is.True(bytes.Equal(got, want.Bytes())) // run: doormast capacity page docs/capacity/slopes.json > docs/CAPACITY.md
}

// TestVerdictStatesExceededBudget checks the text for a budget that is met and for one
// that is exceeded.
func TestVerdictStatesExceededBudget(t *testing.T) {
	is := is.New(t)
	is.Equal(verdict(5, 10), "50 % left")
	is.Equal(verdict(15, 10), "**over, 1.5 times**")
}
