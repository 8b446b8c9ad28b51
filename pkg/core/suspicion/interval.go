package suspicion

import "time"

const (
	// lowLoadShare is the share of the KV cache and of the slots below which the load of an
	// engine is low: requests find room at it, however old the report is.
	lowLoadShare = 0.4
	// lowLoadFactor multiplies the poll interval of engines with a low load. Callers of some
	// deployments pay for polls, and gateways report a loss before the next one.
	lowLoadFactor = 2
)

// Load is the last report of an engine.
type Load struct {
	Requests, Slots int    // running and queued; what the model admits
	KVUsed, KVTotal uint64 // tokens x layers
}

// PollInterval returns the time between two usual polls of an engine. usual is that of an
// engine that is loaded or that an order, a suspicion or a report concerns.
func PollInterval(usual time.Duration, load Load, concerned bool) time.Duration {
	low := float64(load.Requests) < lowLoadShare*float64(load.Slots) && float64(load.KVUsed) < lowLoadShare*float64(load.KVTotal)
	if concerned || !low {
		return usual
	}
	return lowLoadFactor * usual
}
