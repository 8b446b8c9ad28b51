package experiment

import (
	"fmt"
	"math"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/plantainstair/plantainstair/pkg/load"
)

// Row is one figure of a comparison of the router with the baseline.
type Row struct {
	Name             string
	Router, Baseline float64
}

// writeRows prints the figures and, unless RouterOnly is set, those of the baseline
// and their ratio.
func (o *Options) writeRows(rows []Row) {
	t := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := "figure\trouter\t"
	if !o.RouterOnly {
		header += "baseline\trouter/baseline\t"
	}
	fmt.Fprintln(t, header)
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t", r.Name, formatFigure(r.Router))
		if !o.RouterOnly {
			fmt.Fprintf(t, "%s\t%s\t", formatFigure(r.Baseline), formatFigure(r.Router/r.Baseline))
		}
		fmt.Fprintln(t)
	}
	_ = t.Flush()
}

// formatFigure formats a figure, or a dash for a figure that is not available.
func formatFigure(v float64) string {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return "-"
	}
	return fmt.Sprintf("%.2f", v)
}

// ComparisonRows returns the figures of two runs of a scenario side by side.
func ComparisonRows(router, baseline *RunResult) []Row {
	a, b := router.figures(), baseline.figures()
	var rows []Row
	for i := range a {
		rows = append(rows, Row{Name: a[i].name, Router: a[i].value, Baseline: b[i].value})
	}
	return rows
}

type figure struct {
	name  string
	value float64
}

func (result *RunResult) figures() []figure {
	b := chatBound(result.Report)
	limit := SlotThroughputLimit(b.PromptTokensPerRequest, b.TokensPerRequest)
	offered := b.Offered * b.TokensPerRequest
	received := result.selectChat(func(*load.Result) bool { return true }).receivedRate
	out := []figure{
		{"chat offered (requests/s)", b.Offered},
		{"chat served (requests/s)", b.Served},
		{"tokens offered (/s)", offered},
		{"tokens received (/s)", received},
		{"bound with the slots (tokens/s)", limit},
		{"bound with full batches (tokens/s)", b.Limit * b.TokensPerRequest},
		{"received / lower of offered and slot bound (%)", 100 * received / min(offered, limit)},
	}
	for _, rank := range []string{"urgent", "standard", "batch"} {
		out = append(out, result.rankFigures(rank)...)
	}
	for outcome := load.NotRun; outcome <= load.NotSent; outcome++ {
		out = append(out, figure{"outcome " + outcome.String(), float64(result.CountOutcome(outcome))})
	}
	out = append(out, figure{"keys run twice", float64(result.RepeatedKeys)})
	out = append(out, figure{"mean queued at the first stage", result.MeanQueued[0]},
		figure{"mean queued at the second, holding the first", result.MeanQueued[1]})
	for _, group := range []string{"entry", "agent", "control", "engine", "service", "self"} {
		u := result.UsageByGroup[group]
		out = append(out, figure{fmt.Sprintf("cores of %s", group), u.CPU.Seconds() / result.MeasuredSeconds()})
	}
	out = append(out, figure{"cores of all", result.MeanCores()})
	out = append(out, figure{"cores of other work on the machine", result.MachineCPU.Seconds()/result.MeasuredSeconds() - result.MeanCores()})
	out = append(out, figure{"latest send (ms)", milliseconds(result.Report.MaxSendDelay)})
	return out
}

func (result *RunResult) rankFigures(rank string) []figure {
	s := result.selectChat(func(r *load.Result) bool { return r.Arrival.Mix.Rank == rank })
	return s.figures(rank)
}

func (s *chatSample) figures(name string) []figure {
	return []figure{
		{name + " offered (tokens/s)", s.offeredRate},
		{name + " received (tokens/s)", s.receivedRate},
		{name + " answered (%)", 100 * s.answeredShare},
		{name + " first token p50 (ms)", quantile(s.firstTokenTimes, 0.50)},
		{name + " first token p95 (ms)", quantile(s.firstTokenTimes, 0.95)},
		{name + " gap p50 (ms)", quantile(s.interTokenTimes, 0.50)},
		{name + " gap p95 (ms)", quantile(s.interTokenTimes, 0.95)},
	}
}

// chatSample holds the measurements of a selection of the chat requests.
type chatSample struct {
	offeredRate, receivedRate        float64 // generated tokens per second, requested and received; counts until the sample is complete
	answeredShare                    float64 // fraction of the requests
	firstTokenTimes, interTokenTimes []time.Duration
}

// selectChat returns the measurements of the chat requests that match keep. They
// include the requests that arrived after the warm-up, and all tokens received
// between the warm-up and the end of the arrivals.
func (result *RunResult) selectChat(keep func(*load.Result) bool) *chatSample {
	s := &chatSample{}
	run := &result.Scenario.Run
	requests, answered := 0, 0
	for _, r := range result.Results {
		if r.Arrival.Mix.Kind != load.KindChat || !keep(r) {
			continue
		}
		for _, at := range r.TokenTimes {
			if at >= run.WarmUp && at < run.Duration {
				s.receivedRate++
			}
		}
		if r.Arrival.ScheduledAt < run.WarmUp {
			continue
		}
		requests++
		s.offeredRate += float64(r.Arrival.MaxTokens)
		if r.Outcome == load.Answered {
			answered++
		}
		s.addResult(r)
	}
	s.offeredRate /= result.MeasuredSeconds()
	s.receivedRate /= result.MeasuredSeconds()
	s.answeredShare = float64(answered) / float64(requests)
	return s
}

func (s *chatSample) addResult(r *load.Result) {
	if len(r.TokenTimes) == 0 {
		return
	}
	s.firstTokenTimes = append(s.firstTokenTimes, r.TokenTimes[0]-r.Arrival.ScheduledAt)
	for i := 1; i < len(r.TokenTimes); i++ {
		s.interTokenTimes = append(s.interTokenTimes, r.TokenTimes[i]-r.TokenTimes[i-1])
	}
}

// quantile returns a quantile in milliseconds, or NaN if there are no values.
func quantile(d []time.Duration, q float64) float64 {
	if len(d) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(d))
	return milliseconds(sorted[int(q*float64(len(sorted)-1)+0.5)])
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
