package capacity

// This file defines the generated page. Each figure in it is a slope times a size;
// the surrounding text states no figures but those of the target and the budgets.

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/doormast/doormast/experiment"
)

// The target size, as the users specified it.
const (
	daemons      = 2700
	runners      = 10000
	domains      = 29
	requestRate  = 110000.0 // requests a second, all daemons
	tokenRate    = 27e6     // tokens a second, all daemons
	customerRows = 820
	models       = 28
	changesADay  = 16000.0
	failuresADay = 190.0
	restartsADay = 1700.0
	tokenPace    = 0.06 // seconds for each token of an answer
	// Budgets of one daemon for control.
	budgetCore       = 0.028     // share of a core
	budgetMemory     = 256 << 20 // bytes
	budgetBytes      = 7000.0    // sent, a second
	budgetChange     = 4.0       // seconds until a table change is in force on all boxes
	budgetFirstToken = 0.62      // seconds to the first token
)

const (
	secondsADay  = 86400.0
	boxes        = daemons / domains // of a failure domain
	httpOverhead = 800.0             // bytes of a pull in addition to its content
	tablesKept   = 16                // past revisions that a box can compute a delta from
	eventsKept   = 20000             // in a box's timeline ring
	setsOfOwner  = 3                 // sets owned by the busiest box, with 28 sets distributed over 93 boxes
)

// figures holds the slopes and the figures computed from them for the target size.
type figures struct {
	*Slopes
	rate      float64 // requests a second for each box
	running   float64 // concurrent requests of a box
	idle      experiment.CellResult
	busy      experiment.CellResult
	overload  experiment.CellResult // offered 1.5 times its capacity
	table     float64               // bytes of the table document at the target size
	changes   float64               // table changes a second
	memory    []memoryItem
	memorySum float64
}

// memoryItem is one row of the memory table: count items of bytesEach bytes, kept by
// the named component.
type memoryItem struct {
	name      string
	count     float64
	bytesEach float64
	component string
}

// computeFigures extrapolates the slopes to the target size.
func computeFigures(s *Slopes) *figures {
	f := &figures{Slopes: s}
	f.rate = requestRate / daemons
	f.running = f.rate * tokenRate / requestRate * tokenPace
	for _, c := range s.Cells {
		switch {
		case c.Boxes == boxes && c.Rate == 0:
			f.idle = c
		case c.Rate == overloadRate:
			f.overload = c
		case c.Boxes == boxes:
			f.busy = c
		}
	}
	f.table = float64(s.Table.Document) + (runners-float64(s.Table.Upstreams))*s.Table.UpstreamRow + (customerRows-float64(s.Table.Customers))*s.Table.CustomerRow
	f.changes = changesADay / secondsADay
	setRunning := f.running * boxes / models
	f.memory = []memoryItem{
		{"requests it carries", f.running, s.Memory["request, at its holder"], "`cell.Node`, holder.go"},
		{"leases of the sets it owns", setsOfOwner * setRunning, s.Memory["lease, at its owner"], "`decide.Pool`"},
		{"waiting requests of the sets it owns (full queues)", setsOfOwner * 1000, s.Memory["waiting request, at its owner"], "`decide.Pool`"},
		{"upstreams of the sets it owns", setsOfOwner * float64(runners) / domains / models, s.Memory["upstream, at its owner"], "`decide.Pool`"},
		{"customers in the classes of the sets it owns", setsOfOwner * customerRows, s.Memory["customer in a class, at its owner"], "`decide.Pool`"},
		{"shares of limits (two for a customer, one for a class)", 2*customerRows + models, s.Memory["share of a limit"], "`decide.Share`"},
		{"idempotency keys of 10 minutes (one request in a hundred has one)", f.rate / 100 * 600, s.Memory["idempotency key"], "`decide.Claims`"},
		{"boxes of the domain", boxes, s.Memory["box of the domain"], "`cell.membership`"},
		{"boxes of other domains", daemons - boxes, s.Memory["box of another domain"], "`cell.Roster`"},
		{"rows of the tables kept", tablesKept * (runners + customerRows), s.Memory["row of a table"], "`tableHistory`"},
		{"events of the time line", eventsKept, s.Memory["time line event"], "`timeline.Ring`"},
	}
	for _, l := range f.memory {
		f.memorySum += l.count * l.bytesEach
	}
	return f
}

