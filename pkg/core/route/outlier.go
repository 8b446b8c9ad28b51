package route

import (
	"math"
	"sync"
	"time"
)

const (
	// slowStartMinWeight is the weight of a host when its slow start begins.
	slowStartMinWeight = 0.1
	// probeWeight is the weight of an ejected host whose probe is due. Admit
	// accepts only one request, so the weight sets how soon the probe is sent
	// and not how much traffic the host receives.
	probeWeight = 0.25
	// medianInterval is the minimum time between two computations of a median;
	// sorting 11,000 latencies takes about a millisecond.
	medianInterval = time.Second
	// minHostsForMedian is the minimum number of hosts with enough samples for
	// ejection by latency.
	minHostsForMedian = 3
)

// OutlierDetector ejects hosts that fail, or that are slow compared with their
// group. It admits one probe at a time to an ejected host and increases the
// host's weight gradually after a successful probe. Slowness never ejects more
// than half of a group; errors may eject all of it. It may be used by several
// goroutines.
type OutlierDetector struct {
	mu     sync.Mutex
	cfg    OutlierConfig
	hosts  map[string]*hostHealth
	groups map[string]*latencyGroup
}

type phase uint8

const (
	phaseServing phase = iota
	phaseEjected
	phaseProbing // a probe is in progress
	phaseSlowStart
)

type hostHealth struct {
	group                          *latencyGroup
	phase                          phase
	decayedErrors, decayedOutcomes float64 // exponentially decayed counts of errors and of all outcomes
	latency                        float64 // of successes, in seconds, weighted towards recent ones
	decayedSuccesses               float64 // exponentially decayed count of successes
	lastOutcome                    time.Time
	consecutiveErrors              int
	consecutiveEjections           int       // each doubles the ejection time
	slow                           bool      // ejected for slowness
	phaseEnd                       time.Time // end of the ejection or timeout of the probe
	slowStartBegan                 time.Time
}

// NewOutlierDetector returns a detector without hosts.
func NewOutlierDetector(cfg OutlierConfig) *OutlierDetector {
	return &OutlierDetector{
		cfg:    cfg.withDefaults(),
		hosts:  make(map[string]*hostHealth),
		groups: make(map[string]*latencyGroup),
	}
}

// RemoveHost deletes the state of a host.
func (d *OutlierDetector) RemoveHost(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h := d.hosts[host]; h != nil {
		d.leaveGroup(host, h)
		delete(d.hosts, host)
	}
}

// Observe records the outcome of a request and ejects the host if it exceeds a
// limit. The latency of a failed request is ignored.
func (d *OutlierDetector) Observe(host string, ok bool, latency time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.host(host)
	d.endSlowStart(h, now)
	switch h.phase {
	case phaseProbing:
		d.finishProbe(h, ok, now)
		return
	case phaseEjected:
		return // outcome of a request sent before the ejection
	}
	h.record(ok, latency, now, d.cfg.DecayTime)
	if d.exceedsErrorLimits(h) {
		d.eject(h, now, false)
		return
	}
	if ok && d.exceedsLatencyLimit(h, now) {
		d.eject(h, now, true)
	}
}

// Weight returns the fraction of its normal traffic that a host may receive. An
// ejected host has weight 0 until a probe is due and a small weight afterwards.
// The probe must still be accepted by Admit.
func (d *OutlierDetector) Weight(host string, now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.hosts[host]
	if h == nil {
		return 1
	}
	d.endSlowStart(h, now)
	switch h.phase {
	case phaseEjected, phaseProbing:
		if now.Before(h.phaseEnd) {
			return 0
		}
		return probeWeight
	case phaseSlowStart:
		fraction := float64(now.Sub(h.slowStartBegan)) / float64(d.cfg.SlowStart)
		return slowStartMinWeight + (1-slowStartMinWeight)*max(fraction, 0)
	}
	return 1
}

// endSlowStart returns h to full weight once its slow start is over.
func (d *OutlierDetector) endSlowStart(h *hostHealth, now time.Time) {
	if h.phase == phaseSlowStart && now.Sub(h.slowStartBegan) >= d.cfg.SlowStart {
		h.phase = phaseServing
		h.consecutiveEjections = 0
	}
}

