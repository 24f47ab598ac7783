package control

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain ignores the goroutines of gnet's worker pool, which run until the process ends.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"))
}
