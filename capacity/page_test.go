package capacity

import (
	"bytes"
	"os"
	"testing"

	"github.com/matryer/is"
)

// TestPageFollowsFromSlopes fails if the page's figures are not those that the
// kept slopes give.
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

// TestBudgetIsJudged checks that the page says so where a budget is exceeded.
func TestBudgetIsJudged(t *testing.T) {
	is := is.New(t)
	is.Equal(verdict(5, 10), "50 % left")
	is.Equal(verdict(15, 10), "**over, 1.5 times**")
}
