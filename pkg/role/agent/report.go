package agent

import (
	"slices"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/sched"
	"github.com/plantainstair/plantainstair/pkg/lifecycle"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// reportMaxAge is the age up to which a report is reused, so that watchers with
// the same interval share one.
const reportMaxAge = 50 * time.Millisecond

// reportCache builds load reports and reuses recent ones.
type reportCache struct {
	agent *Agent

	mu           sync.Mutex
	cachedReport *wirepb.LoadReport
	builtAt      time.Time
}

// CurrentLoad implements entry.Handler.
func (a *Agent) CurrentLoad() *wirepb.LoadReport { return a.loadReports.get() }

func (r *reportCache) get() *wirepb.LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.agent.now()
	if r.cachedReport == nil || now.Sub(r.builtAt) >= reportMaxAge {
		r.cachedReport = r.agent.buildReport()
		r.builtAt = now
	}
	return r.cachedReport
}

func (a *Agent) buildReport() *wirepb.LoadReport {
	load := a.queue.load()
	report := &wirepb.LoadReport{
		Host:            a.settings.Host,
		Incarnation:     a.upstream.incarnation(),
		Slots:           uint32(load.Slots),
		Running:         uint32(load.Running),
		TokensPerSecond: load.TokensPerSecond,
		FirstTokenMsP50: uint32(a.metrics.enginePrefill.median() / time.Millisecond),
		InterTokenUsP50: uint32(a.metrics.engineStep.median() / time.Microsecond),
		Draining:        a.lifecycle.State() != lifecycle.Ready || a.upstream.currentUpstream() == nil || !a.orders.isSynced() || a.upstream.draining.Load(),
		StaleConfig:     a.isConfigStale(),
		Links:           a.peers.links(),
	}
	for rank, l := range load.Ranks {
		report.Ranks = append(report.Ranks, &wirepb.RankLoad{
			Rank:            wireRank(sched.Rank(rank)),
			Queued:          uint32(l.Queued),
			QueuedTokens:    uint64(l.QueuedTokens),
			Running:         uint32(l.Running),
			EstimatedWaitMs: uint32(l.EstimatedWait / time.Millisecond),
		})
	}
	if v := a.control.View(); v != nil {
		report.Revision = v.Revision
	}
	a.upstream.addEngineLoad(report)
	return report
}

func wireRank(r sched.Rank) wirepb.Rank {
	switch r {
	case sched.Urgent:
		return wirepb.Rank_RANK_URGENT
	case sched.Batch:
		return wirepb.Rank_RANK_BATCH
	default:
		return wirepb.Rank_RANK_STANDARD
	}
}

// windowSize is the number of recent durations that the median is taken from.
const windowSize = 128

// durationWindow holds the most recent durations.
type durationWindow struct {
	mu     sync.Mutex
	values [windowSize]time.Duration
	count  int
}

func (w *durationWindow) add(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.values[w.count%windowSize] = d
	w.count++
}

// median returns the median of the recent durations, or zero without any.
func (w *durationWindow) median() time.Duration {
	w.mu.Lock()
	sorted := w.values
	n := min(w.count, windowSize)
	w.mu.Unlock()
	if n == 0 {
		return 0
	}
	slices.Sort(sorted[:n])
	return sorted[n/2]
}
