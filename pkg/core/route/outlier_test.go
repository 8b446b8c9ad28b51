package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1000, 0)

func observe(t *OutlierDetector, host string, ok bool, latency time.Duration, now time.Time, times int) {
	for range times {
		t.Observe(host, ok, latency, now)
	}
}

// Guards against a failing host that keeps its traffic, against more than one probe
// at a time, against a lost probe that blocks later probes, and against a host that
// returns at full weight.
func TestOutlierDetector_FailingHostIsEjectedProbedAndReturned(t *testing.T) {
	detector := NewOutlierDetector(OutlierConfig{})
	now := testStart
	observe(detector, "a", false, 0, now, DefaultConsecutiveErrors-1)
	assert.Equal(t, detector.Weight("a", now), 1.0)
	observe(detector, "a", false, 0, now, 1)
	assert.Equal(t, detector.Weight("a", now), 0.0)
	assert.Assert(t, !detector.Admit("a", now))

	ejection := DefaultBaseEjectionTime
	for range 7 { // each failed probe doubles the ejection, up to the maximum
		assert.Assert(t, !detector.Admit("a", now.Add(ejection-1)))
		now = now.Add(ejection)
		assert.Equal(t, detector.Weight("a", now), probeWeight)
		assert.Assert(t, detector.Admit("a", now))
		assert.Assert(t, !detector.Admit("a", now), "two probes at a time")
		assert.Equal(t, detector.Weight("a", now), 0.0)
		detector.Observe("a", false, 0, now)
		ejection = min(2*ejection, DefaultMaxEjectionTime)
	}

	now = now.Add(ejection)
	assert.Assert(t, detector.Admit("a", now))
	now = now.Add(DefaultProbeTimeout) // no outcome before the probe's timeout
	assert.Assert(t, detector.Admit("a", now))
	detector.Observe("a", true, time.Millisecond, now)
	last := 0.0
	for i := range 11 {
		w := detector.Weight("a", now.Add(time.Duration(i)*DefaultSlowStart/10))
		assert.Assert(t, w > last && w <= 1, "weight %v after %v", w, last)
		last = w
	}
	assert.Equal(t, last, 1.0)
}

// Guards against an ejected host that is never probed because others are always
// cheaper, and against a host that receives its full share at once after the probe.
func TestSelectService_EjectedHostIsProbedAndRampsUp(t *testing.T) {
	const hosts, choices = 8, 4000
	tab := NewTable()
	detector := NewOutlierDetector(OutlierConfig{})
	for i := range hosts {
		tab.Update(&Upstream{Host: fmt.Sprint("h", i), Services: []string{"s"}, Slots: choices})
	}
	observe(detector, "h0", false, 0, testStart, DefaultConsecutiveErrors)
	now := testStart.Add(DefaultBaseEjectionTime)
	rng := rand.New(rand.NewPCG(1, 1))
	chosenCount := func() (chosen int) {
		need := Requirements{Weight: func(host string) float64 { return detector.Weight(host, now) }}
		for range choices {
			u, err := tab.SelectService("s", need, rng)
			assert.NilError(t, err)
			if u.Host == "h0" {
				chosen++
			}
		}
		return chosen
	}
	assert.Assert(t, chosenCount() > choices/hosts/20, "no probe")
	assert.Assert(t, detector.Admit("h0", now))
	assert.Equal(t, chosenCount(), 0)
	detector.Observe("h0", true, time.Millisecond, now)
	first := chosenCount()
	assert.Assert(t, first > 0 && first < choices/hosts/2, "%d of %d at the start", first, choices)
	now = now.Add(DefaultSlowStart)
	assert.Assert(t, chosenCount() > choices/hosts/2)
}

