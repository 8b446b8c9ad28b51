// Package precedence decides how much of a shortage each rank bears. It answers a flood of
// less urgent requests beside urgent ones on too few engines: while urgent requests wait, less
// urgent ones give way. It reads no clock and has no side effects.
package precedence

import "time"

const (
	// shortageMemory is the time for which a wait counts as a sign of a shortage. A gateway of a
	// large fleet gets a few requests in this time.
	shortageMemory = 1500 * time.Millisecond
	// loadFactor is the factor by which the load that a request may add to is lower for each
	// rank below the most urgent one that waits.
	loadFactor = 0.5
	// waitShare is the share of the usual wait for capacity that is left to a rank below one
	// that waits.
	waitShare = 0.2
	// maxRanks bounds the ranks that are told apart.
	maxRanks = 10
)

// Shortage records when requests of each rank last had to wait for capacity. The zero value
// knows of none. It is not safe for concurrent use.
type Shortage struct{ waitedAt [maxRanks]time.Time }

// RecordWait records that a request of a rank found no capacity.
func (s *Shortage) RecordWait(now time.Time, rank int) { s.waitedAt[clamp(rank)] = now }

// Terms are the terms on which a request is admitted.
type Terms struct {
	LoadFactor float64 // of the longest estimated time of an admitted request, at most 1
	WaitFactor float64 // of the longest wait for capacity, at most 1
}

// Terms returns the terms for a rank. Both factors are 1 unless a more urgent rank has had to
// wait within shortageMemory.
func (s *Shortage) Terms(now time.Time, rank int) Terms {
	t := Terms{LoadFactor: 1, WaitFactor: 1}
	for urgent := range clamp(rank) {
		if at := s.waitedAt[urgent]; !at.IsZero() && now.Sub(at) < shortageMemory {
			for range clamp(rank) - urgent {
				t.LoadFactor *= loadFactor
			}
			t.WaitFactor = waitShare
			break
		}
	}
	return t
}

// LongestWait returns the longest time for which a request waits for capacity: a share of the
// target of its route, and at most of that of the most urgent route to the same service.
// Otherwise routes with a longer target would get the capacity for which urgent requests no
// longer wait.
func LongestWait(share float64, target, urgentTarget time.Duration) time.Duration {
	if urgentTarget > 0 {
		target = min(target, urgentTarget)
	}
	return time.Duration(share * float64(target))
}

func clamp(rank int) int { return min(max(rank, 0), maxRanks-1) }
