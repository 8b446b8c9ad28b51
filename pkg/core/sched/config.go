package sched

import "time"

// Defaults of Config.
const (
	DefaultMaxQueued      = 1024
	DefaultMaxQueuedBytes = 64 << 20
	// DefaultReserveWindow is about the duration of a long generation. With 2 s,
	// batch requests started on reserved slots between urgent requests and ran
	// for longer than the window (see docs/decisions/0021-ranks-and-fairness.md).
	DefaultReserveWindow = 10 * time.Second
)

// DefaultMinShares are the minimum shares of the ranks urgent, standard and batch.
var DefaultMinShares = [NumRanks]float64{0.60, 0.25, 0.15}

// Config sets the limits of a Scheduler. Zero values select the defaults.
type Config struct {
	Slots          int // maximum number of running requests
	MinShares      [NumRanks]float64
	MaxQueued      int
	MaxQueuedBytes int64
	// UrgentReserve is the number of slots that the other ranks leave free if urgent
	// requests were queued or running within ReserveWindow. Zero derives it from
	// Slots; a negative value turns it off.
	UrgentReserve int
	// ReserveOffset, at least 0 and below 1, is added to the derived reserve
	// before it is rounded down. If the offsets are spread evenly over the
	// upstreams, an eighth of all slots is reserved even where each upstream has
	// fewer than eight.
	ReserveOffset float64
	ReserveWindow time.Duration
}

func (c Config) withDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = 1
	}
	if c.MaxQueued <= 0 {
		c.MaxQueued = DefaultMaxQueued
	}
	if c.MaxQueuedBytes <= 0 {
		c.MaxQueuedBytes = DefaultMaxQueuedBytes
	}
	if c.ReserveWindow <= 0 {
		c.ReserveWindow = DefaultReserveWindow
	}
	c.MinShares = validShares(c.MinShares)
	return c
}

// validShares returns shares without negative values and scaled to a sum of at most
// 1, or DefaultMinShares if no share is positive.
func validShares(shares [NumRanks]float64) [NumRanks]float64 {
	sum := 0.0
	for r := range shares {
		shares[r] = max(shares[r], 0)
		sum += shares[r]
	}
	if sum == 0 {
		return DefaultMinShares
	}
	if sum > 1 {
		for r := range shares {
			shares[r] /= sum
		}
	}
	return shares
}

// slotsPerReserve is the number of slots of which one is reserved.
const slotsPerReserve = 8

// reservedSlots returns the number of slots that the other ranks leave free for
// urgent requests.
func (c *Config) reservedSlots() int {
	if c.UrgentReserve < 0 {
		return 0
	}
	if c.UrgentReserve > 0 {
		return min(c.UrgentReserve, c.Slots-1)
	}
	derived := int(float64(c.Slots)/slotsPerReserve + c.ReserveOffset)
	return max(min(derived, c.Slots-1), 0)
}
