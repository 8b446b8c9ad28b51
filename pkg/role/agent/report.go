package agent

import (
	"slices"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/sched"
	"github.com/plantainstair/plantainstair/pkg/lifecycle"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// reportMaxAge lets watchers with the same interval share one report.
const reportMaxAge = 50 * time.Millisecond

// reporter builds load reports.
type reporter struct {
	agent *Agent

	mu    sync.Mutex
	last  *wirepb.LoadReport
	built time.Time
}

// CurrentLoad implements entry.Handler.
func (a *Agent) CurrentLoad() *wirepb.LoadReport { return a.reports.get() }

func (r *reporter) get() *wirepb.LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.agent.now()
	if r.last == nil || now.Sub(r.built) >= reportMaxAge {
		r.last = r.agent.buildReport()
		r.built = now
	}
	return r.last
}

func (a *Agent) buildReport() *wirepb.LoadReport {
	load := a.queue.load()
	report := &wirepb.LoadReport{
		Host:            a.set.Host,
		Incarnation:     a.upstream.incarnation(),
		Slots:           uint32(load.Slots),
		Running:         uint32(load.Running),
		TokensPerSecond: load.TokensPerSecond,
		FirstTokenMsP50: uint32(a.metrics.enginePrefill.median() / time.Millisecond),
		InterTokenUsP50: uint32(a.metrics.engineStep.median() / time.Microsecond),
		Draining:        a.lifecycle.State() != lifecycle.Ready || a.upstream.view() == nil || !a.orders.known() || a.upstream.draining.Load(),
		StaleConfig:     a.stale(),
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
	a.upstream.engineReport(report)
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

// samples is the number of recent durations that a median is taken from.
const samples = 128

// recent keeps the latest durations.
type recent struct {
	mu     sync.Mutex
	values [samples]time.Duration
	count  int
}

func (r *recent) add(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[r.count%samples] = d
	r.count++
}

// median returns the middle of the latest durations, or zero without any.
func (r *recent) median() time.Duration {
	r.mu.Lock()
	sorted := r.values
	n := min(r.count, samples)
	r.mu.Unlock()
	if n == 0 {
		return 0
	}
	slices.Sort(sorted[:n])
	return sorted[n/2]
}
