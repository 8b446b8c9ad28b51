package sched

import "time"

// Defaults of Config.
const (
	DefaultMaxQueued      = 1024
	DefaultMaxQueuedBytes = 64 << 20
	// DefaultReserveWindow is about the time of one long generation. With 2 s,
	// batch work took the reserve between urgent requests and held it for
	// longer than the window (see docs/decisions/0021-ranks-and-fairness.md).
	DefaultReserveWindow = 10 * time.Second
)

// DefaultMinShares are the minimum shares of urgent, standard and batch.
var DefaultMinShares = [NumRanks]float64{0.60, 0.25, 0.15}

// Config sets the limits of a scheduler. Zero values take the defaults.
type Config struct {
	Slots          int // requests that run at once
	MinShares      [NumRanks]float64
	MaxQueued      int
	MaxQueuedBytes int64
	// UrgentReserve is the number of slots that lower ranks leave free while
	// urgent work was seen within ReserveWindow. Zero derives it from Slots;
	// a negative value turns it off.
	UrgentReserve int
	// ReserveOffset, from 0 to below 1, is added before the derived reserve is
	// rounded down. Spread evenly over the upstreams, it lets small ones keep
	// an eighth of their slots together, where none could do so alone.
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

// validShares returns shares that are not negative and add up to at most 1.
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

// slotsPerReserve is the number of slots for each reserved one.
const slotsPerReserve = 8

// reserve returns the slots that lower ranks must leave free for urgent work.
func (c *Config) reserve() int {
	if c.UrgentReserve < 0 {
		return 0
	}
	if c.UrgentReserve > 0 {
		return min(c.UrgentReserve, c.Slots-1)
	}
	derived := int(float64(c.Slots)/slotsPerReserve + c.ReserveOffset)
	return max(min(derived, c.Slots-1), 0)
}
