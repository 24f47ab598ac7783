package group

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestABoxThatCannotReadTriesLessOften(t *testing.T) {
	w := newWorld(t, 51)
	w.fleet(1, 3)
	w.run(4 * time.Second)
	tests := []struct {
		box      int
		failures int
		want     time.Duration
	}{
		{0, 1, 250 * time.Millisecond}, // the lead
		{0, 2, 500 * time.Millisecond},
		{0, 1000, 500 * time.Millisecond}, // its domain waits for the publisher's return
		{2, 1, 250 * time.Millisecond},
		{2, 2, 500 * time.Millisecond},
		{2, 4, 2 * time.Second},
		{2, 1000, 2 * time.Second},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(w.boxes[boxName(0, tt.box)].node.ReadPause(tt.failures), tt.want)
	}
}
