package agent

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainstair/plantainstair/pkg/core/sched"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Bounds of label values.
const (
	maxOrganisationLabels = 64
	otherOrganisation     = "other"
)

// agentMetrics counts requests by rank, organisation and outcome. The first
// maxOrganisationLabels organisations have their own label; all others share
// one.
type agentMetrics struct {
	set *metrics.Set

	// Times of this agent's engine only, for load reports. Routing adds up the
	// stages of a chain, so the time of a whole chain would make its head look
	// slow and hide a slow later stage.
	enginePrefill durationWindow
	engineStep    durationWindow

	firstToken [sched.NumRanks]*metrics.Histogram
	interToken [sched.NumRanks]*metrics.Histogram
	queueWaits [sched.NumRanks]*metrics.Histogram
	tokens     [sched.NumRanks]*metrics.Counter

	mu                    sync.RWMutex
	labelledOrganisations map[string]bool
	requests              map[requestLabels]*requestMetrics
}

type requestLabels struct {
	kind         string
	rank         sched.Rank
	organisation string
	outcome      fault.Outcome
}

type requestMetrics struct {
	count   *metrics.Counter
	seconds *metrics.Histogram
}

func newMetrics() *agentMetrics {
	m := &agentMetrics{
		set:                   metrics.NewSet(),
		labelledOrganisations: make(map[string]bool),
		requests:              make(map[requestLabels]*requestMetrics),
	}
	for i := range sched.NumRanks {
		rank := sched.Rank(i).String()
		m.firstToken[i] = m.set.NewHistogram(fmt.Sprintf(`plantain_agent_first_token_seconds{rank=%q}`, rank))
		m.interToken[i] = m.set.NewHistogram(fmt.Sprintf(`plantain_agent_inter_token_seconds{rank=%q}`, rank))
		m.queueWaits[i] = m.set.NewHistogram(fmt.Sprintf(`plantain_agent_queue_wait_seconds{rank=%q}`, rank))
		m.tokens[i] = m.set.NewCounter(fmt.Sprintf(`plantain_agent_tokens_total{rank=%q}`, rank))
	}
	return m
}

func (m *agentMetrics) recordToken(rank wirepb.Rank, first bool, since time.Duration) {
	i := schedRank(rank)
	m.tokens[i].Inc()
	if first {
		m.firstToken[i].Update(since.Seconds())
		return
	}
	m.interToken[i].Update(since.Seconds())
}

func (m *agentMetrics) recordQueueWait(rank wirepb.Rank, d time.Duration) {
	m.queueWaits[schedRank(rank)].Update(d.Seconds())
}

// recordRequest counts a finished request by its outcome.
func (m *agentMetrics) recordRequest(kind string, rank wirepb.Rank, organisation string, err error, took time.Duration) {
	outcome := fault.Answered
	if err != nil {
		outcome = fault.As(err).Outcome
	}
	if outcome == fault.Unspecified {
		outcome = fault.MayHaveRun // both have the label "unknown", and a metric is registered only once
	}
	r := m.metricsOf(requestLabels{kind: kind, rank: schedRank(rank), organisation: organisation, outcome: outcome})
	r.count.Inc()
	r.seconds.Update(took.Seconds())
}

func (m *agentMetrics) metricsOf(l requestLabels) *requestMetrics {
	m.mu.RLock()
	r := m.requests[l]
	m.mu.RUnlock()
	if r != nil {
		return r
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if r = m.requests[l]; r != nil {
		return r
	}
	labels := fmt.Sprintf(`{kind=%q,rank=%q,organisation=%q,outcome=%q}`, l.kind, l.rank.String(), l.organisation, fault.OutcomeString(l.outcome))
	r = &requestMetrics{
		count:   m.set.NewCounter("plantain_agent_requests_total" + labels),
		seconds: m.set.NewHistogram("plantain_agent_request_seconds" + labels),
	}
	m.requests[l] = r
	return r
}

// boundedLabel returns the label of an organisation that is in the catalogue.
func (m *agentMetrics) boundedLabel(organisation string) string {
	m.mu.RLock()
	known := m.labelledOrganisations[organisation]
	full := len(m.labelledOrganisations) >= maxOrganisationLabels
	m.mu.RUnlock()
	if known {
		return organisation
	}
	if full {
		return otherOrganisation
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.labelledOrganisations) >= maxOrganisationLabels {
		return otherOrganisation
	}
	m.labelledOrganisations[organisation] = true
	return organisation
}

// organisationLabel returns the metric label of an organisation. The number of
// different labels is bounded.
func (a *Agent) organisationLabel(name string) string {
	v := a.control.View()
	if v == nil || v.Organisations[name] == nil {
		return otherOrganisation
	}
	return a.metrics.boundedLabel(name)
}
