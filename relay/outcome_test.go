package relay

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/route"
)

func TestWhatAStatusTellsOfItsUpstream(t *testing.T) {
	tests := []struct {
		status int
		time   time.Duration // that the caller waits; the route gives 12 s
		want   balance.Outcome
	}{
		{200, 12 * time.Second, balance.Answered},
		{404, 12 * time.Second, balance.Answered}, // its own business with the caller
		{500, 12 * time.Second, balance.Failed},
		{500, 400 * time.Millisecond, balance.Failed},
		{504, 12 * time.Second, balance.Failed},
		{504, 400 * time.Millisecond, balance.Neutral}, // a probe's time ran out
	}
	for _, tt := range tests {
		is := is.New(t)
		x := &exchange{route: &route.Route{Timeout: 12 * time.Second}, arrived: time.Unix(1, 0)}
		x.end = x.arrived.Add(tt.time)
		is.Equal(x.outcomeOf(tt.status), tt.want) // as in the table
		x.ctx = context.Background()
		if tt.status >= 500 { // where the request may be sent again, it comes as a failure
			is.Equal(x.outcomeOfFailure(runUnknown, statusError(tt.status)), tt.want)
		}
	}
}