// Guards against ejecting more than half of a group for slowness, and against
// comparing hosts with the latency of another group.
func TestOutlierDetector_SlownessEjectsAtMostHalfOfGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		detector := NewOutlierDetector(OutlierConfig{})
		now := testStart
		hosts := rapid.IntRange(1, 9).Draw(t, "hosts")
		latency := make([]time.Duration, hosts)
		for i := range latency {
			latency[i] = rapid.SampledFrom([]time.Duration{10, 12, 100, 1000}).Draw(t, "latency") * time.Millisecond
			detector.SetGroup(fmt.Sprint("fast", i), "fast")
			detector.SetGroup(fmt.Sprint("slow", i), "slow")
		}
		for range 60 {
			now = now.Add(100 * time.Millisecond)
			// Hosts may become slow one after another, while hosts ejected
			// earlier are still included in the median.
			slowedHost := rapid.IntRange(0, hosts-1).Draw(t, "turns")
			latency[slowedHost] *= rapid.SampledFrom([]time.Duration{1, 1, 4}).Draw(t, "factor")
			latency[slowedHost] = min(latency[slowedHost], time.Minute)
			for i := range latency {
				detector.Observe(fmt.Sprint("fast", i), true, latency[i], now)
				detector.Observe(fmt.Sprint("slow", i), true, 3*time.Second, now)
			}
			ejected := 0
			for i := range latency {
				if detector.Weight(fmt.Sprint("fast", i), now) < 1 {
					ejected++
				}
				assert.Equal(t, detector.Weight(fmt.Sprint("slow", i), now), 1.0)
			}
			assert.Assert(t, 2*ejected <= hosts, "%d of %d hosts ejected for slowness", ejected, hosts)
		}
	})
}

// Guards against a host slower than its group that is not ejected, and against an
// error rate that is not detected because successes separate the errors.
func TestOutlierDetector_SlowOrFailingHostIsEjected(t *testing.T) {
	detector := NewOutlierDetector(OutlierConfig{})
	now := testStart
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		for _, host := range []string{"a", "b", "c", "d", "failing"} {
			detector.Observe(host, true, 20*time.Millisecond, now)
		}
		observe(detector, "failing", false, 0, now, 3)
		detector.Observe("slow", true, 200*time.Millisecond, now)
	}
	assert.Assert(t, detector.Weight("slow", now) < 1)
	assert.Assert(t, detector.Weight("failing", now) < 1)
	assert.Equal(t, detector.Weight("a", now), 1.0)
}

// Guards against retries that exceed the budget and so amplify an overload.
func TestRetryBudget_RetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewRetryBudget()
		now := testStart
		requests, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-5, 100).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "kind") > 0 {
				b.RecordRequest(now)
				requests++
			}
			if b.Take(now) {
				retries++
			}
			elapsed := max(now.Sub(testStart), 0).Seconds() + 0.005*300 // allows for backward steps of the clock
			limit := defaultRetryBurst + defaultRetryRatio*float64(requests) + defaultRetriesPerSecond*elapsed
			assert.Assert(t, float64(retries) <= limit+1e-6, "%d retries for %d requests", retries, requests)
		}
		assert.Assert(t, retries > 0)
	})
}

// Guards against a probe that is started for a chain that another host refuses: the
// probed host would stay ejected until the probe times out.
func TestAdmitAll_RefusedChainStartsNoProbe(t *testing.T) {
	detector := NewOutlierDetector(OutlierConfig{})
	observe(detector, "due", false, 0, testStart, DefaultConsecutiveErrors)
	now := testStart.Add(DefaultBaseEjectionTime)
	observe(detector, "ejected", false, 0, now, DefaultConsecutiveErrors)
	assert.Equal(t, detector.AdmitAll([]string{"due", "ejected"}, now), "ejected")
	assert.Equal(t, detector.AdmitAll([]string{"due", "healthy"}, now), "")
	assert.Equal(t, detector.AdmitAll([]string{"due"}, now), "due")
}

// Guards against gateways that each observe their own limit but together exceed the
// retry budget of the fleet in a window.
func TestFleetBudget_HoldsInEveryWindow(t *testing.T) {
	fleet := FleetRetryBudget{Ratio: 0.2, Allowance: 400, Window: 10 * time.Second}
	const gateways, perSecond, steps = 13, 10, 400
	budgets := make([]*Budget, gateways)
	for i := range budgets {
		budgets[i] = NewBudget(fleet.PerGateway(gateways))
	}
	var retries, requests []int
	now := testStart
	for range steps {
		now = now.Add(100 * time.Millisecond)
		used, sent := 0, 0
		for _, b := range budgets {
			for range perSecond / 10 {
				b.RecordRequest(now)
				sent++
			}
			for b.Take(now) {
				used++
			}
		}
		retries, requests = append(retries, used), append(requests, sent)
	}
	const window = 100
	for i := range steps - window {
		used, sent := 0, 0
		for j := i; j < i+window; j++ {
			used, sent = used+retries[j], sent+requests[j]
		}
		assert.Assert(t, float64(used) <= fleet.Ratio*float64(sent)+fleet.Allowance)
	}
}