// Admit must be called for each chosen host just before work is sent to it. For
// an ejected host it starts the probe. It reports false if another probe is in
// progress or none is due; the caller must then choose again without the host.
func (d *OutlierDetector) Admit(host string, now time.Time) bool {
	return d.AdmitAll([]string{host}, now) == ""
}

// AdmitAll calls Admit for all hosts of a chain. It returns the first host that
// admits no work, or an empty string. Probes start only if all hosts admit: a
// probe started for an unused chain would block its host until the probe times
// out.
func (d *OutlierDetector) AdmitAll(hosts []string, now time.Time) (refused string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, host := range hosts {
		if h := d.hosts[host]; h != nil && !h.admits(now) {
			return host
		}
	}
	for _, host := range hosts {
		if h := d.hosts[host]; h != nil {
			h.beginProbe(now, d.cfg.ProbeTimeout)
		}
	}
	return ""
}

func (h *hostHealth) ejected() bool { return h.phase == phaseEjected || h.phase == phaseProbing }

func (h *hostHealth) admits(now time.Time) bool { return !h.ejected() || !now.Before(h.phaseEnd) }

func (h *hostHealth) beginProbe(now time.Time, timeout time.Duration) {
	if h.ejected() {
		h.phase = phaseProbing
		h.phaseEnd = now.Add(timeout)
	}
}

func (d *OutlierDetector) finishProbe(h *hostHealth, ok bool, now time.Time) {
	if !ok {
		d.eject(h, now, h.slow)
		return
	}
	d.clearSlow(h)
	h.phase = phaseSlowStart
	h.slowStartBegan = now
	h.decayedErrors, h.decayedOutcomes, h.decayedSuccesses, h.latency = 0, 0, 0, 0
	h.consecutiveErrors = 0
	h.lastOutcome = now
}

func (d *OutlierDetector) eject(h *hostHealth, now time.Time, slow bool) {
	if slow != h.slow {
		d.clearSlow(h)
	}
	if slow && !h.slow {
		h.slow = true
		h.group.slow++
	}
	h.phase = phaseEjected
	h.phaseEnd = now.Add(d.ejectionTime(h.consecutiveEjections))
	h.consecutiveEjections++
}

func (d *OutlierDetector) ejectionTime(earlierEjections int) time.Duration {
	ejection := d.cfg.BaseEjectionTime
	for range earlierEjections {
		if ejection >= d.cfg.MaxEjectionTime {
			break
		}
		ejection *= 2
	}
	return min(ejection, d.cfg.MaxEjectionTime)
}

func (d *OutlierDetector) exceedsErrorLimits(h *hostHealth) bool {
	if h.consecutiveErrors >= d.cfg.ConsecutiveErrors {
		return true
	}
	return h.decayedOutcomes >= d.cfg.MinSamples && h.decayedErrors/h.decayedOutcomes > d.cfg.ErrorRate
}

// record decays the counts for the time since the last outcome and adds a new
// outcome.
func (h *hostHealth) record(ok bool, latency time.Duration, now time.Time, decayTime time.Duration) {
	if dt := now.Sub(h.lastOutcome); dt > 0 && !h.lastOutcome.IsZero() {
		decay := math.Exp(-float64(dt) / float64(decayTime))
		h.decayedErrors *= decay
		h.decayedOutcomes *= decay
		h.decayedSuccesses *= decay
	}
	h.lastOutcome = now
	h.decayedOutcomes++
	if !ok {
		h.decayedErrors++
		h.consecutiveErrors++
		return
	}
	h.consecutiveErrors = 0
	h.decayedSuccesses++
	h.latency += (latency.Seconds() - h.latency) / h.decayedSuccesses
}

func (d *OutlierDetector) host(name string) *hostHealth {
	h := d.hosts[name]
	if h == nil {
		h = &hostHealth{group: d.group("")}
		h.group.hosts[name] = h
		d.hosts[name] = h
	}
	return h
}
