package placing

// This file defines what a run tells, and the table of all ways.

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Count is what became of a class's requests.
type Count struct {
	InTime  int // whole, the first event and all pauses in time
	Late    int // whole
	Failed  int // their callers had left
	Refused int // twice
}

// Result is what a run came to.
type Result struct {
	Classes   []Count // in the order of the spec
	ReadAgain int     // tokens of shared parts read though another engine kept them
	Fetched   int     // tokens moved between engines
}

// percent is the whole that a share in 100 is taken of.
const percent = 100

// share is a part of a class's requests, in 100.
func (c Count) share(n int) float64 {
	all := c.InTime + c.Late + c.Failed + c.Refused
	if all == 0 {
		return 0
	}
	return percent * float64(n) / float64(all)
}

// add adds up two results of the same spec.
func (r *Result) add(o Result) {
	if r.Classes == nil {
		r.Classes = make([]Count, len(o.Classes))
	}
	for i, c := range o.Classes {
		r.Classes[i].InTime += c.InTime
		r.Classes[i].Late += c.Late
		r.Classes[i].Failed += c.Failed
		r.Classes[i].Refused += c.Refused
	}
	r.ReadAgain += o.ReadAgain
	r.Fetched += o.Fetched
}

// Compare runs all ways with all seeds and writes a table: by class the share in time,
// late, and not served, in 100, then the shared tokens read again and moved, in
// thousands a seed.
func Compare(w io.Writer, s *Spec) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, s.Name)
	for _, c := range s.Classes {
		fmt.Fprintf(t, "\t%s: in time\tlate\tnot served", c.Name)
	}
	fmt.Fprint(t, "\tread again\tmoved\n")
	for _, way := range Ways {
		var sum Result
		for seed := range s.Seeds {
			sum.add(Run(s, way, uint64(seed)+1))
		}
		fmt.Fprint(t, way.Name)
		for _, c := range sum.Classes {
			fmt.Fprintf(t, "\t%.1f\t%.1f\t%.1f", c.share(c.InTime), c.share(c.Late), c.share(c.Failed+c.Refused))
		}
		const thousand = 1000
		fmt.Fprintf(t, "\t%d\t%d\n", sum.ReadAgain/s.Seeds/thousand, sum.Fetched/s.Seeds/thousand)
	}
	return t.Flush()
}
