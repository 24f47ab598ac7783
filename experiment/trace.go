package experiment

// This file defines the trace of arrivals. It is generated once for a scenario and a
// seed, and is the same for every policy.

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// arrival is one request of the trace.
type arrival struct {
	at       time.Duration // from the first possible arrival
	class    int
	customer int
	box      int    // random; its box is this modulo the number of boxes
	tokens   int    // of the answer
	prefix   uint64 // 0 if none
}

// makeTrace generates the arrivals of a scenario, in the order of time.
func makeTrace(s *Spec, sc *Scenario, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 11))
	var out []arrival
	for i := range s.Classes {
		out = append(out, classTrace(s, sc, i, random)...)
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

// classTrace generates the arrivals of one class as a Poisson process.
func classTrace(s *Spec, sc *Scenario, class int, random *rand.Rand) []arrival {
	c := &s.Classes[class]
	load := s.Load
	if sc.Load > 0 {
		load = sc.Load
	}
	rate := load * s.capacity() * c.Share / c.Length
	var out []arrival
	for at := time.Duration(0); at < s.Duration.Std(); {
		current := rate
		if sc.Burst == c.Name && at >= sc.From.Std() && at < sc.To.Std() {
			current *= sc.Factor
		}
		at += time.Duration(random.ExpFloat64() / current * float64(time.Second))
		a := arrival{at: at, class: class, customer: skewed(random, s.Customers), box: random.IntN(1 << 20), tokens: length(c, sc, random)}
		if c.Prefixes > 0 {
			a.prefix = uint64(class+1)<<32 | uint64(1+skewed(random, c.Prefixes))
		}
		out = append(out, a)
	}
	return out
}

// skewed draws a number from 0 to n-1, small ones more often, since a few customers send
// most of the traffic.
func skewed(random *rand.Rand, n int) int {
	u := random.Float64()
	return int(u * u * float64(max(n, 1)))
}

// length draws the tokens of an answer from a lognormal distribution with the class's mean.
func length(c *ClassSpec, sc *Scenario, random *rand.Rand) int {
	mu := math.Log(c.Length) - c.Spread*c.Spread/2
	n := math.Exp(mu + c.Spread*random.NormFloat64())
	long := random.Float64() < 0.1
	if long && sc.Longer > 0 {
		n *= sc.Longer
	}
	return max(1, int(n))
}
