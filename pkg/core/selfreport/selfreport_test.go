package selfreport

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Guards against a belief that binds another run of the upstream, that a later answer or
// an announcement takes back, or that never ends.
func TestBook_BindsOneProcessForItsTime(t *testing.T) {
	b := &Book{}
	first, restarted := Process{"a", 1}, Process{"a", 2}
	s, changed := b.Record(start, first, Report{Leaving: true, Source: "stream"})
	assert.Assert(t, changed && s.Leaving && s.Source == "stream" && s.ReportedAt.Equal(start))
	_, changed = b.Record(start.Add(time.Second), first, Report{Leaving: true})
	assert.Assert(t, !changed, "a repeated report is logged again")
	_, changed = b.Record(start.Add(time.Second), first, Report{})
	assert.Assert(t, !changed)
	assert.Assert(t, b.Blocked(start.Add(time.Hour), first), "a process that leaves is used again")
	assert.Assert(t, !b.Blocked(start, restarted), "a restart does not start fresh")

	paused := Process{"b", 1}
	_, changed = b.Record(start, paused, Report{Pause: 2 * time.Second})
	assert.Assert(t, changed)
	_, changed = b.Record(start.Add(time.Second), paused, Report{Pause: 500 * time.Millisecond})
	assert.Assert(t, !changed, "an answer that was overtaken shortened the pause")
	assert.Assert(t, b.Blocked(start.Add(2*time.Second-1), paused))
	assert.Assert(t, !b.Blocked(start.Add(2*time.Second), paused))
	b.Record(start, paused, Report{Pause: 1000 * time.Hour})
	assert.Assert(t, !b.Blocked(start.Add(MaxPause), paused), "a pause has no bound")
}

// Guards against states that are dropped while they bind, and against states that are kept
// for ever.
func TestBook_ForgetsWhatBindsNobody(t *testing.T) {
	b := &Book{}
	leaving, paused := Process{"a", 1}, Process{"b", 1}
	b.Record(start, leaving, Report{Leaving: true})
	b.Record(start, paused, Report{Pause: time.Second})
	unknown := func(Process) bool { return false }
	b.Forget(start.Add(retention/2), unknown)
	assert.Assert(t, b.Get(leaving).Leaving, "a process that a new leader does not know yet was forgotten")
	assert.Equal(t, b.Get(paused), State{})
	b.Forget(start.Add(2*retention), func(Process) bool { return true })
	assert.Assert(t, b.Get(leaving).Leaving)
	b.Forget(start.Add(2*retention), unknown)
	assert.Equal(t, len(b.states), 0)
	for i := range 2 * maxProcesses {
		b.Record(start.Add(time.Duration(i)), Process{fmt.Sprint(i), 1}, Report{Leaving: true})
	}
	assert.Equal(t, len(b.states), maxProcesses)
	assert.Assert(t, b.Get(Process{fmt.Sprint(2*maxProcesses - 1), 1}).Leaving)
}

// Guards against a time at which a caller is told to return although no upstream takes
// requests then.
func TestBook_SoonestEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Book{}
		var all []Process
		for i := range rapid.IntRange(0, 4).Draw(t, "processes") {
			p := Process{fmt.Sprint(i), 1}
			all = append(all, p)
			b.Record(start, p, Report{
				Leaving: rapid.Bool().Draw(t, "leaving"),
				Pause:   time.Duration(rapid.IntRange(-2, 5).Draw(t, "pause")) * time.Second,
			})
		}
		now := start.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "later")) * time.Second)
		free := func(at time.Time) bool {
			for _, p := range all {
				if !b.Blocked(at, p) {
					return true
				}
			}
			return false
		}
		end, ok := b.SoonestEnd(now, all)
		if !ok {
			assert.Assert(t, free(now) || !free(now.Add(2*MaxPause)))
			return
		}
		assert.Assert(t, free(end) && !free(end.Add(-1)))
	})
}
