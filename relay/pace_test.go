package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPaceMeasuresPauses(t *testing.T) {
	tests := []struct {
		name    string
		at      []int // arrival of events in ms
		allowed time.Duration
		longest time.Duration
		late    int
	}{
		{"no events", nil, 200 * time.Millisecond, 0, 0},
		{"wait for the first event", []int{5000}, 200 * time.Millisecond, 0, 0},
		{"in time", []int{0, 100, 300}, 200 * time.Millisecond, 200 * time.Millisecond, 0},
		{"late twice", []int{0, 201, 300, 900}, 200 * time.Millisecond, 600 * time.Millisecond, 2},
		{"no limit", []int{0, 5000}, 0, 5 * time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var p pace
			start := time.Unix(1000, 0)
			for _, ms := range tt.at {
				p.observe(start.Add(time.Duration(ms)*time.Millisecond), tt.allowed)
			}
			is.Equal(p.longest, tt.longest)
			is.Equal(p.late, tt.late)
		})
	}
}
