package control

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	firstFrameTimeout = 5 * time.Second
	replyWriteTimeout = 2 * time.Second
	// maxClaimRequestsInProgress bounds the claim requests in progress.
	maxClaimRequestsInProgress = 8192
	// peerIdleTimeout ends an idle stream of another replica, which sends its
	// status every 500 ms.
	peerIdleTimeout = 10 * time.Second
	roleControl     = "control"
)

// serveStream serves one stream of a session.
func (c *Control) serveStream(peer link.Identity, s *wire.Stream) {
	defer s.Close()
	_ = s.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	f, err := s.Read()
	if err != nil {
		return
	}
	_ = s.SetDeadline(time.Time{})
	switch body := f.GetBody().(type) {
	case *wirepb.Frame_Watch:
		c.serveWatch(s, body.Watch)
	case *wirepb.Frame_Register:
		c.serveRegister(s, body.Register)
	case *wirepb.Frame_Raft, *wirepb.Frame_PeerStatus, *wirepb.Frame_SnapshotChunk, *wirepb.Frame_Forward:
		c.servePeer(peer, s, f)
	default:
		c.serveClaimRequest(s, f)
	}
}

func (c *Control) serveClaimRequest(s *wire.Stream, f *wirepb.Frame) {
	if c.claimRequestsInProgress.Add(1) > maxClaimRequestsInProgress {
		c.claimRequestsInProgress.Add(-1)
		_ = s.WriteError(fault.New(fault.Overloaded, "too many claims in progress").
			WithOutcome(fault.NotRun).WithRetryAfter(time.Second))
		return
	}
	defer c.claimRequestsInProgress.Add(-1)
	switch body := f.GetBody().(type) {
	case *wirepb.Frame_Claim:
		c.serveClaim(s, "claim", &wirepb.Command{Body: &wirepb.Command_Claim{Claim: body.Claim}})
	case *wirepb.Frame_ClaimResolve:
		c.serveClaim(s, "resolve", &wirepb.Command{Body: &wirepb.Command_Resolve{Resolve: body.ClaimResolve}})
	case *wirepb.Frame_ClaimRelease:
		c.serveClaim(s, "release", &wirepb.Command{Body: &wirepb.Command_Release{Release: body.ClaimRelease}})
	case *wirepb.Frame_ClaimRead:
		c.serveClaimRead(s, body.ClaimRead)
	default:
		_ = s.WriteError(fault.New(fault.Protocol, "a control replica does not serve this message"))
	}
}

// servePeer serves streams that only control replicas may open.
func (c *Control) servePeer(peer link.Identity, s *wire.Stream, f *wirepb.Frame) {
	if peer.Role != roleControl {
		_ = s.WriteError(fault.New(fault.Forbidden, "role %q may not send messages of replicas", peer.Role))
		return
	}
	switch body := f.GetBody().(type) {
	case *wirepb.Frame_SnapshotChunk:
		c.receiveSnapshot(s, body.SnapshotChunk)
	case *wirepb.Frame_Forward:
		c.serveForward(s, body.Forward)
	default:
		c.receivePeerMessages(s, f)
	}
}

// receivePeerMessages passes Raft messages to the node and records status
// reports until the stream fails.
func (c *Control) receivePeerMessages(s *wire.Stream, f *wirepb.Frame) {
	for {
		switch body := f.GetBody().(type) {
		case *wirepb.Frame_Raft:
			c.node.Step(body.Raft)
		case *wirepb.Frame_PeerStatus:
			c.peers.record(c.opts.Now(), body.PeerStatus)
		default:
			return
		}
		_ = s.SetReadDeadline(time.Now().Add(peerIdleTimeout))
		var err error
		if f, err = s.Read(); err != nil {
			return
		}
	}
}
