package route

import (
	"math"
	"sync"
	"time"
)

const (
	// startWeight is the weight at the beginning of slow start.
	startWeight = 0.1
	// probeWeight is the weight of an ejected host whose probe is due. Admit
	// lets one request through, so a higher weight only finds it sooner.
	probeWeight = 0.25
	// medianInterval is the minimum age of a median before it is computed
	// again; sorting 11,000 latencies takes about a millisecond.
	medianInterval = time.Second
	// minForMedian is the number of hosts below which no host is judged slow.
	minForMedian = 3
)

// OutlierDetector ejects hosts that fail or are slow compared with their group, lets
// one probe through at a time, and returns hosts by a slow start. Slowness
// never ejects more than half of a group; errors may eject all of it.
type OutlierDetector struct {
	mu     sync.Mutex
	cfg    OutlierConfig
	hosts  map[string]*hostState
	groups map[string]*groupState
}

type phase uint8

const (
	phaseServing phase = iota
	phaseEjected
	phaseProbing // one probe is on its way
	phaseReturning
)

type hostState struct {
	group          *groupState
	phase          phase
	errors, weight float64 // decayed sums; weight counts samples
	latency        float64 // decayed mean of successes, seconds
	samples        float64 // decayed count of successes
	last           time.Time
	inRow          int
	ejections      int // consecutive, for the doubling
	slow           bool
	until          time.Time // end of the ejection or of the probe
	returned       time.Time
}

// NewOutlierDetector returns a tracker that knows no host.
func NewOutlierDetector(cfg OutlierConfig) *OutlierDetector {
	return &OutlierDetector{
		cfg:    cfg.withDefaults(),
		hosts:  make(map[string]*hostState),
		groups: make(map[string]*groupState),
	}
}

// RemoveHost drops a host that left.
func (t *OutlierDetector) RemoveHost(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.hosts[host]; h != nil {
		t.leaveGroup(host, h)
		delete(t.hosts, host)
	}
}

// Observe records the outcome of a request. The latency of a failure is not
// used.
func (t *OutlierDetector) Observe(host string, ok bool, latency time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.host(host)
	t.settle(h, now)
	switch h.phase {
	case phaseProbing:
		t.finishProbe(h, ok, now)
		return
	case phaseEjected:
		return // outcome of a request sent before the ejection
	}
	h.record(ok, latency, now, t.cfg.DecayTime)
	if t.failing(h) {
		t.eject(h, now, false)
		return
	}
	if ok && t.tooSlow(h, now) {
		t.eject(h, now, true)
	}
}

// Weight returns the share of its normal traffic that a host may receive. An
// ejected host has weight 0 until a probe is due, and a small weight then; the
// probe itself needs Admit.
func (t *OutlierDetector) Weight(host string, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[host]
	if h == nil {
		return 1
	}
	t.settle(h, now)
	switch h.phase {
	case phaseEjected, phaseProbing:
		if now.Before(h.until) {
			return 0
		}
		return probeWeight
	case phaseReturning:
		part := float64(now.Sub(h.returned)) / float64(t.cfg.SlowStart)
		return startWeight + (1-startWeight)*max(part, 0)
	}
	return 1
}

// settle ends the slow start when its time has passed.
func (t *OutlierDetector) settle(h *hostState, now time.Time) {
	if h.phase == phaseReturning && now.Sub(h.returned) >= t.cfg.SlowStart {
		h.phase = phaseServing
		h.ejections = 0
	}
}

// Admit is called for each host of a choice just before work is sent. For an
// ejected host it takes the probe; it reports false while another probe is on
// its way or none is due, and the caller must then choose again without the
// host.
func (t *OutlierDetector) Admit(host string, now time.Time) bool {
	return t.AdmitAll([]string{host}, now) == ""
}

// AdmitAll is Admit for all hosts of a chain. It returns the first host that
// admits no work, or an empty string. Probes are taken only if all admit: one
// taken for a chain that is not used would block the host until it times out.
func (t *OutlierDetector) AdmitAll(hosts []string, now time.Time) (refused string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, host := range hosts {
		if h := t.hosts[host]; h != nil && !h.admits(now) {
			return host
		}
	}
	for _, host := range hosts {
		if h := t.hosts[host]; h != nil {
			h.takeProbe(now, t.cfg.ProbeTimeout)
		}
	}
	return ""
}

func (h *hostState) ejected() bool { return h.phase == phaseEjected || h.phase == phaseProbing }

func (h *hostState) admits(now time.Time) bool { return !h.ejected() || !now.Before(h.until) }

func (h *hostState) takeProbe(now time.Time, timeout time.Duration) {
	if h.ejected() {
		h.phase = phaseProbing
		h.until = now.Add(timeout)
	}
}

func (t *OutlierDetector) finishProbe(h *hostState, ok bool, now time.Time) {
	if !ok {
		t.eject(h, now, h.slow)
		return
	}
	t.clearSlow(h)
	h.phase = phaseReturning
	h.returned = now
	h.errors, h.weight, h.samples, h.latency = 0, 0, 0, 0
	h.inRow = 0
	h.last = now
}

func (t *OutlierDetector) eject(h *hostState, now time.Time, slow bool) {
	if slow != h.slow {
		t.clearSlow(h)
	}
	if slow && !h.slow {
		h.slow = true
		h.group.slow++
	}
	h.phase = phaseEjected
	h.until = now.Add(t.ejectionTime(h.ejections))
	h.ejections++
}

func (t *OutlierDetector) ejectionTime(earlier int) time.Duration {
	d := t.cfg.BaseEjectionTime
	for range earlier {
		if d >= t.cfg.MaxEjectionTime {
			break
		}
		d *= 2
	}
	return min(d, t.cfg.MaxEjectionTime)
}

func (t *OutlierDetector) failing(h *hostState) bool {
	if h.inRow >= t.cfg.ConsecutiveErrors {
		return true
	}
	return h.weight >= t.cfg.MinSamples && h.errors/h.weight > t.cfg.ErrorRate
}

// record adds a sample to the decayed sums.
func (h *hostState) record(ok bool, latency time.Duration, now time.Time, window time.Duration) {
	if dt := now.Sub(h.last); dt > 0 && !h.last.IsZero() {
		keep := math.Exp(-float64(dt) / float64(window))
		h.errors *= keep
		h.weight *= keep
		h.samples *= keep
	}
	h.last = now
	h.weight++
	if !ok {
		h.errors++
		h.inRow++
		return
	}
	h.inRow = 0
	h.samples++
	h.latency += (latency.Seconds() - h.latency) / h.samples
}

func (t *OutlierDetector) host(name string) *hostState {
	h := t.hosts[name]
	if h == nil {
		h = &hostState{group: t.group("")}
		h.group.hosts[name] = h
		t.hosts[name] = h
	}
	return h
}
