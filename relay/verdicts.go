package relay

// This file defines how a box applies verdicts on what crashes upstreams, and how its log and state
// name them. The invariant: a line on a verdict, and on a request refused for it, names the crashes
// held against it as the lines of upstreams that ended do.

import (
	"maps"
	"strings"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// applyVerdicts logs what is withheld from now on and what no longer is. It also closes the
// connections of withheld runs that have produced no event yet, since those would crash their
// upstreams as well.
func (r *Relay) applyVerdicts(source string) {
	r.mu.Lock()
	now := r.now()
	withheld, withdrawn := r.crashSuspects.TakeVerdicts(now)
	for _, v := range withheld {
		for x, c := range r.runConns {
			if !x.eventsBegan.Load() && v.Holds(x.subjects()) {
				x.withheldRun.Store(true)
				_ = c.Close()
			}
		}
	}
	r.mu.Unlock()
	for _, v := range withheld {
		r.stats.count(verdictSubject(v) + "s_withheld")
		fields := r.verdictFields(v)
		fields["for_ms"], fields["why"] = (v.At + v.Hold - now).Milliseconds(), source
		r.cfg.Log.Event(verdictSubject(v), "withheld", fields)
	}
	for _, v := range withdrawn {
		r.stats.count(verdictSubject(v) + "s_released")
		fields := r.verdictFields(v)
		fields["why"] = source
		r.cfg.Log.Event(verdictSubject(v), "no longer withheld", fields)
	}
}

// verdictSubject names what a verdict is about in log lines and metrics.
func verdictSubject(v balance.Verdict) string {
	if v.Subjects[0].IsPart() {
		return "part"
	}
	return "content"
}

// verdictFields returns the fields that identify a verdict in log lines: what is withheld, and the
// crashes held against it, by which the lines of upstreams that ended are found.
func (r *Relay) verdictFields(v balance.Verdict) Fields {
	f := Fields{"ended": len(v.Crashed)}
	var parts, crashes []string
	for _, j := range v.Subjects {
		if j.IsPart() {
			parts = append(parts, formatContentHash(j.Hash))
			f["service"] = r.serviceName(j.Service)
			continue
		}
		f["content"] = formatContentHash(j.Hash)
	}
	for _, key := range v.Crashed {
		crashes = append(crashes, formatCrash(key))
	}
	if len(parts) > 0 {
		f["parts"] = strings.Join(parts, " ")
	}
	f["crashes"] = strings.Join(crashes, " ")
	return f
}

// serviceName returns the name of a service in the document in force; empty if it has none.
func (r *Relay) serviceName(key uint32) string {
	if d := r.published.document(); d != nil {
		for _, s := range d.Services {
			if balance.ServiceKey(s.Name) == key {
				return s.Name
			}
		}
	}
	return ""
}

// addVerdictFields adds to the log line of a withheld request what it is withheld for.
func (r *Relay) addVerdictFields(f Fields, x *exchange) {
	r.mu.Lock()
	v, found := r.crashSuspects.VerdictOn(r.now(), x.subjects()...)
	r.mu.Unlock()
	if found {
		maps.Copy(f, r.verdictFields(v))
	}
}

// withheldRow is a verdict as shown to operators.
func (r *Relay) withheldRow(v balance.Verdict) *wire.WithheldRow {
	row := &wire.WithheldRow{Ended: uint32(len(v.Crashed)), Left: uint64((v.At + v.Hold - r.now()).Microseconds())}
	for _, j := range v.Subjects {
		if j.IsPart() {
			row.Parts, row.Service = append(row.Parts, formatContentHash(j.Hash)), r.serviceName(j.Service)
			continue
		}
		row.Content = formatContentHash(j.Hash)
	}
	for _, key := range v.Crashed {
		row.Crashes = append(row.Crashes, formatCrash(key))
	}
	return row
}
