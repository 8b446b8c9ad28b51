package load

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// maxTableOrganisations limits the organisations in the table. The CSV file
// lists all of them.
const maxTableOrganisations = 20

var quantiles = []float64{50, 95, 99, 100}

var scopes = []string{scopeTotal, scopeRank, scopeMix, scopeOrganisation}

// WriteTable writes the report as an aligned text table, followed by the
// throughput bounds and the error codes.
func (p *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "group\toffered/s\tserved/s\ttokens/s\tanswered\tnot_run\tunknown\ttruncated\twrong\tnot_sent\tfirst p50\tp95\tp99\tmax\tgap p50\tp95\tp99\tmax\t")
	for _, scope := range scopes {
		for i, g := range p.Groups(scope) {
			if scope == scopeOrganisation && i >= maxTableOrganisations {
				fmt.Fprintf(t, "(more organisations in the CSV file)\t\n")
				break
			}
			p.writeRow(t, g)
		}
	}
	if err := t.Flush(); err != nil {
		return fault.Wrap(err, fault.Internal, "write table")
	}
	p.writeBounds(w)
	p.writeNotes(w)
	return nil
}

func (p *Report) writeRow(t io.Writer, g *Group) {
	seconds := p.measuredDuration().Seconds()
	fmt.Fprintf(t, "%s %s\t%.2f\t%.2f\t%.1f\t", g.Scope, g.Name,
		float64(g.Offered)/seconds, float64(g.Served)/seconds, float64(g.ReceivedTokens)/seconds)
	for _, n := range g.Outcomes {
		fmt.Fprintf(t, "%d\t", n)
	}
	for _, h := range []*hdrhistogram.Histogram{g.FirstLatency, g.InterTokenLatency} {
		for _, q := range quantiles {
			fmt.Fprintf(t, "%s\t", milliseconds(h, q))
		}
	}
	fmt.Fprintln(t)
}

// milliseconds formats a percentile in milliseconds, or a dash for an empty
// histogram.
func milliseconds(h *hdrhistogram.Histogram, quantile float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	us := h.ValueAtQuantile(quantile)
	return strconv.FormatFloat(float64(us)/float64(time.Millisecond/time.Microsecond), 'f', 1, 64)
}

func (p *Report) writeBounds(w io.Writer) {
	for _, b := range p.ThroughputBounds() {
		if b.Limit == 0 {
			continue // no capacities in the scenario
		}
		fmt.Fprintf(w, "\n%s %s: offered %.2f/s, bound %.2f/s, served %.2f/s (%.1f%% of the lower)",
			b.Kind, b.Name, b.Offered, b.Limit, b.Served, 100*b.Served/min(b.Offered, b.Limit))
		if b.Kind == "model" {
			fmt.Fprintf(w, "; bound of generated tokens %.1f/s", b.Limit*b.TokensPerRequest)
		}
	}
}

func (p *Report) writeNotes(w io.Writer) {
	total := p.Total()
	fmt.Fprintf(w, "\nlatencies in ms; measured %s after a warm-up of %s, seed %d; sends at most %s late; %d resends\n",
		p.measuredDuration(), p.scenario.Run.WarmUp, p.scenario.Run.Seed, p.MaxSendDelay.Round(time.Microsecond), p.Resends)
	for _, code := range slices.Sorted(maps.Keys(total.CodeCounts)) {
		fmt.Fprintf(w, "%s: %d\n", code, total.CodeCounts[code])
	}
}

// WriteCSV writes a header and one line per group.
func (p *Report) WriteCSV(w io.Writer) error {
	c := csv.NewWriter(w)
	header := []string{"scope", "name", "offered", "offered_per_s", "served_per_s", "offered_tokens", "received_tokens"}
	header = append(header, outcomeNames[:]...)
	for _, name := range []string{"first", "gap"} {
		for _, q := range quantiles {
			header = append(header, fmt.Sprintf("%s_ms_p%g", name, q))
		}
	}
	_ = c.Write(header)
	seconds := p.measuredDuration().Seconds()
	for _, scope := range scopes {
		for _, g := range p.Groups(scope) {
			row := []string{
				g.Scope, g.Name, strconv.Itoa(g.Offered),
				fmt.Sprintf("%.3f", float64(g.Offered)/seconds),
				fmt.Sprintf("%.3f", float64(g.Served)/seconds),
				strconv.Itoa(g.OfferedTokens), strconv.Itoa(g.ReceivedTokens),
			}
			row = append(row, counts(g.Outcomes)...)
			for _, h := range []*hdrhistogram.Histogram{g.FirstLatency, g.InterTokenLatency} {
				for _, q := range quantiles {
					row = append(row, milliseconds(h, q))
				}
			}
			_ = c.Write(row)
		}
	}
	c.Flush()
	return writeError(c.Error())
}

// WriteTimeline writes a CSV header and one line per second and rank. Requests
// are counted in the second of their scheduled arrival.
func (p *Report) WriteTimeline(w io.Writer) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := csv.NewWriter(w)
	_ = c.Write(append([]string{"second", "rank", "offered"}, outcomeNames[:]...))
	for _, key := range slices.Sorted(maps.Keys(p.seconds)) {
		s := p.seconds[key]
		row := []string{strconv.Itoa(s.Second), s.Rank, strconv.Itoa(s.Offered)}
		_ = c.Write(append(row, counts(s.Outcomes)...))
	}
	c.Flush()
	return writeError(c.Error())
}

func counts(o [outcomeCount]int) []string {
	out := make([]string, 0, len(o))
	for _, n := range o {
		out = append(out, strconv.Itoa(n))
	}
	return out
}

func writeError(err error) error {
	if err != nil {
		return fault.Wrap(err, fault.Internal, "write CSV")
	}
	return nil
}
