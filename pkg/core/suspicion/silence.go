package suspicion

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/path"
)

const (
	// CheckInterval is the time between two checks for silent streams.
	CheckInterval = 50 * time.Millisecond
	// minSilence and silenceFactor give the silence from which a stream is reported: longer
	// than the jitter of engines and links, and below the pause that a route allows.
	minSilence    = 100 * time.Millisecond
	silenceFactor = 4
	// gapWeight is the weight of the newest gap in the mean.
	gapWeight = 0.25
	// maxCheckDelay is the time between two checks above which this process did not run for
	// some time. Events may have arrived that it has not read.
	maxCheckDelay = 2 * CheckInterval
)

// Gap tracks the usual time between two events of a stream from what is known at each check.
// The zero value knows none.
type Gap struct {
	writes   int
	lastAt   time.Time
	mean     time.Duration
	reported int // how often the present silence was reported
}

// StreamState is the state of a stream at a check.
type StreamState struct {
	Stages []path.PipelineStage
	// Writes counts the writes of the present attempt, each of one or more events. LastAt is
	// the time of the last one, or of the start of the attempt.
	Writes int
	LastAt time.Time
	// FirstEventTarget is the time within which the route expects the first event, zero if it
	// names none.
	FirstEventTarget time.Duration
	Gap              *Gap // kept with the stream
}

func (g *Gap) observe(writes int, lastAt time.Time) {
	if lastAt.Equal(g.lastAt) && writes == g.writes {
		return
	}
	if events := writes - g.writes; events > 0 && g.writes > 0 {
		gap := lastAt.Sub(g.lastAt) / time.Duration(events)
		if g.mean == 0 {
			g.mean = gap
		} else {
			g.mean += time.Duration(gapWeight * float64(gap-g.mean))
		}
	}
	g.writes, g.lastAt, g.reported = writes, lastAt, 0
}

// limit returns the silence from which the stream is reported, zero if it is not.
func (s *StreamState) limit() time.Duration {
	switch {
	case s.Writes == 0 && s.FirstEventTarget > 0:
		return max(minSilence, s.FirstEventTarget)
	case s.Writes > 0 && s.Gap.mean > 0:
		return max(minSilence, silenceFactor*s.Gap.mean)
	}
	return 0
}

// Silence finds the silent streams of a gateway. It is not safe for concurrent use.
type Silence struct{ checkedAt time.Time }

// Check returns the stages whose engines may have made streams silent. It leaves out the
// engines on which another stream depends that has had an event in the second half of the
// silence: an event of a stream has passed through all engines of its path. A silence is
// reported again each time that it has doubled, because a report may be lost and a caller
// that does not read makes its stream look silent for long.
func (c *Silence) Check(now time.Time, streams []StreamState) []path.PipelineStage {
	delayed := !c.checkedAt.IsZero() && now.Sub(c.checkedAt) > maxCheckDelay
	c.checkedAt = now
	var silent []*StreamState
	for i := range streams {
		s := &streams[i]
		s.Gap.observe(s.Writes, s.LastAt)
		if limit := s.limit(); !delayed && limit > 0 && now.Sub(s.LastAt) > limit<<min(s.Gap.reported, 10) {
			s.Gap.reported++
			silent = append(silent, s)
		}
	}
	if len(silent) == 0 {
		return nil
	}
	newest := make(map[Process]time.Time) // last event that passed through each engine
	for _, s := range streams {
		if s.Writes == 0 {
			continue
		}
		for _, p := range s.Stages {
			if k := (Process{p.ID, p.StartUnixMs}); s.LastAt.After(newest[k]) {
				newest[k] = s.LastAt
			}
		}
	}
	var out []path.PipelineStage
	found := make(map[Process]bool)
	for _, s := range silent {
		middle := s.LastAt.Add(now.Sub(s.LastAt) / 2)
		for _, p := range s.Stages {
			k := Process{p.ID, p.StartUnixMs}
			if !found[k] && !newest[k].After(middle) {
				found[k] = true
				out = append(out, p)
			}
		}
	}
	return out
}
