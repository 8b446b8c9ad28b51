package gateway

import (
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainstair/plantainstair/pkg/httpconn"
)

// metricSet holds the metrics of one gateway.
type metricSet struct {
	set                *metrics.Set
	connections        *metrics.Counter
	repaths            *metrics.Counter
	brokenStreams      *metrics.Counter
	budgetSpent        *metrics.Counter
	quarantined        *metrics.Counter
	leavingReports     *metrics.Counter
	pauseReports       *metrics.Counter
	refusedByStop      *metrics.Counter
	streamsLeaving     *metrics.Counter // to another data centre
	lossReports        *metrics.Counter
	lossReportsDropped *metrics.Counter
	inProgress         *metrics.Counter
	firstByte          *metrics.Histogram
	requestTime        *metrics.Histogram
	closedAtLimit      [3]*metrics.Counter // by httpconn.Closed
}

func newMetrics() *metricSet {
	s := metrics.NewSet()
	m := &metricSet{
		set:                s,
		connections:        s.NewCounter("plantain_gateway_upstream_connections_total"),
		repaths:            s.NewCounter("plantain_gateway_repaths_total"),
		brokenStreams:      s.NewCounter("plantain_gateway_broken_streams_total"),
		budgetSpent:        s.NewCounter("plantain_gateway_retry_budget_spent_total"),
		quarantined:        s.NewCounter("plantain_gateway_quarantined_requests_total"),
		leavingReports:     s.NewCounter(`plantain_gateway_self_reports_total{state="leaving"}`),
		pauseReports:       s.NewCounter(`plantain_gateway_self_reports_total{state="paused"}`),
		refusedByStop:      s.NewCounter("plantain_gateway_refused_by_stop_total"),
		streamsLeaving:     s.NewCounter("plantain_gateway_streams_leaving_data_centre_total"),
		lossReports:        s.NewCounter("plantain_gateway_loss_reports_total"),
		lossReportsDropped: s.NewCounter("plantain_gateway_loss_reports_dropped_total"),
		inProgress:         s.NewCounter("plantain_gateway_requests_in_progress"),
		firstByte:          s.NewHistogram("plantain_gateway_first_byte_seconds"),
		requestTime:        s.NewHistogram("plantain_gateway_request_seconds"),
	}
	for _, which := range []httpconn.Closed{httpconn.ClosedIdle, httpconn.ClosedUnfinished, httpconn.ClosedNew} {
		m.closedAtLimit[which] = s.NewCounter(`plantain_gateway_connections_closed_at_limit_total{which="` + which.String() + `"}`)
	}
	return m
}

// recordResponse counts a response by its status and records the time that it took.
func (m *metricSet) recordResponse(status int, took time.Duration) {
	m.set.GetOrCreateCounter(`plantain_gateway_answers_total{status="` + strconv.Itoa(status) + `"}`).Inc()
	m.requestTime.Update(took.Seconds())
}

// Metrics returns the metrics of this gateway.
func (g *Gateway) Metrics() *metrics.Set { return g.metrics.set }