// tableBytes returns the bytes a second that a box transfers for table changes.
func (f *figures) tableBytes() float64 { return f.changes * (float64(f.Table.Delta) + httpOverhead) }

// tableCore returns the share of a core that a box spends on applying table deltas.
func (f *figures) tableCore() float64 {
	return f.changes * f.Table.Apply * f.table / float64(f.Table.Document)
}

// readerCore returns the share of a core that a box which reads the table from the
// platform spends on parsing the whole document after each change.
func (f *figures) readerCore() float64 {
	return f.changes * f.Table.Parse * f.table / float64(f.Table.Document)
}

// WritePage writes the page in Markdown. The error is that of w.
func WritePage(w io.Writer, s *Slopes) error {
	f := computeFigures(s)
	var b strings.Builder
	f.head(&b)
	f.budgets(&b)
	f.roles(&b)
	f.memoryTable(&b)
	f.cellTable(&b)
	f.decisions(&b)
	f.failures(&b)
	f.growth(&b)
	f.sweeps(&b)
	f.limits(&b)
	f.slopes(&b)
	_, err := io.WriteString(w, b.String())
	return err
}

func (f *figures) head(b *strings.Builder) {
	fmt.Fprintf(b, `# Capacity

What each role needs at the size that the system is built towards, worked out from
measured slopes. This page is written by `+"`doormast capacity page docs/capacity/slopes.json`"+`
from the slopes that `+"`doormast capacity measure`"+` took on %s with %s on %d cores; a
test fails if it does not follow from them. The slopes of one failure domain come
from the shipped control code on a virtual clock, with every datagram sealed and
opened; those of the edges from a real daemon's library on loopback, with stand-ins
in the same process. No fleet of this size was run.

The target: %d daemons before %d runners in %d failure domains, so %d daemons and %d
runners in each; %.0f requests and %.0f million tokens a second, so %.1f requests and
%.0f tokens a second for each daemon, which carries %.0f requests at once at 60 ms a
token; %d customers, %d models; %.0f changes, %.0f failures and %.0f restarts a day.

`, f.Date, f.Go, f.Cores, daemons, runners, domains, boxes, runners/domains, requestRate, tokenRate/1e6, f.rate,
		tokenRate/daemons, f.running, customerRows, models, changesADay, failuresADay, restartsADay)
}

// verdict states how much of a budget is left, or by what factor it is exceeded.
func verdict(used, budget float64) string {
	if used <= budget {
		return fmt.Sprintf("%.0f %% left", 100*(1-used/budget))
	}
	return fmt.Sprintf("**over, %.1f times**", used/budget)
}

// worstSpread returns the slowest measured spread of a table change.
func (f *figures) worstSpread() experiment.SpreadResult {
	return slices.MaxFunc(f.Spread, func(a, b experiment.SpreadResult) int {
		if a.Seconds < b.Seconds {
			return -1
		}
		return 1
	})
}

