package decide

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestClaims checks the verdict on a claim on both sides of each assumption about clocks, lists of
// boxes and incarnations.
func TestClaims(t *testing.T) {
	const wall = 1_800_000_000 * time.Second
	dated := func(at time.Duration) Key {
		k, err := ParseKey(fmt.Sprintf("dmd1:d:%d:n", at.Milliseconds()))
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	alone := []string{"b"}
	for _, c := range []struct {
		name string
		do   func(c *Claims) ClaimVerdict
		want ClaimVerdict
	}{
		{"dated key issued long after the list was agreed on", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			return c.Claim(0, wall+10*time.Second, dated(wall+9*time.Second), "b", 1, true)
		}, ClaimGranted},
		{"dated key issued within the margin after the agreement", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			return c.Claim(0, wall+10*time.Second, dated(wall+time.Second), "b", 1, true)
		}, ClaimUnvouched},
		{"dated key issued just after the margin", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			return c.Claim(0, wall+10*time.Second, dated(wall+MaxSkew+c.margin+time.Millisecond), "b", 1, true)
		}, ClaimGranted},
		{"dated key issued exactly at the margin", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			return c.Claim(0, wall+10*time.Second, dated(wall+MaxSkew+c.margin), "b", 1, true)
		}, ClaimUnvouched},
		{"dated key issued more than MaxSkew in the future", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			return c.Claim(0, wall+10*time.Second, dated(wall+10*time.Second+MaxSkew+time.Millisecond), "b", 1, true)
		}, ClaimUnvouched},
		{"dated key older than KeyLife", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			return c.Claim(0, wall+time.Hour, dated(wall+time.Minute), "b", 1, true)
		}, ClaimUnvouched},
		{"dated key while a listed box is unreachable", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			return c.Claim(0, wall+10*time.Second, dated(wall+9*time.Second), "b", 1, false)
		}, ClaimUnvouched},
		{"dated key of another failure domain", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			k := dated(wall + 9*time.Second)
			k.Domain = "other"
			return c.Claim(0, wall+10*time.Second, k, "b", 1, true)
		}, ClaimElsewhere},
		{"dated key after the recorded lists were discarded", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			c.Forget()
			c.Observe(wall+9*time.Second, alone, true)
			return c.Claim(0, wall+10*time.Second, dated(wall+9*time.Second), "b", 1, true)
		}, ClaimUnvouched},
		{"same key claimed by a second request", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			k := dated(wall + 9*time.Second)
			c.Claim(0, wall+10*time.Second, k, "b", 1, true)
			return c.Claim(0, wall+10*time.Second, k, "b", 2, true)
		}, ClaimDuplicate},
		{"claim repeated by the same request", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			k := dated(wall + 9*time.Second)
			c.Claim(0, wall+10*time.Second, k, "b", 1, true)
			return c.Claim(0, wall+10*time.Second, k, "b", 1, true)
		}, ClaimGranted},
		{"key released by the first request", func(c *Claims) ClaimVerdict {
			c.Observe(wall, alone, true)
			k := dated(wall + 9*time.Second)
			c.Claim(0, wall+10*time.Second, k, "b", 1, true)
			c.Release(k, "b", 1)
			return c.Claim(0, wall+10*time.Second, k, "b", 2, true)
		}, ClaimGranted},
		{"minted key while other boxes are unreachable", func(c *Claims) ClaimVerdict {
			k, _ := ParseKey(c.Mint(time.Second))
			return c.Claim(2*time.Second, wall, k, "b", 1, false)
		}, ClaimGranted},
		{"minted key of an earlier incarnation", func(*Claims) ClaimVerdict {
			old := NewClaims("d", "b", 1, time.Second)
			k, _ := ParseKey(old.Mint(time.Second))
			return NewClaims("d", "b", 2, time.Second).Claim(2*time.Second, wall, k, "b", 1, true)
		}, ClaimElsewhere},
		{"minted key older than KeyLife", func(c *Claims) ClaimVerdict {
			k, _ := ParseKey(c.Mint(time.Second))
			return c.Claim(2*time.Second+KeyLife, wall, k, "b", 1, true)
		}, ClaimUnvouched},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.do(NewClaims("d", "b", 1, 2*time.Second)), c.want)
		})
	}
}

func TestParseKey(t *testing.T) {
	for _, text := range []string{"", "dmd1:d:x:n", "dmd1:d:1", "dmk1:d:b:zz:1:n", "dmd1:d:-1:n"} {
		if _, err := ParseKey(text); err == nil {
			t.Errorf("ParseKey(%q) succeeded, want an error", text)
		}
	}
}

func FuzzParseKey(f *testing.F) {
	f.Add("dmd1:d:1800000000000:n")
	f.Add("dmk1:d:b:ff:1:n")
	f.Add("plain")
	f.Fuzz(func(t *testing.T, text string) {
		if k, err := ParseKey(text); err == nil && k.Text != text {
			t.Errorf("ParseKey(%q) returned a key with text %q", text, k.Text)
		}
	})
}
