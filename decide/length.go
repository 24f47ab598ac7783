package decide

// This file defines the estimate of answer lengths. The length of an answer is not
// known in advance, so each class keeps a histogram of past lengths whose old
// samples decay exponentially. The invariant: an estimate is at least one token.

import "math"

const (
	lengthBuckets = 64
	lengthBase    = 1.25  // ratio of the lengths of adjacent buckets
	lengthDecay   = 0.995 // factor applied to older samples by each new one
	lengthPrior   = 250.0 // mean length assumed without samples, in tokens
	priorAnswers  = 4.0   // weight of lengthPrior, in answers
)

// Lengths estimates the lengths of one class's answers, in tokens. The zero value
// is ready for use.
type Lengths struct {
	buckets [lengthBuckets]float64
	count   float64
	sum     float64
}

// Add records the length of a complete answer.
func (l *Lengths) Add(tokens int) {
	for i := range l.buckets {
		l.buckets[i] *= lengthDecay
	}
	l.count = l.count*lengthDecay + 1
	l.sum = l.sum*lengthDecay + float64(tokens)
	l.buckets[bucketOf(float64(tokens))]++
}

// Mean returns the expected length of an answer, in tokens.
func (l *Lengths) Mean() float64 {
	return max(1, (l.sum+lengthPrior*priorAnswers)/(l.count+priorAnswers))
}

// Remaining returns the expected number of further tokens of an answer that has
// the given number of tokens already. Only the longer answers of the class count.
func (l *Lengths) Remaining(tokens int) float64 {
	generated := float64(tokens)
	count, sum := 0.0, 0.0
	for i := bucketOf(generated) + 1; i < lengthBuckets; i++ {
		count += l.buckets[i]
		sum += l.buckets[i] * math.Pow(lengthBase, float64(i)+0.5)
	}
	if count < 1 {
		return max(l.Mean()-generated, l.Mean()/4)
	}
	return max(sum/count-generated, 1)
}

// bucketOf returns the index of the bucket for a length.
func bucketOf(tokens float64) int {
	if tokens <= 1 {
		return 0
	}
	return min(int(math.Log(tokens)/math.Log(lengthBase)), lengthBuckets-1)
}