func (f *figures) budgets(b *strings.Builder) {
	worst := f.worstSpread()
	row := func(name, budget, worked, room, breaks string) {
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s |\n", name, budget, worked, room, breaks)
	}
	b.WriteString("## Budgets of a daemon\n\n| budget | allowed | worked out | room | what breaks first |\n|---|---|---|---|---|\n")
	core := f.busy.Core + f.tableCore()
	row("processor for control, mean", "2.8 % of a core", fmt.Sprintf("%.2f %%", 100*core), verdict(core, budgetCore), "ticks that look at every request carried")
	most := f.busy.MostCore + f.tableCore()
	row("the same, busiest box", "2.8 % of a core", fmt.Sprintf("%.2f %%", 100*most), verdict(most, budgetCore), "bids to the owner of several sets")
	bytes := f.busy.Bytes + f.tableBytes()
	row("control sent, mean", "7 KB/s", fmt.Sprintf("%.1f KB/s", bytes/1000), verdict(bytes, budgetBytes), "bids, grants and releases that are not spared by kept slots")
	mostBytes := f.busy.MostBytes + f.tableBytes()
	row("control sent, busiest box", "7 KB/s", fmt.Sprintf("%.1f KB/s", mostBytes/1000), verdict(mostBytes, budgetBytes), "grants by the owner of several sets; ownership of a set would have to be divided")
	row("control sent under overload, mean", "7 KB/s", fmt.Sprintf("%.1f KB/s", f.overload.Bytes/1000), verdict(f.overload.Bytes, budgetBytes), "each request is bid for, and each refusal sent, by itself")
	row("processor under overload, busiest box", "2.8 % of a core", fmt.Sprintf("%.2f %%", 100*f.overload.MostCore), verdict(f.overload.MostCore, budgetCore), "the owner's decisions")
	reader := core + f.readerCore()
	row("processor of a table reader", "2.8 % of a core", fmt.Sprintf("%.2f %%", 100*reader), verdict(reader, budgetCore), "parsing the whole document for each change")
	received := bytes + f.changes*f.table
	row("control sent and received by a table reader", "7 KB/s", fmt.Sprintf("%.0f KB/s", received/1000), verdict(received, budgetBytes), "the platform sends the whole document for each change")
	row("memory for control", "256 MB", fmt.Sprintf("%.0f MB", f.memorySum/1e6), verdict(f.memorySum, budgetMemory), "rows of the tables kept to make deltas from")
	row("a change in force in a domain, readers dead, a tenth lost", "4 s", fmt.Sprintf("%.2f s", worst.Seconds), verdict(worst.Seconds, budgetChange), "the time until dead readers are suspected")
	first := f.Edge.AddedP99 / 1e6
	row("the system's part of the first token, without waiting", "0.62 s in all", fmt.Sprintf("%.2f ms median, %.2f ms 99th", f.Edge.AddedMedian/1000, f.Edge.AddedP99/1000),
		verdict(first, budgetFirstToken), "waiting for a slot, which is the policy's and not this page's")
	stream := tokenRate / daemons * f.Edge.EventNanos / 1e9
	row("carrying tokens (not control)", "none given", fmt.Sprintf("%.1f %% of a core", 100*stream), "", "processor of small boxes")
	row("open streams (not control)", "none given", fmt.Sprintf("%.0f MB", f.running*f.Edge.StreamBytes/1e6), "", "")
	b.WriteString("\n")
}

func (f *figures) roles(b *strings.Builder) {
	b.WriteString("## Roles\n\nMessages and bytes are those sent; what one sends another receives.\n\n" +
		"| role | state | messages a second | bytes a second | processor | mechanism |\n|---|---|---|---|---|---|\n")
	row := func(cells ...string) { fmt.Fprintf(b, "| %s |\n", strings.Join(cells, " | ")) }
	row("entry daemon as member", fmt.Sprintf("%d boxes", boxes), fmt.Sprintf("%.1f", f.idle.Messages), fmt.Sprintf("%.0f", f.idle.Bytes),
		fmt.Sprintf("%.2f %% of a core", 100*f.idle.Core), "`cell.membership`: probes in turn, suspicion, refutation")
	row("as carrier and owner together, mean", fmt.Sprintf("%.0f requests", f.running), fmt.Sprintf("%.1f", f.busy.Messages-f.idle.Messages),
		fmt.Sprintf("%.0f", f.busy.Bytes-f.idle.Bytes), fmt.Sprintf("%.2f %%", 100*(f.busy.Core-f.idle.Core)), "`cell` holder.go and owner.go, `decide.Pool`, kept slots")
	row("as owner of the most sets", fmt.Sprintf("%.0f leases", setsOfOwner*f.running*boxes/models), "", fmt.Sprintf("%.0f", f.busy.MostBytes-f.idle.Bytes),
		fmt.Sprintf("%.2f %%", 100*(f.busy.MostCore-f.idle.Core)), "the same")
	row("as owner of limits", fmt.Sprintf("%d shares", 2*customerRows+models), "only when a share runs out", fmt.Sprintf("%d for an ask, %d for a loan, each 5 s",
		f.Wire["ask"]+f.Wire["datagram"], f.Wire["lend"]+f.Wire["datagram"]), "not measured", "`decide.Share`: lending, no owner")
	row("as table reader (2 of a domain)", fmt.Sprintf("%d tables", tablesKept), fmt.Sprintf("%.2f reads", f.changes+2.0/5), fmt.Sprintf("%.0f received", f.changes*f.table),
		fmt.Sprintf("%.2f %%", 100*f.readerCore()), "`platform.HTTP`, `cell` published.go")
	row("as receiver of the table", fmt.Sprintf("%.2f MB document", f.table/1e6), fmt.Sprintf("%.2f pulls", f.changes), fmt.Sprintf("%.0f", f.tableBytes()),
		fmt.Sprintf("%.2f %%", 100*f.tableCore()), "`table.Delta`, pulls over connect")
	row("as time line source", fmt.Sprintf("%d events", eventsKept), "none unless asked", "none unless asked", "within the above", "`timeline.Ring`")
	row("operators' client", "what it shows", fmt.Sprintf("%d calls for a whole domain", boxes), "up to the rings' size", "not measured", "`doormast timeline`, `internal/ops`")
	row("the platform's service", "the table and list", fmt.Sprintf("%.1f calls", domains*2*2*(f.changes+1.0/5)), fmt.Sprintf("%.1f MB sent", domains*2*f.changes*f.table/1e6),
		"not ours", fmt.Sprintf("2 readers in each of %d domains, 2 watches each: %d watches", domains, domains*4))
	row("an upstream, as seen by us", "one report", "4 reports", "not ours", "not ours", "report duty of its set's owner alone")
	b.WriteString("\n")
}

