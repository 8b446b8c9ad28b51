package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// openWatch opens a watch stream without a client.
func openWatch(t *testing.T, m *Control, host string, revision uint64) *wire.Stream {
	t.Helper()
	session, err := link.Dial(background(t), m.Address(), link.Options{Identity: link.Identity{Role: roleAgent, Host: host}})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = session.Close() })
	s, err := session.Open()
	assert.NilError(t, err)
	_ = s.SetDeadline(time.Now().Add(15 * time.Second))
	req := &wirepb.WatchRequest{Role: roleAgent, Host: host, Revision: revision}
	assert.NilError(t, s.Write(&wirepb.Frame{Body: &wirepb.Frame_Watch{Watch: req}}))
	return s
}

func ping(t *testing.T, s *wire.Stream, sequence, applied uint64) {
	t.Helper()
	p := &wirepb.Ping{Sequence: sequence, AppliedRevision: applied}
	assert.NilError(t, s.Write(&wirepb.Frame{Body: &wirepb.Frame_Ping{Ping: p}}))
}

// Guards against a wait that counts a watcher as confirmed when it has only
// received the change, and against a result that does not name the lagging
// watcher.
func TestApply_NamesLaggingWatcher(t *testing.T) {
	c := startCluster(t, 3)
	s := openWatch(t, c.replicas[0], "slow", 0)
	f, err := s.Read()
	assert.NilError(t, err)
	assert.Assert(t, f.GetWatchEvent().GetFull())
	ping(t, s, 1, 0)
	req := changeRequest(0, "first", "o")
	req.Wait, req.WaitMs = true, 700
	reply, err := c.replicas[1].Apply(background(t), "ann", req)
	assert.NilError(t, err)
	assert.Assert(t, !reply.Confirmation.Confirmed)
	assert.DeepEqual(t, reply.Confirmation.LaggingHosts, []string{"slow"})
	assert.Equal(t, reply.Confirmation.LaggingTotal, 1)
	ping(t, s, 2, 1)
	again, err := c.replicas[2].Apply(background(t), "ann", req)
	assert.NilError(t, err)
	assert.Assert(t, again.Confirmation.Confirmed, "%+v", again.Confirmation)
}

// Guards against a replica that confirms a watcher while it is isolated, and
// against one that serves a watcher a lower revision than it already has.
func TestWatch_EndsWhenReplicaIsNotCurrent(t *testing.T) {
	c := startCluster(t, 3)
	s := openWatch(t, c.replicas[0], "h1", 0)
	_, err := s.Read()
	assert.NilError(t, err)
	ping(t, s, 1, 0)
	f, err := s.Read()
	assert.NilError(t, err)
	assert.Equal(t, f.GetCurrent().GetSequence(), uint64(1))
	c.isolate(1, true)
	cut := time.Now()
	for sequence := uint64(2); f.GetError() == nil; sequence++ {
		// A confirmation that was in flight when the replica was isolated is
		// valid.
		assert.Assert(t, time.Since(cut) < 10*time.Second)
		ping(t, s, sequence, 0)
		f, err = s.Read()
		assert.NilError(t, err)
	}
	assert.Equal(t, f.GetError().GetKind(), string(fault.Unavailable))
	f, err = openWatch(t, c.replicas[0], "h2", 0).Read()
	assert.NilError(t, err)
	assert.Equal(t, f.GetError().GetKind(), string(fault.Unavailable))
	c.isolate(1, false)
	f, err = openWatch(t, c.replicas[1], "h3", 9).Read()
	assert.NilError(t, err)
	assert.Equal(t, f.GetError().GetKind(), string(fault.StaleConfig))
}
