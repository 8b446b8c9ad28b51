package route

import (
	"slices"
	"time"
)

// groupState compares the latencies of the hosts of a group.
type groupState struct {
	hosts      map[string]*hostState
	slow       int // hosts ejected for slowness
	median     float64
	computed   time.Time
	latencies  []float64
	comparable int // hosts that the median was taken over
}

// refresh computes the median latency of the hosts with enough samples, unless
// it is recent.
func (g *groupState) refresh(now time.Time, minSamples float64) {
	if !g.computed.IsZero() && now.Sub(g.computed) < medianInterval {
		return
	}
	g.computed = now
	g.latencies = g.latencies[:0]
	for _, h := range g.hosts {
		if h.samples >= minSamples {
			g.latencies = append(g.latencies, h.latency)
		}
	}
	g.comparable = len(g.latencies)
	if g.comparable == 0 {
		return
	}
	slices.Sort(g.latencies)
	g.median = g.latencies[(g.comparable-1)/2]
}

// SetGroup assigns a host to the group whose median its latency is compared
// with, such as the hosts with the same accelerator and layer count. Hosts
// belong to the group "" at first.
func (t *OutlierDetector) SetGroup(host, group string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.host(host)
	g := t.group(group)
	if h.group == g {
		return
	}
	t.leaveGroup(host, h)
	h.group = g
	g.hosts[host] = h
	if h.slow {
		g.slow++
	}
}

func (t *OutlierDetector) clearSlow(h *hostState) {
	if h.slow {
		h.slow = false
		h.group.slow--
	}
}

// tooSlow compares h with the median of its group.
func (t *OutlierDetector) tooSlow(h *hostState, now time.Time) bool {
	if h.samples < t.cfg.MinSamples {
		return false
	}
	g := h.group
	g.refresh(now, t.cfg.MinSamples)
	if g.comparable < minForMedian || 2*(g.slow+1) > len(g.hosts) {
		return false
	}
	return h.latency > t.cfg.SlowLatencyFactor*g.median
}

func (t *OutlierDetector) group(name string) *groupState {
	g := t.groups[name]
	if g == nil {
		g = &groupState{hosts: make(map[string]*hostState)}
		t.groups[name] = g
	}
	return g
}

func (t *OutlierDetector) leaveGroup(host string, h *hostState) {
	delete(h.group.hosts, host)
	if h.slow {
		h.group.slow--
	}
}
