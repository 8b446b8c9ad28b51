package raft

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Bootstrap agrees on the disks that make up a new cluster. A replica on an
// empty directory can't tell a first start from a replaced disk, so it votes
// only after every other initial voter durably noted its member id. A voter
// that noted another disk for the same id refuses, and the replica then must
// not run under that id.
type Bootstrap struct {
	id        uint64
	voters    []*wirepb.Voter // with the member ids known so far
	list      uint64          // fingerprint of the initial configuration
	confirmed map[uint64]bool
	refusedBy uint64
}

// NewBootstrap continues a formation. The voter with the given id must carry
// its member id.
func NewBootstrap(id uint64, voters []*wirepb.Voter) *Bootstrap {
	f := &Bootstrap{id: id, confirmed: map[uint64]bool{id: true}}
	for _, v := range voters {
		f.voters = append(f.voters, proto.CloneOf(v))
	}
	slices.SortFunc(f.voters, func(a, b *wirepb.Voter) int { return cmp.Compare(a.Id, b.Id) })
	f.list = fingerprint(f.voters, func(v *wirepb.Voter) uint64 { return xxhash.Sum64String(v.PeerAddress) })
	return f
}

func fingerprint(voters []*wirepb.Voter, of func(*wirepb.Voter) uint64) uint64 {
	var b []byte
	for _, v := range voters {
		b = binary.BigEndian.AppendUint64(b, v.Id)
		b = binary.BigEndian.AppendUint64(b, of(v))
	}
	return xxhash.Sum64(b)
}

// Requests returns the messages to the voters that did not confirm yet.
func (f *Bootstrap) Requests() []*wirepb.RaftMessage {
	var out []*wirepb.RaftMessage
	for _, v := range f.voters {
		if !f.confirmed[v.Id] {
			out = append(out, &wirepb.RaftMessage{
				Type: uint32(MsgBootstrap), From: f.id, To: v.Id, Member: f.member(f.id), LogTerm: f.list,
			})
		}
	}
	return out
}

// Step handles a message. When noted is true the voters changed and must be
// durable before the reply is sent.
func (f *Bootstrap) Step(m *wirepb.RaftMessage) (reply *wirepb.RaftMessage, noted bool) {
	kind := MessageType(m.Type)
	v := findVoter(f.voters, m.From)
	if v == nil || (kind != MsgBootstrap && kind != MsgBootstrapReply) {
		return nil, false
	}
	if m.To != f.id || m.From == f.id || m.Member == 0 || m.LogTerm != f.list {
		return nil, false
	}
	if v.Member == 0 {
		v.Member = m.Member
		noted = true
	}
	same := v.Member == m.Member
	if kind == MsgBootstrap {
		return f.answer(m, same), noted
	}
	f.takeAnswer(m, same)
	return nil, noted
}

func (f *Bootstrap) takeAnswer(m *wirepb.RaftMessage, same bool) {
	switch {
	case m.Context != f.member(f.id):
		return // answer to an earlier disk
	case m.Reject:
		f.refusedBy = m.From
	case same:
		f.confirmed[m.From] = true
	}
}

// ReplyTo replies to a replica that is still forming, from one that is formed.
func (f *Bootstrap) ReplyTo(m *wirepb.RaftMessage) *wirepb.RaftMessage {
	v := findVoter(f.voters, m.From)
	if v == nil || MessageType(m.Type) != MsgBootstrap || m.To != f.id {
		return nil
	}
	return f.answer(m, v.Member == m.Member)
}

func (f *Bootstrap) answer(m *wirepb.RaftMessage, same bool) *wirepb.RaftMessage {
	return &wirepb.RaftMessage{
		Type: uint32(MsgBootstrapReply), From: f.id, To: m.From, Member: f.member(f.id),
		Context: m.Member, LogTerm: m.LogTerm, Reject: !same,
	}
}

func (f *Bootstrap) member(id uint64) uint64 { return findVoter(f.voters, id).Member }

// RefusedBy returns the voter that knows this id with another disk, or None.
func (f *Bootstrap) RefusedBy() uint64 { return f.refusedBy }

// Done reports whether every initial voter confirmed.
func (f *Bootstrap) Done() bool { return len(f.confirmed) == len(f.voters) }

// Voters returns the initial configuration with the member ids known so far.
func (f *Bootstrap) Voters() []*wirepb.Voter { return f.voters }

// ClusterID returns the identity of the formed cluster.
func (f *Bootstrap) ClusterID() uint64 { return fingerprint(f.voters, (*wirepb.Voter).GetMember) }
