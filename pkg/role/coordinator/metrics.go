package coordinator

import "github.com/VictoriaMetrics/metrics"

// metricSet holds the metrics of one coordinator.
type metricSet struct {
	set         *metrics.Set
	connections *metrics.Counter
	dropped     *metrics.Counter
	polls       *metrics.Counter
	pollTime    *metrics.Histogram
	orders      *metrics.Counter
	changes     *metrics.Counter
	refused     *metrics.Counter
	relayed     *metrics.Counter
}

func newMetrics() *metricSet {
	s := metrics.NewSet()
	return &metricSet{
		set:         s,
		connections: s.NewCounter("plantain_coordinator_engine_connections_total"),
		dropped:     s.NewCounter("plantain_coordinator_messages_dropped_total"),
		polls:       s.NewCounter("plantain_coordinator_polls_total"),
		pollTime:    s.NewHistogram("plantain_coordinator_poll_seconds"),
		orders:      s.NewCounter("plantain_coordinator_orders_total"),
		changes:     s.NewCounter("plantain_coordinator_configurations_acknowledged_total"),
		refused:     s.NewCounter("plantain_coordinator_configurations_refused_total"),
		relayed:     s.NewCounter("plantain_coordinator_announcements_relayed_total"),
	}
}

// capacity sets the gauge of the rate of typical requests that a data centre can serve.
func (m *metricSet) capacity(dataCentre string, perSecond float64) {
	m.set.GetOrCreateGauge(`plantain_coordinator_capacity_requests_per_second{data_centre="`+dataCentre+`"}`, nil).Set(perSecond)
}

// Metrics returns the metrics of this coordinator.
func (c *Coordinator) Metrics() *metrics.Set { return c.metrics.set }
