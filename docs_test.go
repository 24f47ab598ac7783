package doormast

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Every test that docs/PROMISES.md names must exist.
func TestPromisesNameRealTests(t *testing.T) {
	page, err := os.ReadFile("docs/PROMISES.md")
	if err != nil {
		t.Fatal(err)
	}
	tests := regexp.MustCompile("`(\\./[a-z/0-9]+)`\\s`(Test\\w+)`").FindAllStringSubmatch(string(page), -1)
	if len(tests) < 30 {
		t.Errorf("docs/PROMISES.md names %d tests, want at least 30", len(tests))
	}
	for _, p := range tests {
		if !hasTest(t, p[1], p[2]) {
			t.Errorf("package %s has no test %s", p[1], p[2])
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
