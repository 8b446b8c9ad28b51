package coordinator

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// metricSet holds the metrics of one coordinator.
type metricSet struct {
	set                        *metrics.Set
	connections                *metrics.Counter
	droppedMessages            *metrics.Counter
	polls                      *metrics.Counter
	lossReports                *metrics.Counter
	shortPolls                 *metrics.Counter
	reportedSuspects           *metrics.Counter
	pollTime                   *metrics.Histogram
	sentOrders                 *metrics.Counter
	acknowledgedConfigurations *metrics.Counter
	refusedConfigurations      *metrics.Counter
	relayedAnnouncements       *metrics.Counter
	quarantines                *metrics.Counter
	deniedPermits              *metrics.Counter
	refusedInstances           *metrics.Counter
	droppedInstances           *metrics.Counter
	unconfirmedDepartures      *metrics.Counter
}

func newMetrics() *metricSet {
	s := metrics.NewSet()
	return &metricSet{
		set:                        s,
		connections:                s.NewCounter("plantain_coordinator_engine_connections_total"),
		droppedMessages:            s.NewCounter("plantain_coordinator_messages_dropped_total"),
		polls:                      s.NewCounter("plantain_coordinator_polls_total"),
		lossReports:                s.NewCounter("plantain_coordinator_loss_reports_total"),
		shortPolls:                 s.NewCounter("plantain_coordinator_short_polls_total"),
		reportedSuspects:           s.NewCounter("plantain_coordinator_reported_suspects_total"),
		pollTime:                   s.NewHistogram("plantain_coordinator_poll_seconds"),
		sentOrders:                 s.NewCounter("plantain_coordinator_orders_total"),
		acknowledgedConfigurations: s.NewCounter("plantain_coordinator_configurations_acknowledged_total"),
		refusedConfigurations:      s.NewCounter("plantain_coordinator_configurations_refused_total"),
		relayedAnnouncements:       s.NewCounter("plantain_coordinator_announcements_relayed_total"),
		quarantines:                s.NewCounter("plantain_coordinator_quarantines_total"),
		deniedPermits:              s.NewCounter("plantain_coordinator_permits_denied_total"),
		refusedInstances:           s.NewCounter("plantain_coordinator_instances_refused_total"),
		droppedInstances:           s.NewCounter("plantain_coordinator_instances_dropped_total"),
		unconfirmedDepartures:      s.NewCounter("plantain_coordinator_departures_unconfirmed_total"),
	}
}

// capacity sets the gauge of the rate of typical requests that a data centre can serve.
func (m *metricSet) capacity(dataCentre string, perSecond float64) {
	m.set.GetOrCreateGauge(`plantain_coordinator_capacity_requests_per_second{data_centre=`+strconv.Quote(dataCentre)+`}`, nil).Set(perSecond)
}

// membership adds gauges of the committed membership, which tell whether a replacement of a
// member is complete.
func (m *metricSet) membership(selfID uint64, committedVoters func() []*wirepb.Voter) {
	m.set.NewGauge("plantain_coordinator_members", func() float64 { return float64(len(committedVoters())) })
	m.set.NewGauge("plantain_coordinator_is_voter", func() float64 { return float64(boolToInt(isVotingMember(committedVoters(), selfID))) })
}

// Metrics returns the metrics of this coordinator.
func (c *Coordinator) Metrics() *metrics.Set { return c.metrics.set }
