// Package retryafter reads the header Retry-After (RFC 9110, 10.2.3): for how long whoever sent it wants no requests. The invariant:
// what cannot be read asks for nothing.
package retryafter

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxDelay is what a longer time counts as. An upstream that asks for more is likely to be replaced before.
const MaxDelay = time.Hour

// Error says why a header asks for nothing.
type Error struct {
	Value string // as it was sent
	Why   string
}

var _ error = (*Error)(nil)

// Error implements error.
func (e *Error) Error() string { return "retry-after " + strconv.Quote(e.Value) + ": " + e.Why }

// Parse reads a header's value: seconds, also a fraction of one, or the moment at which the time ends. A moment counts from dated, the
// Date of the same answer, where that can be read, and else from now: clocks of machines differ. The time is more than 0 and Longest at
// the most; an error is an Error.
func Parse(value, dated string, now time.Time) (time.Duration, error) {
	length, ok := parse(strings.TrimSpace(value), dated, now)
	switch {
	case !ok:
		return 0, &Error{value, "neither seconds nor a date"}
	case length <= 0:
		return 0, &Error{value, "no time"}
	}
	return length, nil
}

func parse(text, dated string, now time.Time) (length time.Duration, ok bool) {
	if seconds, isNumber := Decimal(text); isNumber {
		return time.Duration(min(seconds, MaxDelay.Seconds()) * float64(time.Second)), true
	}
	end, err := http.ParseTime(text)
	if err != nil {
		return 0, false
	}
	if from, err := http.ParseTime(dated); err == nil {
		now = from
	}
	return min(end.Sub(now), MaxDelay), true
}

// Decimal reads a decimal number that is not below 0: digits, and a point among them at the most.
func Decimal(text string) (number float64, ok bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false // a sign, an exponent, or no number
	}
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil || math.IsInf(number, 1)
}
