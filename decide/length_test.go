package decide

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestLengths(t *testing.T) {
	is := is.New(t)
	var l Lengths
	is.Equal(l.Mean(), lengthPrior)
	for range 500 {
		l.Add(100)
	}
	is.True(math.Abs(l.Mean()-100) < 10)
	is.True(l.Remaining(50) > 30 && l.Remaining(50) < 90)
	is.True(l.Remaining(400) > 0) // longer than any recorded answer
	for range 2000 {
		l.Add(1000)
	}
	is.True(l.Mean() > 900) // old samples decay
}
