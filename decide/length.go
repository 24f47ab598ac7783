package decide

// This file defines what is learnt of answer lengths: nobody knows how long an
// answer will be, so each class keeps a fading histogram. The invariant: an
// estimate is never below one token, and old lengths fade as new ones come.

import "math"

const (
	lengthBuckets = 64
	lengthBase    = 1.25  // each bucket is this much longer than the one before
	lengthFade    = 0.995 // weight left to older answers by each new one
	lengthPrior   = 250.0 // tokens expected before anything is known
	priorAnswers  = 4.0   // how many answers the prior counts for
)

// Lengths learns the lengths of one class's answers, in tokens.
type Lengths struct {
	buckets [lengthBuckets]float64
	count   float64
	sum     float64
}

// Add takes in the length of a whole answer.
func (l *Lengths) Add(tokens int) {
	for i := range l.buckets {
		l.buckets[i] *= lengthFade
	}
	l.count = l.count*lengthFade + 1
	l.sum = l.sum*lengthFade + float64(tokens)
	l.buckets[bucketOf(float64(tokens))]++
}

// Mean is the expected length.
func (l *Lengths) Mean() float64 {
	return max(1, (l.sum+lengthPrior*priorAnswers)/(l.count+priorAnswers))
}

// Quantile is a length that a share q of the answers does not exceed.
func (l *Lengths) Quantile(q float64) float64 {
	if l.count == 0 {
		return lengthPrior
	}
	seen := 0.0
	for i, n := range l.buckets {
		seen += n
		if seen >= q*l.count {
			return math.Pow(lengthBase, float64(i+1))
		}
	}
	return math.Pow(lengthBase, lengthBuckets)
}

func bucketOf(tokens float64) int {
	if tokens <= 1 {
		return 0
	}
	return min(int(math.Log(tokens)/math.Log(lengthBase)), lengthBuckets-1)
}
