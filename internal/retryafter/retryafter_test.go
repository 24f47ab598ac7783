package retryafter

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestParse(t *testing.T) {
	const dated = "Thu, 03 Dec 2026 10:00:00 GMT"
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC) // this machine's clock is behind
	const noTime, nonsense = "no time", "neither seconds nor a date"
	for _, c := range []struct {
		name, value string
		want        time.Duration
		why         string
	}{
		{"seconds", "3", 3 * time.Second, ""},
		{"a fraction", " 0.25 ", 250 * time.Millisecond, ""},
		{"0", "0", 0, noTime},
		{"a negative number", "-1", 0, nonsense},
		{"a word", "soon", 0, nonsense},
		{"empty", "", 0, nonsense},
		{"an exponent", "1e3", 0, nonsense},
		{"infinite", "inf", 0, nonsense},
		{"a year", "31536000", MaxDelay, ""},
		{"beyond all numbers", "1" + strings.Repeat("0", 400), MaxDelay, ""},
		{"a date", "Thu, 03 Dec 2026 10:00:02 GMT", 2 * time.Second, ""},
		{"an older form of it", "Thursday, 03-Dec-26 10:00:02 GMT", 2 * time.Second, ""},
		{"C's form", "Thu Dec  3 10:00:02 2026", 2 * time.Second, ""},
		{"a date that is past", "Thu, 03 Dec 2026 09:59:00 GMT", 0, noTime},
		{"a date in years", "Thu, 03 Dec 2099 10:00:00 GMT", MaxDelay, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := Parse(c.value, dated, now)
			is.Equal(got, c.want)
			var wrong *Error
			is.Equal(errors.As(err, &wrong), c.why != "")
			if wrong != nil {
				is.Equal(wrong.Why, c.why)
				is.Equal(wrong.Value, c.value)
			}
		})
	}
}

// A date in an answer that has none of its own counts by this machine's clock.
func TestADateCountsFromNowWhereTheAnswerIsNotDated(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 3, 10, 0, 0, 0, time.UTC)
	got, err := Parse("Thu, 03 Dec 2026 10:00:02 GMT", "", now)
	is.NoErr(err)
	is.Equal(got, 2*time.Second)
}
