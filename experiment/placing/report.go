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
	// BytesDomains and BytesRegions are what requests and answers put on the links between
	// domains of a region, and between regions.
	BytesDomains, BytesRegions int
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
	r.BytesDomains += o.BytesDomains
	r.BytesRegions += o.BytesRegions
}

// Compare runs all ways with all seeds and writes a table: by class the share in time,
// late, and not served, in 100, then the shared tokens read again and moved, in
// thousands a seed, and where there are several regions the kilobytes between domains of one
// and between regions.
func Compare(w io.Writer, s *Spec) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, s.Name)
	for _, c := range s.Classes {
		fmt.Fprintf(t, "\t%s: in time\tlate\tnot served", c.Name)
	}
	fmt.Fprint(t, "\tread again\tmoved")
	if s.Regions > 1 {
		fmt.Fprint(t, "\tkB between domains\tbetween regions")
	}
	fmt.Fprintln(t)
	for _, way := range waysOf(s) {
		var sum Result
		for seed := range s.Seeds {
			sum.add(Run(s, way, uint64(seed)+1))
		}
		fmt.Fprint(t, way.Name)
		for _, c := range sum.Classes {
			fmt.Fprintf(t, "\t%.1f\t%.1f\t%.1f", c.share(c.InTime), c.share(c.Late), c.share(c.Failed+c.Refused))
		}
		const thousand = 1000
		fmt.Fprintf(t, "\t%d\t%d", sum.ReadAgain/s.Seeds/thousand, sum.Fetched/s.Seeds/thousand)
		if s.Regions > 1 {
			fmt.Fprintf(t, "\t%d\t%d", sum.BytesDomains/s.Seeds/thousand, sum.BytesRegions/s.Seeds/thousand)
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}
