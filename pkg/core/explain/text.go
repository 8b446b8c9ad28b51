package explain

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/locality"
)

// maxRows bounds the rows of a table in the text form. The JSON form has all of them.
const maxRows = 50

// DataCentreReason returns why the path of a stream is or is not in the data centre of the
// gateway.
func (s *Stream) DataCentreReason() string {
	own, hasOwn := DataCentre{}, false
	for _, d := range s.DataCentres {
		if d.Own {
			own, hasOwn = d, true
		}
	}
	switch {
	case len(s.Stages) == 0:
		return "no data centre has a path with capacity"
	case s.Crossings > 0:
		return "no data centre has a path with capacity of its own"
	case hasOwn && s.Stages[0].DataCentre == own.Name && s.LeavingShare > 0:
		return fmt.Sprintf("the gateway's own data centre serves this request; a share of %.2f leaves for a faster one", s.LeavingShare)
	case hasOwn && s.Stages[0].DataCentre == own.Name:
		return "no other data centre is faster by enough to leave the gateway's own one"
	case !hasOwn:
		return "the gateway's own data centre has no engine of the service"
	case !own.HasCapacity:
		return fmt.Sprintf("the gateway's own data centre has no path with capacity: %s", own.Limit)
	}
	return fmt.Sprintf("the best path of the gateway's own data centre costs %.1f ms more, and a share of %.2f leaves", own.CostMs-s.CostMs, s.LeavingShare)
}

// leavingShare returns the share of requests that leave the data centre of the gateway for
// the fastest other one with capacity.
func (s *Stream) leavingShare() float64 {
	own, fastest := DataCentre{}, DataCentre{}
	for _, d := range s.DataCentres {
		switch {
		case !d.HasCapacity:
		case d.Own:
			own = d
		case !fastest.HasCapacity || d.CostMs < fastest.CostMs:
			fastest = d
		}
	}
	switch {
	case !fastest.HasCapacity:
		return 0
	case !own.HasCapacity:
		return 1
	}
	return locality.Share(duration(own.CostMs), duration(fastest.CostMs))
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// ExplainDataCentre sets LeavingShare and Reason from the other fields.
func (s *Stream) ExplainDataCentre() {
	s.LeavingShare = s.leavingShare()
	s.Reason = s.DataCentreReason()
}

// WriteText writes the answer as text for people.
func (a *Answer) WriteText(w io.Writer) {
	fmt.Fprintf(w, "configuration %d, view %.1f s old, gateway in %s\n", a.ConfigurationVersion, float64(a.ViewAgeMs)/1000, a.DataCentre)
	if a.Stopping {
		fmt.Fprintln(w, "the gateway is stopping and refuses requests that would not end in time")
	}
	r := a.Route
	fmt.Fprintf(w, "route %s: %s, rank %d, %s, %s\n", r.Name, r.Kind, r.Rank,
		choose(r.MayRepeat, "may be repeated", "must not be repeated"), choose(r.Public, "public", "needs an API key"))
	for _, s := range a.Services {
		fmt.Fprintf(w, "\nservice %s", s.Name)
		if len(a.Services) > 1 {
			fmt.Fprintf(w, " (weight %d of %d)", s.Weight, s.TotalWeight)
		}
		fmt.Fprintln(w)
		switch {
		case s.Stream != nil:
			s.Stream.writeText(w)
		case s.Plain != nil:
			s.Plain.writeText(w)
		}
	}
}

func (s *Stream) writeText(w io.Writer) {
	fmt.Fprintf(w, "request of %d prompt and %d output tokens\n", s.PromptTokens, s.OutputTokens)
	if len(s.Stages) == 0 {
		fmt.Fprintf(w, "no path: %s; the request waits for up to %d ms and is then refused\n", s.Refusal, s.MaxWaitMs)
	} else {
		fmt.Fprintf(w, "path with an estimated cost of %.1f ms, %s\n", s.CostMs, choose(s.HasCapacity, "has capacity", "has no capacity"))
		if s.Crossings > 0 {
			fmt.Fprintf(w, "it crosses between data centres %d times; whether the link has room for it is decided when it is used\n", s.Crossings)
		}
	}
	fmt.Fprintln(w, s.Reason)
	if len(s.Stages) > 0 {
		writeTable(w, "ENGINE\tDATA CENTRE\tLAYERS", s.Stages, func(t io.Writer, p Stage) {
			fmt.Fprintf(t, "%s\t%s\t%d-%d\n", p.Engine, p.DataCentre, p.From, p.To-1)
		})
	}
	writeTable(w, "DATA CENTRE\tENGINES\tCOST\tCAPACITY", s.DataCentres, func(t io.Writer, d DataCentre) {
		cost := "-"
		if d.CostMs > 0 {
			cost = fmt.Sprintf("%.1f ms", d.CostMs)
		}
		fmt.Fprintf(t, "%s%s\t%d\t%s\t%s\n", d.Name, choose(d.Own, " (own)", ""), d.Engines, cost, choose(d.HasCapacity, "yes", "no: "+d.Limit))
	})
	if len(s.Engines) > 0 {
		writeTable(w, "RESTRICTED ENGINE\tDATA CENTRE\tEFFECT\tREASON", s.Engines, func(t io.Writer, e Restricted) {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", e.Engine, e.DataCentre, e.Effect, e.Reason)
		})
	}
}

func (p *Plain) writeText(w io.Writer) {
	pickable := 0
	for _, u := range p.Upstreams {
		if u.Pickable {
			pickable++
		}
	}
	if pickable == 0 {
		fmt.Fprintln(w, "no upstream can be picked")
	} else {
		fmt.Fprintf(w, "the one with fewer requests in progress of two random ones of %d upstreams\n", pickable)
	}
	if len(p.Upstreams) == 0 {
		return
	}
	writeTable(w, "UPSTREAM\tDATA CENTRE\tPICKABLE\tIN PROGRESS\tREASON", p.Upstreams, func(t io.Writer, u Upstream) {
		reason := u.Reason
		if u.Effect == LastChoice {
			reason = string(LastChoice) + ": " + reason
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\n", u.ID, u.DataCentre, choose(u.Pickable, "yes", "no"), u.InProgress, reason)
	})
}

func writeTable[T any](w io.Writer, header string, rows []T, row func(io.Writer, T)) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, header)
	for _, r := range rows[:min(len(rows), maxRows)] {
		row(t, r)
	}
	_ = t.Flush()
	if len(rows) > maxRows {
		fmt.Fprintf(w, "and %d more, which --json lists\n", len(rows)-maxRows)
	}
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}
