package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
)

// withoutRetries configures a relay that has no retry left.
func withoutRetries(c *Config) { c.Budget = balance.BudgetConfig{Window: 10 * time.Second} }

func TestARequestWithoutARetryLeftHasALine(t *testing.T) {
	is := is.New(t)
	u1, u2 := newStub(t, "u1", failFirst()), newStub(t, "u2", failFirst())
	b := newBenchWith(t, withoutRetries, u1, u2)
	is.Equal(b.do(b.request("GET", "/safe/x", "")).status, 500)
	is.NoErr(b.relay.cfg.Log.Close())
	is.True(b.log.contains(`"msg":"run: not retried"`))
	is.True(b.log.contains(`"service":"s"`))
	is.Equal(b.relay.stats.counted(retriesDenied+"s"), uint64(1))
}
