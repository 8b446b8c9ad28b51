package suspicion

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainstair/plantainstair/pkg/core/path"
)

// Guards against a lost engine that is reported late or not at all, reports of engines that
// carry other streams, and reports while all streams have their usual gaps.
func TestSilence_ReportsEnginesOfSilentStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const layers, lostAt = 6, time.Second
		gap := time.Duration(rapid.IntRange(10, 60).Draw(t, "gap")) * time.Millisecond
		streams := make([]StreamState, rapid.IntRange(1, 12).Draw(t, "streams"))
		for i := range streams {
			streams[i] = StreamState{Gap: &Gap{}, FirstEventTarget: 500 * time.Millisecond, LastAt: start}
			for l := range layers {
				streams[i].Stages = append(streams[i].Stages, path.PipelineStage{ID: fmt.Sprint(l, rapid.IntRange(0, 2).Draw(t, "engine"))})
			}
		}
		lost := streams[0].Stages[rapid.IntRange(0, layers-1).Draw(t, "lost")]
		alive := make(map[string]bool)
		for _, s := range streams {
			for _, p := range s.Stages {
				alive[p.ID] = alive[p.ID] || !slices.Contains(s.Stages, lost)
			}
		}
		var c Silence
		found := false
		for at := time.Duration(0); at < 1800*time.Millisecond; at += time.Millisecond {
			for i := range streams {
				s := &streams[i]
				if phase := time.Duration(i) * 7 * time.Millisecond; (at+phase)%gap == 0 && at > 200*time.Millisecond && (at <= lostAt || !slices.Contains(s.Stages, lost)) {
					s.Writes, s.LastAt = s.Writes+1, start.Add(at)
				}
			}
			if at%CheckInterval != 0 {
				continue
			}
			for _, p := range c.Check(start.Add(at), streams) {
				assert.Assert(t, at > lostAt && !alive[p.ID], "%s was reported at %s", p.ID, at)
				found = found || p == lost
			}
			assert.Assert(t, found || at-lostAt <= max(minSilence, silenceFactor*gap)+2*CheckInterval, "not reported at %s", at)
		}
	})
}

// Guards against reports without end of a stream whose caller does not read, and against
// reports of streams that wait for their first event or after a pause of this process.
func TestSilence_IsBounded(t *testing.T) {
	stages := []path.PipelineStage{{ID: "a"}, {ID: "b"}}
	c, s, reports := Silence{}, StreamState{Stages: stages, Gap: &Gap{}}, 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(CheckInterval) {
		if s.Writes < 5 {
			s.Writes, s.LastAt = s.Writes+1, now
		}
		reports += len(c.Check(now, []StreamState{s}))
	}
	assert.Assert(t, reports > 0 && reports <= 2*11, "%d reports of two engines in a minute", reports)
	c = Silence{}
	waiting := []StreamState{{Stages: stages, LastAt: start, FirstEventTarget: time.Second, Gap: &Gap{}}}
	for _, step := range [][2]int{{900, 0}, {1500, 0}, {1550, 2}} { // a pause ends at 1500 ms
		assert.Equal(t, len(c.Check(start.Add(time.Duration(step[0])*time.Millisecond), waiting)), step[1])
	}
}
