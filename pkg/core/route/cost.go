package route

import (
	"time"
)

const (
	// expectedTokens caps the generated tokens that a choice is made for;
	// most answers end well before the caller's maximum.
	expectedTokens = 256
	// Round trips assumed between agents that have not measured their link.
	localLink  = 200 * time.Microsecond
	remoteLink = 2 * time.Millisecond
	// maxPrefixBonus bounds the gain of a cached prefix as a part of the time
	// to the first token. Cache events come late and with gaps, so a wrong
	// guess may cost at most this much.
	maxPrefixBonus = 0.5
	// batchSlowdown is the part by which a full batch slows a step down beside
	// an empty one. Without it free slots cost nothing, and until a queue forms
	// every request takes the chain with the shortest links.
	batchSlowdown = 0.5
	// headRoundTrips is how many round trips to the first stage count. The
	// request and each late choice of stages take one before the first token,
	// which is worth more than the same time later. With one, +50 ms moved no
	// work away (share 0.17 to 0.30 of 4 hosts): differences of 4 ms between
	// the reported times for a token outweighed it.
	headRoundTrips = 4
	// avoidPenalty makes a data centre to be avoided the last resort.
	avoidPenalty = 30 * time.Second
	// defaultFirstToken and defaultInterToken stand in for an engine that has
	// not reported its speed.
	defaultFirstToken = 200 * time.Millisecond
	defaultInterToken = 20 * time.Millisecond
)

// tokensOf returns the generated tokens that a choice is made for.
func (n *Requirements) tokensOf() time.Duration {
	if n.MaxTokens <= 0 || n.MaxTokens > expectedTokens {
		return expectedTokens
	}
	return time.Duration(n.MaxTokens)
}

// nodeCost estimates the time that u adds to the request, without its links.
func (n *Requirements) nodeCost(u *Upstream, sent int64) time.Duration {
	first, inter := u.speed()
	sent *= int64(max(n.EntryCount, 1))
	work := slowed(first+n.tokensOf()*inter, u, sent)
	cost := n.queueCost(u, sent, work) + work - n.prefixBonus(u, first)
	if n.AvoidDataCentre != "" && u.DataCentre == n.AvoidDataCentre {
		cost += avoidPenalty
	}
	return cost
}

// slowed adds what the sessions that run or were sent since the report cost
// each other in one batch.
func slowed(work time.Duration, u *Upstream, sent int64) time.Duration {
	used := float64(int64(u.Running)+sent) / float64(max(u.Slots, 1))
	return work + time.Duration(float64(work)*batchSlowdown*min(used, 1))
}

func (u *Upstream) speed() (first, inter time.Duration) {
	first, inter = u.TimeToFirstToken, u.InterTokenLatency
	if first <= 0 {
		first = defaultFirstToken
	}
	if inter <= 0 {
		inter = defaultInterToken
	}
	return first, inter
}

// queueCost estimates the wait at u. Requests sent since the report are not in
// the reported wait: those that fit a free slot cost nothing, the others queue
// for a slot, each taking work/slots.
func (n *Requirements) queueCost(u *Upstream, sent int64, work time.Duration) time.Duration {
	slots := max(u.Slots, 1)
	wait := u.QueueWait[n.Rank]
	excess := int64(u.Running) + sent + 1 - int64(slots)
	excess = min(excess, sent+1)
	if excess > 0 {
		wait += work * time.Duration(excess) / time.Duration(slots)
	}
	return wait
}

// prefixBonus is the part of the first token's time that a cached prefix is
// expected to save.
func (n *Requirements) prefixBonus(u *Upstream, first time.Duration) time.Duration {
	if len(u.PromptPrefixes) == 0 {
		return 0
	}
	for i := len(n.PromptPrefixes) - 1; i >= 0; i-- {
		if _, ok := u.PromptPrefixes[n.PromptPrefixes[i]]; ok {
			part := float64(i+1) / float64(len(n.PromptPrefixes))
			return time.Duration(float64(first) * part * maxPrefixBonus)
		}
	}
	return 0
}

// linkCost is the time that the link between two stages adds: one round trip
// for the prompt and one for each further token.
func (n *Requirements) linkCost(from, to *Upstream) time.Duration {
	return n.tokensOf() * roundTrip(from, to)
}

func roundTrip(from, to *Upstream) time.Duration {
	if d, ok := from.PeerRoundTrips[to.Host]; ok {
		return d
	}
	if d, ok := to.PeerRoundTrips[from.Host]; ok {
		return d
	}
	if from.DataCentre == to.DataCentre {
		return localLink
	}
	return remoteLink
}

// headCost weighs the way from this process to the first stage. Tokens stream
// back one way, so it does not grow with their number.
func (n *Requirements) headCost(u *Upstream) time.Duration { return headRoundTrips * u.RoundTrip }
