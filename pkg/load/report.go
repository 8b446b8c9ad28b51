package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the highest value of the histograms. Longer latencies are
	// recorded as this value.
	maxLatency = time.Hour
	// histogramDigits is the number of significant digits, low enough to keep the
	// histograms of many organisations small.
	histogramDigits = 2
)

// Scopes of a group of results.
const (
	scopeTotal        = "total"
	scopeRank         = "rank"
	scopeOrganisation = "organisation"
	scopeMix          = "mix"
)

// Group holds the metrics of the requests that share a scope and name. Requests
// that arrived during the warm-up are excluded, except from Served and
// ReceivedTokens, which count by time of completion or receipt. Both exclude the
// time after the end of the arrivals, because the rate at which queued requests are
// then served does not represent the rate under load.
type Group struct {
	Scope, Name    string
	Offered        int
	Outcomes       [outcomeCount]int
	OfferedTokens  int // prompt plus requested output tokens
	Served         int // answers completed between the warm-up and the end of the arrivals
	ReceivedTokens int // tokens received between the warm-up and the end of the arrivals
	CodeCounts     map[string]int
	// FirstLatency is the time from the scheduled arrival to the first token of a
	// chat request or to the response of a service call, in microseconds.
	FirstLatency      *hdrhistogram.Histogram
	InterTokenLatency *hdrhistogram.Histogram // time between consecutive tokens, in microseconds
}

// Report holds the metrics of a run.
type Report struct {
	mu           sync.Mutex
	scenario     *Scenario
	groups       map[[2]string]*Group
	seconds      map[int]*SecondCounts
	models       map[string]*demand
	services     map[string]*demand
	MaxSendDelay time.Duration // largest delay of a send after its scheduled time
	Resends      int
}

// demand holds the totals of the requests for one model or service.
type demand struct {
	requests, served       int
	prompt, output, layers int // prompt and output tokens of all requests, and layers of the model
}

// SecondCounts counts the requests of one rank that arrived in one second of the
// run.
type SecondCounts struct {
	Second   int
	Rank     string
	Offered  int
	Outcomes [outcomeCount]int
}

func newReport(s *Scenario) *Report {
	return &Report{
		scenario: s,
		groups:   make(map[[2]string]*Group),
		seconds:  make(map[int]*SecondCounts),
		models:   make(map[string]*demand),
		services: make(map[string]*demand),
	}
}

// add records the result of a request.
func (p *Report) add(r *Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addSecond(r)
	p.addDemand(r)
	m := r.Arrival.Mix
	names := [...][2]string{
		{scopeTotal, "all"}, {scopeRank, m.Rank}, {scopeMix, m.Name}, {scopeOrganisation, r.Arrival.Organisation},
	}
	for _, name := range names {
		g := p.group(name[0], name[1])
		g.addServed(r, &p.scenario.Run)
		if p.isMeasured(r) {
			g.add(r)
		}
	}
	if p.isMeasured(r) {
		p.MaxSendDelay = max(p.MaxSendDelay, r.SendDelay)
		p.Resends += r.Resends
	}
}

// isMeasured reports whether the request arrived after the warm-up.
func (p *Report) isMeasured(r *Result) bool { return r.Arrival.ScheduledAt >= p.scenario.Run.WarmUp }

// inMeasuredWindow reports whether at is between the warm-up and the end of the
// arrivals.
func (run *Run) inMeasuredWindow(at time.Duration) bool { return at >= run.WarmUp && at < run.Duration }

func (p *Report) addDemand(r *Result) {
	m := r.Arrival.Mix
	demands, name := p.models, m.Model
	if m.Kind == KindService {
		demands, name = p.services, m.Service
	}
	d := demands[name]
	if d == nil {
		d = &demand{layers: m.Layers}
		demands[name] = d
	}
	if r.Outcome == Answered && p.scenario.Run.inMeasuredWindow(r.EndedAt) {
		d.served++
	}
	if p.isMeasured(r) {
		d.requests++
		d.prompt += r.Arrival.promptTokens()
		d.output += r.Arrival.MaxTokens
	}
}

// promptTokens returns the number of prompt tokens, including the one for the
// role.
func (a *Arrival) promptTokens() int { return len(a.Prompt) + 1 }

func (p *Report) addSecond(r *Result) {
	second := int(r.Arrival.ScheduledAt / time.Second)
	key := second*len(rankNames) + slices.Index(rankNames, r.Arrival.Mix.Rank)
	s := p.seconds[key]
	if s == nil {
		s = &SecondCounts{Second: second, Rank: r.Arrival.Mix.Rank}
		p.seconds[key] = s
	}
	s.Offered++
	s.Outcomes[r.Outcome]++
}

var rankNames = []string{"urgent", "standard", "batch"}

func (p *Report) group(scope, name string) *Group {
	key := [2]string{scope, name}
	g := p.groups[key]
	if g == nil {
		g = &Group{
			Scope: scope, Name: name, CodeCounts: make(map[string]int),
			FirstLatency: newHistogram(), InterTokenLatency: newHistogram(),
		}
		p.groups[key] = g
	}
	return g
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)
}

func (g *Group) addServed(r *Result, run *Run) {
	if r.Outcome == Answered && run.inMeasuredWindow(r.EndedAt) {
		g.Served++
	}
	for _, at := range r.TokenTimes {
		if run.inMeasuredWindow(at) {
			g.ReceivedTokens++
		}
	}
}

func (g *Group) add(r *Result) {
	a := r.Arrival
	g.Offered++
	g.Outcomes[r.Outcome]++
	if r.Code != "" {
		g.CodeCounts[r.Outcome.String()+" "+r.Code]++
	}
	if a.Mix.Kind == KindService {
		if r.Outcome == Answered {
			record(g.FirstLatency, r.EndedAt-a.ScheduledAt)
		}
		return
	}
	g.OfferedTokens += a.promptTokens() + a.MaxTokens
	if len(r.TokenTimes) == 0 {
		return
	}
	record(g.FirstLatency, r.TokenTimes[0]-a.ScheduledAt)
	for i := 1; i < len(r.TokenTimes); i++ {
		record(g.InterTokenLatency, r.TokenTimes[i]-r.TokenTimes[i-1])
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// Groups returns the groups of a scope. Ranks are sorted by descending urgency,
// other groups by name.
func (p *Report) Groups(scope string) []*Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*Group
	for _, g := range p.groups {
		if g.Scope == scope {
			out = append(out, g)
		}
	}
	slices.SortFunc(out, func(a, b *Group) int {
		if scope == scopeRank {
			return slices.Index(rankNames, a.Name) - slices.Index(rankNames, b.Name)
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return out
}

// Total returns the metrics of all requests.
func (p *Report) Total() *Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group(scopeTotal, "all")
}

// measuredDuration returns the duration of the run without the warm-up.
func (p *Report) measuredDuration() time.Duration {
	return p.scenario.Run.Duration - p.scenario.Run.WarmUp
}
