package raft

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Bootstrap is the agreement of the initial voters of a new cluster on their
// member IDs, which identify their data directories. A node with an empty directory
// cannot tell a first start from a replaced data directory, so it votes only after
// every other initial voter has durably recorded its member ID. A voter that has
// already recorded another member ID for the same node refuses, and the node then
// must not run under its ID.
type Bootstrap struct {
	id         uint64
	voters     []*wirepb.Voter // with the member IDs recorded so far
	votersHash uint64          // fingerprint of the IDs and addresses of the initial voters
	confirmed  map[uint64]bool
	refusedBy  uint64
}

// NewBootstrap returns a bootstrap of the node with the given ID. The voters are
// the initial configuration with the member IDs recorded so far, of which the
// node's own must be set.
func NewBootstrap(id uint64, voters []*wirepb.Voter) *Bootstrap {
	boot := &Bootstrap{id: id, confirmed: map[uint64]bool{id: true}}
	for _, v := range voters {
		boot.voters = append(boot.voters, proto.CloneOf(v))
	}
	slices.SortFunc(boot.voters, func(a, b *wirepb.Voter) int { return cmp.Compare(a.Id, b.Id) })
	boot.votersHash = fingerprint(boot.voters, func(v *wirepb.Voter) uint64 { return xxhash.Sum64String(v.PeerAddress) })
	return boot
}

func fingerprint(voters []*wirepb.Voter, of func(*wirepb.Voter) uint64) uint64 {
	var b []byte
	for _, v := range voters {
		b = binary.BigEndian.AppendUint64(b, v.Id)
		b = binary.BigEndian.AppendUint64(b, of(v))
	}
	return xxhash.Sum64(b)
}

// Requests returns a request to each voter that has not yet confirmed the member
// ID of this node.
func (b *Bootstrap) Requests() []*wirepb.RaftMessage {
	var out []*wirepb.RaftMessage
	for _, v := range b.voters {
		if !b.confirmed[v.Id] {
			out = append(out, &wirepb.RaftMessage{
				Type: uint32(MsgBootstrap), From: b.id, To: v.Id, Member: b.member(b.id), LogTerm: b.votersHash,
			})
		}
	}
	return out
}

// Step handles a message from another initial voter. If recorded is true, Voters
// changed and must be durable before the reply is sent.
func (b *Bootstrap) Step(m *wirepb.RaftMessage) (reply *wirepb.RaftMessage, recorded bool) {
	kind := MessageType(m.Type)
	v := findVoter(b.voters, m.From)
	if v == nil || (kind != MsgBootstrap && kind != MsgBootstrapReply) {
		return nil, false
	}
	if m.To != b.id || m.From == b.id || m.Member == 0 || m.LogTerm != b.votersHash {
		return nil, false
	}
	if v.Member == 0 {
		v.Member = m.Member
		recorded = true
	}
	sameMember := v.Member == m.Member
	if kind == MsgBootstrap {
		return b.newReply(m, sameMember), recorded
	}
	b.handleReply(m, sameMember)
	return nil, recorded
}

func (b *Bootstrap) handleReply(m *wirepb.RaftMessage, sameMember bool) {
	switch {
	case m.Context != b.member(b.id):
		return // reply to a request from an earlier data directory
	case m.Reject:
		b.refusedBy = m.From
	case sameMember:
		b.confirmed[m.From] = true
	}
}

// ReplyTo returns the reply of a node that has finished its bootstrap to a request
// of one that has not, or nil if the message is not a valid request.
func (b *Bootstrap) ReplyTo(m *wirepb.RaftMessage) *wirepb.RaftMessage {
	v := findVoter(b.voters, m.From)
	if v == nil || MessageType(m.Type) != MsgBootstrap || m.To != b.id {
		return nil
	}
	return b.newReply(m, v.Member == m.Member)
}

func (b *Bootstrap) newReply(m *wirepb.RaftMessage, sameMember bool) *wirepb.RaftMessage {
	return &wirepb.RaftMessage{
		Type: uint32(MsgBootstrapReply), From: b.id, To: m.From, Member: b.member(b.id),
		Context: m.Member, LogTerm: m.LogTerm, Reject: !sameMember,
	}
}

func (b *Bootstrap) member(id uint64) uint64 { return findVoter(b.voters, id).Member }

// RefusedBy returns the voter that has recorded another member ID for this node,
// or None.
func (b *Bootstrap) RefusedBy() uint64 { return b.refusedBy }

// Done reports whether every initial voter has confirmed.
func (b *Bootstrap) Done() bool { return len(b.confirmed) == len(b.voters) }

// Voters returns the initial configuration with the member IDs recorded so far.
func (b *Bootstrap) Voters() []*wirepb.Voter { return b.voters }

// ClusterID returns the identity of the new cluster, which is derived from the
// node and member IDs. It is valid once Done reports true.
func (b *Bootstrap) ClusterID() uint64 { return fingerprint(b.voters, (*wirepb.Voter).GetMember) }
