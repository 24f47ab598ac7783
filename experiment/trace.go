package experiment

// This file defines the arrivals: drawn once for a scenario and seed, and the
// same for every policy.

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// arrival is one caller's request.
type arrival struct {
	at       time.Duration
	class    int
	customer int
	box      int // drawn large; taken modulo the number of boxes
	tokens   int
	prefix   uint64
}

// makeTrace draws the arrivals of a scenario.
func makeTrace(s *Spec, sc *Scenario, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 11))
	var out []arrival
	for i := range s.Classes {
		out = append(out, classTrace(s, sc, i, random)...)
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

func classTrace(s *Spec, sc *Scenario, class int, random *rand.Rand) []arrival {
	c := &s.Classes[class]
	load := s.Load
	if sc.Load > 0 {
		load = sc.Load
	}
	rate := load * s.capacity() * c.Share / c.Length
	var out []arrival
	for at := time.Duration(0); at < s.Duration.Std(); {
		now := rate
		if sc.Burst == c.Name && at >= sc.From.Std() && at < sc.To.Std() {
			now *= sc.Factor
		}
		at += time.Duration(random.ExpFloat64() / now * float64(time.Second))
		a := arrival{at: at, class: class, customer: skewed(random, s.Customers), box: random.IntN(1 << 20), tokens: length(c, sc, random)}
		if c.Prefixes > 0 {
			a.prefix = uint64(class+1)<<32 | uint64(1+skewed(random, c.Prefixes))
		}
		out = append(out, a)
	}
	return out
}

// skewed draws below n so that a few are drawn often, as few customers are large.
func skewed(random *rand.Rand, n int) int {
	u := random.Float64()
	return int(u * u * float64(max(n, 1)))
}

// length draws an answer's length, lognormal with the class's mean.
func length(c *ClassSpec, sc *Scenario, random *rand.Rand) int {
	mu := math.Log(c.Length) - c.Spread*c.Spread/2
	n := math.Exp(mu + c.Spread*random.NormFloat64())
	long := random.Float64() < 0.1
	if long && sc.Longer > 0 {
		n *= sc.Longer
	}
	return max(1, int(n))
}
