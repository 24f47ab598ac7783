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
	const notPositive, malformed = "delay is not above 0", "neither a number of seconds nor a date"
	for _, c := range []struct {
		name, value string
		want        time.Duration
		why         string
	}{
		{"seconds", "3", 3 * time.Second, ""},
		{"a fraction", " 0.25 ", 250 * time.Millisecond, ""},
		{"0", "0", 0, notPositive},
		{"a negative number", "-1", 0, malformed},
		{"a word", "soon", 0, malformed},
		{"empty", "", 0, malformed},
		{"an exponent", "1e3", 0, malformed},
		{"infinity", "inf", 0, malformed},
		{"a year in seconds", "31536000", MaxDelay, ""},
		{"too large for a float64", "1" + strings.Repeat("0", 400), MaxDelay, ""},
		{"an HTTP date", "Thu, 03 Dec 2026 10:00:02 GMT", 2 * time.Second, ""},
		{"a date in RFC 850 format", "Thursday, 03-Dec-26 10:00:02 GMT", 2 * time.Second, ""},
		{"a date in asctime format", "Thu Dec  3 10:00:02 2026", 2 * time.Second, ""},
		{"a date in the past", "Thu, 03 Dec 2026 09:59:00 GMT", 0, notPositive},
		{"a date years ahead", "Thu, 03 Dec 2099 10:00:00 GMT", MaxDelay, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := Parse(c.value, dated, now)
			is.Equal(got, c.want)
			var parseErr *Error
			is.Equal(errors.As(err, &parseErr), c.why != "")
			if parseErr != nil {
				is.Equal(parseErr.Why, c.why)
				is.Equal(parseErr.Value, c.value)
			}
		})
	}
}

// TestDateWithoutDateHeader checks that a date is compared with the local clock if
// the response has no Date header.
func TestDateWithoutDateHeader(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 3, 10, 0, 0, 0, time.UTC)
	got, err := Parse("Thu, 03 Dec 2026 10:00:02 GMT", "", now)
	is.NoErr(err)
	is.Equal(got, 2*time.Second)
}
