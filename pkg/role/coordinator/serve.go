package coordinator

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/replicalink"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// openTimeout is the time within which a peer sends the first frame of a stream, which
// says what the stream is for.
const openTimeout = 2 * time.Second

// serveStream serves one stream of a peer according to its first frame.
func (c *Coordinator) serveStream(peer link.Identity, s *wire.Stream) {
	defer s.Close()
	_ = s.SetReadDeadline(time.Now().Add(openTimeout))
	f, err := s.Read()
	if err != nil {
		return
	}
	_ = s.SetReadDeadline(time.Time{})
	switch body := f.GetBody().(type) {
	case *wirepb.Frame_Raft:
		c.serveRaft(s, body.Raft)
	case *wirepb.Frame_SnapshotChunk:
		c.receiveSnapshot(s, body.SnapshotChunk)
	case *wirepb.Frame_FleetWatch:
		c.serveWatch(s, peer, body.FleetWatch)
	case *wirepb.Frame_InstanceBeat:
		c.serveAnnouncement(s, body.InstanceBeat)
	case *wirepb.Frame_FleetUpdate:
		c.serveRefresh(s, body.FleetUpdate)
	case *wirepb.Frame_Join:
		c.serveJoin(s, body.Join)
	case *wirepb.Frame_PromptReport:
		c.replyFromOwner(s, func() *wirepb.Frame { return c.recordPromptReport(time.Now(), body.PromptReport) })
	case *wirepb.Frame_PermitRequest:
		c.replyFromOwner(s, func() *wirepb.Frame { return c.answerPermit(time.Now(), body.PermitRequest) })
	case *wirepb.Frame_RequestLimitReport:
		c.replyFromOwner(s, func() *wirepb.Frame { return c.recordRequestLimit(body.RequestLimitReport) })
	case *wirepb.Frame_LossReport:
		c.replyFromOwner(s, func() *wirepb.Frame { return c.recordLossReport(time.Now(), body.LossReport) })
	default:
		_ = s.WriteError(fault.New(fault.Protocol, "unexpected first message from %s", peer.Host))
	}
}

func (c *Coordinator) serveRaft(s *wire.Stream, m *wirepb.RaftMessage) {
	for {
		if c.node != nil && m.GetTo() == c.opts.Self.GetId() {
			c.node.Step(m)
			from := m.GetFrom()
			select { // when the owner is busy, keeping an older time is harmless
			case c.ownerCalls <- func() { c.lastRaftMessage[from] = time.Now() }:
			default:
			}
		}
		f, err := s.Read()
		if err != nil {
			return
		}
		if m = f.GetRaft(); m == nil {
			return
		}
	}
}

func (c *Coordinator) receiveSnapshot(s *wire.Stream, first *wirepb.SnapshotChunk) {
	data, err := replicalink.ReceiveSnapshot(s, first)
	if err == nil && c.node != nil {
		err = c.node.InstallSnapshot(first.GetMeta(), first.GetFrom(), first.GetTerm(), data)
	}
	if err != nil {
		c.log.Warn("Snapshot not installed.", logs.Uint("from", first.GetFrom()), logs.Err(err))
	}
}

// serveAnnouncement accepts an announcement that another replica forwarded.
func (c *Coordinator) serveAnnouncement(s *wire.Stream, announcement *wirepb.InstanceBeat) {
	ctx, cancel := context.WithTimeout(c.ctx, forwardTimeout)
	defer cancel()
	err := c.checkAnnouncement(announcement.GetInstance())
	if err == nil {
		err = c.acceptAnnouncement(ctx, announcement.GetInstance())
	}
	if err != nil {
		_ = s.WriteError(err)
		return
	}
	reply := &wirepb.InstanceBeatReply{LeaderAddress: c.opts.Self.GetAdminAddress()}
	_ = s.Write(&wirepb.Frame{Body: &wirepb.Frame_InstanceBeatReply{InstanceBeatReply: reply}})
}
