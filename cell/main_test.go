package cell

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// The property tests use a fixed seed, so that CI is deterministic. A
// failure found with another seed becomes a test of its own.
func init() { _ = flag.Set("rapid.seed", "20261202") }

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
