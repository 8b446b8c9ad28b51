package route

import (
	"slices"
	"time"
)

// latencyGroup is a set of hosts whose latencies are compared.
type latencyGroup struct {
	hosts          map[string]*hostHealth
	slow           int // number of hosts ejected for slowness
	medianLatency  float64
	medianComputed time.Time
	latencies      []float64
	medianHosts    int // number of hosts included in the median
}

// refreshMedian computes the median latency of the hosts with enough samples. It
// does nothing if the median is younger than medianInterval.
func (g *latencyGroup) refreshMedian(now time.Time, minSamples float64) {
	if !g.medianComputed.IsZero() && now.Sub(g.medianComputed) < medianInterval {
		return
	}
	g.medianComputed = now
	g.latencies = g.latencies[:0]
	for _, h := range g.hosts {
		if h.decayedSuccesses >= minSamples {
			g.latencies = append(g.latencies, h.latency)
		}
	}
	g.medianHosts = len(g.latencies)
	if g.medianHosts == 0 {
		return
	}
	slices.Sort(g.latencies)
	g.medianLatency = g.latencies[(g.medianHosts-1)/2]
}

// SetGroup assigns a host to the group whose median latency it is compared with,
// such as the hosts with the same accelerator and layer count. Hosts belong to the
// group "" initially.
func (d *OutlierDetector) SetGroup(host, group string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.host(host)
	g := d.group(group)
	if h.group == g {
		return
	}
	d.leaveGroup(host, h)
	h.group = g
	g.hosts[host] = h
	if h.slow {
		g.slow++
	}
}

func (d *OutlierDetector) clearSlow(h *hostHealth) {
	if h.slow {
		h.slow = false
		h.group.slow--
	}
}

// exceedsLatencyLimit reports whether h is slow compared with the median of its
// group and its ejection would leave at least half of the group.
func (d *OutlierDetector) exceedsLatencyLimit(h *hostHealth, now time.Time) bool {
	if h.decayedSuccesses < d.cfg.MinSamples {
		return false
	}
	g := h.group
	g.refreshMedian(now, d.cfg.MinSamples)
	if g.medianHosts < minHostsForMedian || 2*(g.slow+1) > len(g.hosts) {
		return false
	}
	return h.latency > d.cfg.SlowLatencyFactor*g.medianLatency
}

func (d *OutlierDetector) group(name string) *latencyGroup {
	g := d.groups[name]
	if g == nil {
		g = &latencyGroup{hosts: make(map[string]*hostHealth)}
		d.groups[name] = g
	}
	return g
}

func (d *OutlierDetector) leaveGroup(host string, h *hostHealth) {
	delete(h.group.hosts, host)
	if h.slow {
		h.group.slow--
	}
}
