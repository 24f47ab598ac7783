package doormast

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestPromisesNameRealTests: every proof that docs/PROMISES.md names exists.
func TestPromisesNameRealTests(t *testing.T) {
	page, err := os.ReadFile("docs/PROMISES.md")
	if err != nil {
		t.Fatal(err)
	}
	proofs := regexp.MustCompile("`(\\./[a-z/0-9]+)`\\s`(Test\\w+)`").FindAllStringSubmatch(string(page), -1)
	if len(proofs) < 30 {
		t.Errorf("only %d proofs are named", len(proofs))
	}
	for _, p := range proofs {
		if !hasTest(t, p[1], p[2]) {
			t.Errorf("%s has no %s", p[1], p[2])
		}
	}
}

func hasTest(t *testing.T, dir, name string) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(b), "func "+name+"(t *testing.T)") {
			return true
		}
	}
	return false
}
