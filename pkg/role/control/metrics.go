package control

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// controlMetrics are the metrics of one control process.
type controlMetrics struct {
	set              *metrics.Set
	proposals        *metrics.Counter
	leaderChanges    *metrics.Counter
	expiredUpstreams *metrics.Counter
	failedWatches    *metrics.Counter
	droppedMessages  *metrics.Counter
}

func newMetrics() *controlMetrics {
	set := metrics.NewSet()
	return &controlMetrics{
		set:              set,
		proposals:        set.NewCounter("plantain_control_proposals_total"),
		leaderChanges:    set.NewCounter("plantain_control_leader_changes_total"),
		expiredUpstreams: set.NewCounter("plantain_control_upstreams_expired_total"),
		failedWatches:    set.NewCounter("plantain_control_watches_failed_total"),
		droppedMessages:  set.NewCounter("plantain_control_raft_messages_dropped_total"),
	}
}

// countRefusal counts a refused command by the kind of its error.
func (m *controlMetrics) countRefusal(e *wirepb.Error) {
	if e == nil {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("plantain_control_refused_total{kind=%q}", e.GetKind())).Inc()
}

// countClaim counts the outcome of a claim operation.
func (m *controlMetrics) countClaim(operation, status string) {
	name := fmt.Sprintf("plantain_control_claims_total{operation=%q,status=%q}", operation, status)
	m.set.GetOrCreateCounter(name).Inc()
}

// addGauge adds a gauge that is read when metrics are collected.
func (m *controlMetrics) addGauge(name string, read func() float64) {
	m.set.NewGauge("plantain_control_"+name, read)
}
