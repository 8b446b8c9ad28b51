package entry

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainstair/plantainstair/pkg/callers"
	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/core/sched"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// maxOrganisationLabels bounds the number of organisations with their own
	// time series; further organisations share one label.
	maxOrganisationLabels = 200
	// maxKindLabels bounds the number of error kinds with their own time
	// series, because agents may send kinds that the entry does not know.
	maxKindLabels = 64
	otherLabel    = "other"
	noLabel       = "none"
)

// entryMetrics holds the metrics of an entry.
type entryMetrics struct {
	set           *metrics.Set
	firstToken    [sched.NumRanks]*metrics.Histogram
	interToken    [sched.NumRanks]*metrics.Histogram
	repairs       *metrics.Counter
	retries       *metrics.Counter
	preemptions   *metrics.Counter
	retriesDenied *metrics.Counter
	ejections     *metrics.Counter

	mu            sync.Mutex
	organisations map[string]struct{}
	kinds         map[string]struct{}
	requests      map[requestLabels]*metrics.Counter
}

type requestLabels struct {
	operation, organisation string
	rank                    wirepb.Rank
	outcome                 fault.Outcome
}

func newEntryMetrics() *entryMetrics {
	set := metrics.NewSet()
	m := &entryMetrics{
		set:           set,
		repairs:       set.NewCounter("plantain_entry_stream_repairs_total"),
		retries:       set.NewCounter("plantain_entry_retries_total"),
		preemptions:   set.NewCounter("plantain_entry_preemptions_total"),
		retriesDenied: set.NewCounter("plantain_entry_retries_denied_total"),
		ejections:     set.NewCounter("plantain_entry_ejections_total"),
		organisations: make(map[string]struct{}),
		kinds:         make(map[string]struct{}),
		requests:      make(map[requestLabels]*metrics.Counter),
	}
	for r := range sched.Rank(sched.NumRanks) {
		m.firstToken[r] = set.NewHistogram(fmt.Sprintf("plantain_entry_first_token_seconds{rank=%q}", r.String()))
		m.interToken[r] = set.NewHistogram(fmt.Sprintf("plantain_entry_inter_token_seconds{rank=%q}", r.String()))
	}
	return m
}

// addEntryGauges adds the gauges that read the state of the entry.
func (m *entryMetrics) addEntryGauges(e *Entry) {
	m.set.NewGauge("plantain_entry_in_progress", func() float64 { return float64(e.requestLimiter.inProgress.Load()) })
	m.set.NewGauge("plantain_entry_config_age_seconds", func() float64 {
		return e.opts.Now().Sub(e.opts.Control.Confirmed()).Seconds()
	})
	m.set.NewGauge("plantain_entry_upstreams", e.countUpstreams((*route.Table).Len))
	m.set.NewGauge("plantain_entry_usable_upstreams", e.countUpstreams((*route.Table).UsableCount))
}

func (e *Entry) countUpstreams(count func(*route.Table) int) func() float64 {
	return func() float64 {
		s := e.snapshot.Load()
		if s == nil {
			return 0
		}
		return float64(count(s.table))
	}
}

// countRequest counts a finished request and its error, if any.
func (m *entryMetrics) countRequest(rec callers.RequestRecord) {
	m.requestCounter(rec).Inc()
	if rec.Kind == "" {
		return
	}
	m.mu.Lock()
	kind := boundLabel(m.kinds, string(rec.Kind), maxKindLabels)
	m.mu.Unlock()
	m.set.GetOrCreateCounter(fmt.Sprintf("plantain_entry_errors_total{kind=%q,outcome=%q}",
		kind, fault.OutcomeString(rec.Outcome))).Inc()
}

func (m *entryMetrics) requestCounter(rec callers.RequestRecord) *metrics.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	labels := requestLabels{rec.Operation, boundLabel(m.organisations, rec.Organisation, maxOrganisationLabels), rec.Rank, rec.Outcome}
	c := m.requests[labels]
	if c == nil {
		c = m.set.GetOrCreateCounter(fmt.Sprintf("plantain_entry_requests_total{operation=%q,organisation=%q,rank=%q,outcome=%q}",
			labels.operation, labels.organisation, rankLabel(labels.rank), fault.OutcomeString(labels.outcome)))
		m.requests[labels] = c
	}
	return c
}

// boundLabel returns the label of a value and adds it to known. Once known holds
// limit values, new values share one label.
func boundLabel(known map[string]struct{}, value string, limit int) string {
	if value == "" {
		return noLabel
	}
	if _, ok := known[value]; ok {
		return value
	}
	if len(known) >= limit {
		return otherLabel
	}
	known[value] = struct{}{}
	return value
}

func rankLabel(r wirepb.Rank) string {
	if rank, ok := schedRank(r); ok {
		return rank.String()
	}
	return noLabel
}

// recordToken records the time to the first token or between two tokens.
func (m *entryMetrics) recordToken(rank sched.Rank, first bool, d time.Duration) {
	if first {
		m.firstToken[rank].Update(d.Seconds())
		return
	}
	m.interToken[rank].Update(d.Seconds())
}
