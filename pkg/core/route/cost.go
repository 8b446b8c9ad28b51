package route

import (
	"time"
)

const (
	// maxPlannedTokens caps the number of generated tokens in cost estimates;
	// most generations end well before the caller's maximum.
	maxPlannedTokens = 256
	// Round trips between agents that have not measured their link.
	assumedLocalRoundTrip  = 200 * time.Microsecond
	assumedRemoteRoundTrip = 2 * time.Millisecond
	// maxPrefixSaving is the largest fraction of the time to first token that a
	// cached prefix may take off the cost. Cache events arrive late and some are
	// lost, so the limit bounds the harm of outdated information.
	maxPrefixSaving = 0.5
	// fullBatchSlowdown is the relative increase of the step time from an empty
	// to a full batch. Without it the load of an upstream with free slots would
	// not count, and every request would take the chain with the shortest links
	// until a queue formed.
	fullBatchSlowdown = 0.5
	// headRoundTripWeight is the number of round trips to the first stage that
	// the cost includes. The request and each later choice of stages take one
	// round trip before the first token, and a delay there matters more than
	// later. With a weight of 1, adding 50 ms to a host's round trip moved no
	// work away from it (its share among 4 hosts was 0.17 to 0.30), because
	// differences of 4 ms between reported inter-token latencies outweighed it.
	headRoundTripWeight = 4
	// avoidedDataCentrePenalty is large enough that an avoided data centre is
	// used only when no other upstream is available.
	avoidedDataCentrePenalty = 30 * time.Second
	// defaultTimeToFirstToken and defaultInterTokenLatency are used for an engine
	// that has not reported its latencies.
	defaultTimeToFirstToken  = 200 * time.Millisecond
	defaultInterTokenLatency = 20 * time.Millisecond
)

// plannedTokens returns the number of generated tokens in cost estimates.
func (r *Requirements) plannedTokens() time.Duration {
	if r.MaxTokens <= 0 || r.MaxTokens > maxPlannedTokens {
		return maxPlannedTokens
	}
	return time.Duration(r.MaxTokens)
}

// nodeCost estimates the time that u adds to the request, excluding network
// round trips. sent is the number of requests that this process has sent to u and
// that its report does not include.
func (r *Requirements) nodeCost(u *Upstream, sent int64) time.Duration {
	first, inter := u.tokenLatencies()
	sent *= int64(max(r.EntryCount, 1))
	work := withBatchSlowdown(first+r.plannedTokens()*inter, u, sent)
	cost := r.queueDelay(u, sent, work) + work - r.prefixSaving(u, first)
	if r.AvoidDataCentre != "" && u.DataCentre == r.AvoidDataCentre {
		cost += avoidedDataCentrePenalty
	}
	return cost
}

// withBatchSlowdown increases work by the slowdown of a batch of the requests that
// run at u and those sent since its report.
func withBatchSlowdown(work time.Duration, u *Upstream, sent int64) time.Duration {
	used := float64(int64(u.Running)+sent) / float64(max(u.Slots, 1))
	return work + time.Duration(float64(work)*fullBatchSlowdown*min(used, 1))
}

func (u *Upstream) tokenLatencies() (first, inter time.Duration) {
	first, inter = u.TimeToFirstToken, u.InterTokenLatency
	if first <= 0 {
		first = defaultTimeToFirstToken
	}
	if inter <= 0 {
		inter = defaultInterTokenLatency
	}
	return first, inter
}

// queueDelay estimates the queue wait at u. The reported wait does not include
// requests sent since the report: those that fit in free slots add no wait, and
// each of the others adds work/slots.
func (r *Requirements) queueDelay(u *Upstream, sent int64, work time.Duration) time.Duration {
	slots := max(u.Slots, 1)
	wait := u.QueueWait[r.Rank]
	excess := int64(u.Running) + sent + 1 - int64(slots)
	excess = min(excess, sent+1)
	if excess > 0 {
		wait += work * time.Duration(excess) / time.Duration(slots)
	}
	return wait
}

// prefixSaving returns the part of the time to first token that a cached prefix
// is expected to save. Later elements of PromptPrefixes are longer.
func (r *Requirements) prefixSaving(u *Upstream, first time.Duration) time.Duration {
	if len(u.PromptPrefixes) == 0 {
		return 0
	}
	for i := len(r.PromptPrefixes) - 1; i >= 0; i-- {
		if _, ok := u.PromptPrefixes[r.PromptPrefixes[i]]; ok {
			fraction := float64(i+1) / float64(len(r.PromptPrefixes))
			return time.Duration(float64(first) * fraction * maxPrefixSaving)
		}
	}
	return 0
}

// linkCost estimates the time that the link between two stages adds: one round
// trip for the prompt and one for each further token.
func (r *Requirements) linkCost(from, to *Upstream) time.Duration {
	return r.plannedTokens() * roundTrip(from, to)
}

func roundTrip(from, to *Upstream) time.Duration {
	if d, ok := from.PeerRoundTrips[to.Host]; ok {
		return d
	}
	if d, ok := to.PeerRoundTrips[from.Host]; ok {
		return d
	}
	if from.DataCentre == to.DataCentre {
		return assumedLocalRoundTrip
	}
	return assumedRemoteRoundTrip
}

// headCost returns the weighted round trip from this process to the first stage.
// Tokens stream back without an acknowledgement, so the cost does not depend on
// their number.
func (r *Requirements) headCost(u *Upstream) time.Duration { return headRoundTripWeight * u.RoundTrip }