func (f *figures) memoryTable(b *strings.Builder) {
	b.WriteString("## Memory for control\n\n| what | number | bytes each | MB | carried by |\n|---|---|---|---|---|\n")
	for _, l := range f.memory {
		fmt.Fprintf(b, "| %s | %.0f | %.0f | %.2f | %s |\n", l.name, l.count, l.bytesEach, l.count*l.bytesEach/1e6, l.component)
	}
	fmt.Fprintf(b, "| sum | | | %.1f | |\n\n", f.memorySum/1e6)
}

func (f *figures) cellTable(b *strings.Builder) {
	b.WriteString("## Control in a failure domain, by size\n\nMeans over the boxes, the busiest in brackets. Answers run 10 s here; the domain is near\nthree quarters full.\n\n" +
		"| boxes | upstreams | sets | requests/s of a box | running | B/s of a box | % of a core |\n|---|---|---|---|---|---|---|\n")
	for _, c := range f.Cells {
		fmt.Fprintf(b, "| %d | %d | %d | %g | %d | %.0f (%.0f) | %.3f (%.3f) |\n", c.Boxes, c.Upstreams, c.Sets, c.Rate, c.Running,
			c.Bytes, c.MostBytes, 100*c.Core, 100*c.MostCore)
	}
	b.WriteString("\nWithout requests the bytes do not grow with the domain. Processor time grows with it,\n" +
		"since each tick looks at each box of the domain. With requests, bytes grow with the\nnumber of sets that a box's requests are spread over: the fewer requests a second a\nbox has for one set, the less often a kept slot meets its next request.\n\n" +
		"| boxes | readers dead | datagrams lost | seconds until a change is in force |\n|---|---|---|---|\n")
	for _, s := range f.Spread {
		fmt.Fprintf(b, "| %d | %d | %.0f %% | %.2f |\n", s.Boxes, s.Dead, 100*s.Loss, s.Seconds)
	}
	b.WriteString("\n")
}

func (f *figures) decisions(b *strings.Builder) {
	b.WriteString("## A decision\n\nOne bid, one release and the grant that follows, at the owner, 345 upstreams in view.\n\n" +
		"| waiting | microseconds | allocations |\n|---|---|---|\n")
	for _, d := range f.Decision {
		fmt.Fprintf(b, "| %d | %.2f | %.1f |\n", d.Waiting, d.Nanos/1000, d.Allocs)
	}
	b.WriteString("\n")
}

func (f *figures) failures(b *strings.Builder) {
	full := float64(f.Wire["sighting"]*boxes + f.Wire["datagram"] + f.Wire["heartbeat"])
	news := float64(f.Wire["sighting"]) * 21 * boxes
	b.WriteString("## Failures\n\nBytes over the whole domain unless said otherwise.\n\n| event | how often | cost | time |\n|---|---|---|---|\n")
	fmt.Fprintf(b, "| a box restarts or is replaced | %.0f a day in all, %.2f an hour in a domain | its first full lists, up to %.0f KB; news of it, %.0f KB; the table, %.2f MB | joins in about 0.6 s, owns what is its own after that |\n",
		restartsADay, restartsADay/domains/24, 12*4*full/1000, news/1000, f.table/1e6)
	fmt.Fprintf(b, "| a box fails | %.0f a day in all | news of it, twice %.0f KB; full lists to the new owners of its sets | suspected in under 1 s, dropped 1.5 s later; its leases are free then |\n",
		failuresADay, news/1000)
	fmt.Fprintf(b, "| a rack or switch | weekly | as its boxes, together | the same |\n")
	fmt.Fprintf(b, "| a domain | a few times a year | %.1f MB of tables from the platform or peers when it returns | not measured at this size |\n", boxes*f.table/1e6)
	fmt.Fprintf(b, "| a region cut off for minutes | several a year | none while cut; then one pull of the missed changes for each box, %.0f KB for ten minutes of them | a tick after the first heartbeat or read |\n\n",
		600*f.changes*float64(f.Table.Delta)/1000)
}

