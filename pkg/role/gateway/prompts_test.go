package gateway

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/core/quarantine"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/instances"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against evidence that is lost with a report or with a leader, and against evidence
// that one leader counts twice.
func TestPromptEvidence_ReachesEachLeaderOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	e := newPromptEvidence()
	e.recordAnswered(quarantine.Parts{"first"})
	first := leaderTerm{"a", 1}
	e.setWatched(first, []string{"first", "deadly"})
	e.recordBroken(now, &wirepb.BrokenReply{RequestId: "r", InstanceId: "i", Parts: []string{"deadly", "first"}})
	r, _ := e.next(now) // not acknowledged
	assert.Equal(t, len(r.GetBroken()), 1)
	r, acknowledged := e.next(now.Add(time.Second))
	assert.Equal(t, r.GetBroken()[0].GetAgeMs(), int64(1000))
	assert.Assert(t, len(r.GetAnswered()) == 1 && r.GetAnswered()[0].GetBeforeWatch() && r.GetAnswered()[0].GetParts()[0] == "first")
	e.recordAnswered(quarantine.Parts{"first", "other"}) // while the report is on its way
	acknowledged()
	r, acknowledged = e.next(now)
	assert.Equal(t, len(r.GetBroken()), 0)
	assert.Assert(t, len(r.GetAnswered()) == 1 && !r.GetAnswered()[0].GetBeforeWatch() && r.GetAnswered()[0].GetCount() == 1)
	acknowledged()
	r, _ = e.next(now)
	assert.Assert(t, r == nil)
	e.setWatched(leaderTerm{"a", 2}, []string{"first"}) // the same host leads again and knows nothing
	r, _ = e.next(now)
	assert.Assert(t, len(r.GetBroken()) == 1 && len(r.GetAnswered()) == 1 && r.GetAnswered()[0].GetBeforeWatch())
}

// Guards against evidence without a bound while no leader takes reports.
func TestPromptEvidence_IsBounded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	e := newPromptEvidence()
	var watched []string
	for i := range 2 * maxBrokenReplies {
		id := fmt.Sprint(i)
		watched = append(watched, id)
		e.recordAnswered(quarantine.Parts{id})
		e.recordBroken(now, &wirepb.BrokenReply{RequestId: id, Parts: []string{id}})
	}
	e.setWatched(leaderTerm{"a", 1}, watched)
	assert.Equal(t, len(e.broken), maxBrokenReplies)
	assert.Equal(t, len(e.answers), maxAnswerGroups)
	e.recordBroken(now.Add(brokenReplyAge+time.Second), &wirepb.BrokenReply{RequestId: "new"})
	assert.Equal(t, len(e.broken), 1)
}

// Guards against a request id that cannot be encoded and keeps all evidence of this gateway
// from the leader.
func TestRecordBrokenReply_ReportWithAnyRequestIDCanBeEncoded(t *testing.T) {
	g := &Gateway{prompts: newPromptEvidence()}
	g.prompts.setWatched(leaderTerm{"a", 1}, nil)
	s := &stream{q: &request{metadata: instances.RequestMetadata{RequestID: "\xff\xfe"}, promptParts: quarantine.Parts{"a"}}}
	g.recordBrokenReply(t.Context(), s, path.PipelineStage{ID: "e"}, fault.New(fault.Upstream, "broken").WithOutcome(fault.MayHaveRun))
	report, _ := g.prompts.next(time.Now())
	assert.Equal(t, len(report.GetBroken()), 1)
	_, err := proto.Marshal(report)
	assert.NilError(t, err)
}
