// Package retryafter parses the Retry-After header (RFC 9110, section 10.2.3), with which a server asks clients to send no requests
// for some time. The invariant: a value that cannot be parsed results in no delay.
package retryafter

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxDelay is the upper limit of a delay; longer ones are reduced to it. An upstream that asks for more is likely to be replaced before.
const MaxDelay = time.Hour

// Error reports a header value that gives no delay.
type Error struct {
	Value string // as received
	Why   string // reason
}

var _ error = (*Error)(nil)

// Error implements error.
func (e *Error) Error() string { return "retry-after " + strconv.Quote(e.Value) + ": " + e.Why }

// Parse returns the delay that a header value asks for: a number of seconds, with an optional fraction, or the date at which the delay
// ends. A date is compared with dated, the Date header of the same response, since the clocks of machines differ, and with now if dated
// cannot be parsed. The delay is above 0 and at most MaxDelay. The error is of type *Error.
func Parse(value, dated string, now time.Time) (time.Duration, error) {
	delay, ok := parse(strings.TrimSpace(value), dated, now)
	switch {
	case !ok:
		return 0, &Error{value, "neither a number of seconds nor a date"}
	case delay <= 0:
		return 0, &Error{value, "delay is not above 0"}
	}
	return delay, nil
}

func parse(text, dated string, now time.Time) (delay time.Duration, ok bool) {
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

// Decimal parses a decimal number of 0 or more that consists of digits and at most one point, without sign or exponent. A number too large for a
// float64 is returned as infinity.
func Decimal(text string) (number float64, ok bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false // has a sign or an exponent, or is not a number
	}
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil || math.IsInf(number, 1)
}
