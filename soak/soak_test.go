package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// seeds has the initial seed and every seed that has failed before, with the cause of the failure.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{1, "initial seed, no known failure"},
}

// buildDaemon builds doormastd and returns its path.
func buildDaemon(t *testing.T) string {
	t.Helper()
	daemon := filepath.Join(t.TempDir(), "doormastd")
	out, err := exec.Command("go", "build", "-o", daemon, "github.com/doormast/doormast/cmd/doormastd").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return daemon
}

// TestSoak is the short run of CI. Its checks hold under any interleaving.
func TestSoak(t *testing.T) {
	is := is.New(t)
	daemon := buildDaemon(t)
	for i, s := range seeds {
		report, err := Run(context.Background(), Config{Daemon: daemon, Dir: t.TempDir(), Seed: s.seed,
			Duration: 8 * time.Second, // advertised limits are checked only after the first 3 s
			Boxes:    3, Upstreams: 4, Callers: 8, Net: 60 + i,
			RetryWindow: 2 * time.Second}) // upstreams fail for longer than one window
		is.NoErr(err)
		t.Logf("seed %d: %v", s.seed, report)
		is.Equal(len(report.Violations), 0) // see the log above
		is.True(report.Answered > 0)
	}
}

// Two runs on the same addresses would connect to each other's boxes.
func TestRunRefusesAddressesInUse(t *testing.T) {
	is := is.New(t)
	cfg := Config{Net: 90, Dir: t.TempDir()}
	guard, err := reserveAddresses(cfg)
	is.NoErr(err)
	_, err = Run(context.Background(), cfg)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "choose another net"))
	is.NoErr(guard.Close())
	again, err := reserveAddresses(cfg)
	is.NoErr(err)
	is.NoErr(again.Close())
}