func (f *figures) growth(b *strings.Builder) {
	b.WriteString(`## What grows with what

| mechanism | grows with |
|---|---|
| probes and suspicion | nothing for the bytes of a box; the domain for its state |
| leases, kept slots, renewals | a box's own requests and the sets they are spread over |
| ownership | sets of the domain |
| limits | customers; asks only where a share runs out |
| idempotency keys | a box's own keys |
| table changes | changes; each box takes each delta once |
| table document | **the fleet**: its upstreams are rows of one document |
| list of boxes | **the fleet**: names and addresses of all boxes, for claims and overflow |
| spare summary | sets times other domains, spread over the owners |
| platform calls | domains |

`)
}

func (f *figures) limits(b *strings.Builder) {
	most := (1<<20 - (f.table - runners*f.Table.UpstreamRow)) / f.Table.UpstreamRow
	fmt.Fprintf(b, "## Where today's code stops\n\n- The table's document is %.2f MB at the target size, and the platform holds values up to a\n  megabyte: it stops at %.0f upstreams with %d customers. The upstreams of each failure\n  domain would have to be a value of their own, read by that domain alone.\n",
		f.table/1e6, most, customerRows)
	fmt.Fprintf(b, "- A table reader gets the whole document for each change, %.0f KB/s, and parses it, %.1f %% of\n  a core: both over budget. The same division into values would mend most of it, as most\n  changes are to a few rows.\n",
		f.changes*f.table/1000, 100*f.readerCore())
	if f.busy.MostBytes > budgetBytes {
		fmt.Fprintf(b, "- The busiest owner sends %.1f KB/s, over the 7 KB/s: ownership of a set would have to\n  be divided among several boxes, each with a part of its upstreams.\n", f.busy.MostBytes/1000)
	}
	b.WriteString("- Overflow and cuts between domains at this size, a whole domain's restart, and the\n  operators' client over a whole fleet are not measured.\n\n")
}

func (f *figures) slopes(b *strings.Builder) {
	b.WriteString("## The other slopes\n\n| message | bytes |\n|---|---|\n")
	for _, name := range sortedKeys(f.Wire) {
		fmt.Fprintf(b, "| %s | %d |\n", name, f.Wire[name])
	}
	b.WriteString("\n| memory of one more | bytes |\n|---|---|\n")
	for _, name := range sortedKeys(f.Memory) {
		fmt.Fprintf(b, "| %s | %.0f |\n", name, f.Memory[name])
	}
	fmt.Fprintf(b, "\n| edge | measured |\n|---|---|\n| streamed event, processor time of the daemon | %.1f µs, %.0f events/s on one core |\n| streamed event, allocations | %.2f |\n| request with an answer of one token, processor time of the daemon | %.0f µs, %.0f requests/s on one core |\n| open stream, memory, of 1,000 and of 4,000 | %.1f and %.1f KB |\n| added to the first byte | %.0f µs median, %.0f µs 99th |\n",
		f.Edge.EventNanos/1000, 1e9/f.Edge.EventNanos, f.Edge.EventAllocs, f.Edge.RequestNanos/1000, 1e9/f.Edge.RequestNanos, f.Edge.StreamBytes/1000, f.Edge.ManyBytes/1000, f.Edge.AddedMedian, f.Edge.AddedP99)
	fmt.Fprintf(b, "\n| table | measured |\n|---|---|\n| upstream's row | %.0f bytes |\n| customer's row | %.0f bytes |\n| parse of %d upstreams and %d customers | %.1f ms |\n| delta of one changed row | %d bytes, applied in %.1f ms |\n",
		f.Table.UpstreamRow, f.Table.CustomerRow, f.Table.Upstreams, f.Table.Customers, 1000*f.Table.Parse, f.Table.Delta, 1000*f.Table.Apply)
}

func sortedKeys[V any](m map[string]V) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
