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

// Remaining is how many tokens are expected of an answer that has had done, which
// has grown past some of the class's: only the longer ones tell of it.
func (l *Lengths) Remaining(done int) float64 {
	have := float64(done)
	count, sum := 0.0, 0.0
	for i := bucketOf(have) + 1; i < lengthBuckets; i++ {
		count += l.buckets[i]
		sum += l.buckets[i] * math.Pow(lengthBase, float64(i)+0.5)
	}
	if count < 1 {
		return max(l.Mean()-have, l.Mean()/4)
	}
	return max(sum/count-have, 1)
}

func bucketOf(tokens float64) int {
	if tokens <= 1 {
		return 0
	}
	return min(int(math.Log(tokens)/math.Log(lengthBase)), lengthBuckets-1)
}
