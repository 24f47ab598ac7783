package placing

// This file defines the results of a run, and the table that compares the ways of deciding.

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Count is the number of a class's requests by outcome.
type Count struct {
	InTime  int // complete, with the first event and all gaps within their targets
	Late    int // complete, but late
	Failed  int // the caller disconnected first
	Refused int // and refused again on the retry
}

// Result is the result of a run.
type Result struct {
	Classes   []Count // in the order of the spec
	ReadAgain int     // tokens of shared parts prefilled although another engine had them cached
	Fetched   int     // tokens transferred between engines
	// BytesDomains and BytesRegions are the bytes of requests and answers on links between
	// the domains of a region, and between regions.
	BytesDomains, BytesRegions int
}

// percent converts a fraction to a percentage.
const percent = 100

// share returns n as a percentage of the class's requests.
func (c Count) share(n int) float64 {
	all := c.InTime + c.Late + c.Failed + c.Refused
	if all == 0 {
		return 0
	}
	return percent * float64(n) / float64(all)
}

// add adds another result of the same spec to r.
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

// Compare runs all ways of deciding with all seeds and writes a table. For each class it has the
// percentages in time, late and not served; then the shared tokens prefilled again and
// transferred, in thousands per seed; and, with several regions, the kilobytes per seed between
// the domains of a region and between regions.
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
