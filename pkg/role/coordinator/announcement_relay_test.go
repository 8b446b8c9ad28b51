package coordinator

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against answering an announcement whose content the leader does not know: one
// that changed, one of a new process, one that arrived out of order, and any while the
// leader does not answer.
func TestAnnouncementRelay_AnswersOnlyRepeatsThatTheLeaderKnows(t *testing.T) {
	const replyMaxAge = time.Second
	now := time.Now()
	first := &wirepb.Instance{Id: "i", BornUnixMs: 10, Sequence: 1, Service: "s", Address: "x:1"}
	next := func(sequence uint64, change func(*wirepb.Instance)) *wirepb.Instance {
		in := proto.CloneOf(first)
		in.Sequence = sequence
		change(in)
		return in
	}
	same := func(*wirepb.Instance) {}
	relay := newAnnouncementRelay(replyMaxAge)
	assert.Assert(t, !relay.recordRepeat(now, first), "the leader has not accepted it")
	relay.recordAccepted(now, first)
	assert.Assert(t, relay.recordRepeat(now, next(3, same)))
	assert.Assert(t, !relay.recordRepeat(now, next(2, same)), "it arrived out of order")
	assert.Assert(t, !relay.recordRepeat(now, next(4, func(in *wirepb.Instance) { in.Draining = true })))
	assert.Assert(t, !relay.recordRepeat(now, next(4, func(in *wirepb.Instance) { in.BornUnixMs = 11 })))
	assert.Assert(t, !relay.recordRepeat(now.Add(2*replyMaxAge), next(4, same)), "the leader does not answer")
	unreported := relay.takeUnreported()
	assert.Equal(t, len(unreported), 1)
	assert.Equal(t, unreported[0].GetSequence(), uint64(3))
	assert.Equal(t, len(relay.takeUnreported()), 0)
	relay.recordReply(now, nil)
	assert.Assert(t, relay.recordRepeat(now, next(5, same)))
	relay.recordReply(now, []string{"i"})
	assert.Assert(t, !relay.recordRepeat(now, next(6, same)), "the leader does not know it any more")
	relay.recordAccepted(now, next(6, same))
	relay.recordAccepted(now, &wirepb.Instance{Id: "i", Left: true})
	assert.Assert(t, !relay.recordRepeat(now, next(7, same)), "it has left")
}
