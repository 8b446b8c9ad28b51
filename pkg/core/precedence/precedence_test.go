package precedence

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against urgent requests that bear a shortage which less urgent ones cause, and
// against less urgent ones that stay restricted after it.
func TestShortage_LessUrgentRanksGiveWay(t *testing.T) {
	now := time.Unix(1000, 0)
	var s Shortage
	calm := Terms{LoadFactor: 1, WaitFactor: 1}
	assert.Equal(t, s.Terms(now, 2), calm)
	s.RecordWait(now, 1)
	assert.Equal(t, s.Terms(now, 0), calm, "more urgent")
	assert.Equal(t, s.Terms(now, 1), calm, "as urgent")
	assert.Equal(t, s.Terms(now, 2), Terms{LoadFactor: 0.5, WaitFactor: 0.2})
	s.RecordWait(now, 0)
	assert.Equal(t, s.Terms(now, 2), Terms{LoadFactor: 0.25, WaitFactor: 0.2})
	assert.Equal(t, s.Terms(now.Add(shortageMemory), 2), calm)
	s.RecordWait(now, -7)
	s.RecordWait(now, 99)
	assert.Equal(t, s.Terms(now, 99).WaitFactor, 0.2)
}

// Guards against routes with long targets that get the capacity for which urgent requests no
// longer wait.
func TestLongestWait_IsThatOfTheMostUrgentRoute(t *testing.T) {
	assert.Equal(t, LongestWait(0.7, 1200*time.Millisecond, 500*time.Millisecond), 350*time.Millisecond)
	assert.Equal(t, LongestWait(0.7, 500*time.Millisecond, 500*time.Millisecond), 350*time.Millisecond)
	assert.Equal(t, LongestWait(0.5, time.Second, 0), 500*time.Millisecond)
}

// Guards against a flood of the least urgent rank that takes the capacity of the most urgent
// one: capacity frees one place at a time, and whoever asks next gets it.
func TestShortage_FloodKeepsTheUrgentRankServed(t *testing.T) {
	const (
		tick     = 10 * time.Millisecond
		duration = 100 // ticks that a request takes
		places   = 100
	)
	var s Shortage
	now := time.Unix(1000, 0)
	var ends []int // tick at which each place is free again
	asked, served := [2]int{}, [2]int{}
	for n := range 3000 {
		now = now.Add(tick)
		free := ends[:0]
		for _, end := range ends {
			if end > n {
				free = append(free, end)
			}
		}
		ends = free
		// Ten requests in four ticks for the four places that free: eight of rank 1, two of 0.
		for _, rank := range [][]int{{1, 1}, {1, 1, 0}, {1, 1}, {1, 1, 0}}[n%4] {
			asked[rank]++
			terms := s.Terms(now, rank)
			if float64(len(ends)) < places*terms.LoadFactor {
				ends = append(ends, n+duration)
				served[rank]++
			} else {
				s.RecordWait(now, rank)
			}
		}
	}
	share := func(rank int) float64 { return float64(served[rank]) / float64(asked[rank]) }
	assert.Assert(t, share(0) > 0.9, "most urgent: %f", share(0))
	assert.Assert(t, share(1) > 0.15, "least urgent: %f", share(1))
}
