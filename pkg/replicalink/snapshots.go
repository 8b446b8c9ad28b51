package replicalink

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	snapshotChunk = 256 << 10
	// snapshotStep bounds the time of one chunk.
	snapshotStep = 10 * time.Second
	// maxSnapshot bounds a received snapshot; recorded responses are bounded
	// by 1 GiB.
	maxSnapshot = 3 << 30
)

// SendSnapshot sends a snapshot on its own stream. Only one is on the way to
// each replica; consensus asks again when it got lost.
func (t *Transport) SendSnapshot(to *wirepb.Voter, meta *wirepb.SnapshotMeta, data []byte) {
	t.mu.Lock()
	busy := t.sending[to.GetId()] || t.isClosed
	t.sending[to.GetId()] = true
	if !busy {
		t.wg.Add(1)
	}
	t.mu.Unlock()
	if busy {
		return
	}
	go func() {
		defer t.wg.Done()
		err := t.sendChunks(to.GetPeerAddress(), meta, data)
		t.mu.Lock()
		delete(t.sending, to.GetId())
		t.mu.Unlock()
		if err != nil {
			t.log.Warn("snapshot not sent", logs.Uint("replica", to.GetId()), logs.Err(err))
		}
	}()
}

func (t *Transport) sendChunks(addr string, meta *wirepb.SnapshotMeta, data []byte) error {
	t.mu.Lock()
	leaderTerm := t.leaderTerm
	t.mu.Unlock()
	term, leads := leaderTerm()
	if !leads {
		return fault.New(fault.NotLeader, "leadership was lost before the snapshot was sent")
	}
	s, err := t.pool.Open(t.ctx, addr)
	if err != nil {
		return err
	}
	defer s.Close()
	offset := 0
	for {
		end := min(offset+snapshotChunk, len(data))
		chunk := &wirepb.SnapshotChunk{
			Meta:   meta,
			From:   t.self,
			Term:   term,
			Offset: uint64(offset),
			Data:   data[offset:end],
			Last:   end == len(data),
		}
		if err := writeWithin(s, snapshotStep, &wirepb.Frame{Body: &wirepb.Frame_SnapshotChunk{SnapshotChunk: chunk}}); err != nil {
			return err
		}
		if chunk.Last {
			return nil
		}
		offset = end
		if t.ctx.Err() != nil {
			return fault.New(fault.Draining, "replica stops")
		}
	}
}

// ReceiveSnapshot reads the chunks that follow the first one.
func ReceiveSnapshot(s *wire.Stream, chunk *wirepb.SnapshotChunk) ([]byte, error) {
	var data []byte
	for {
		if chunk == nil || chunk.GetOffset() != uint64(len(data)) {
			return nil, fault.New(fault.Protocol, "snapshot chunk is missing or out of order at offset %d", len(data))
		}
		if len(data)+len(chunk.GetData()) > maxSnapshot {
			return nil, fault.New(fault.Protocol, "snapshot is over %d bytes", int64(maxSnapshot))
		}
		data = append(data, chunk.GetData()...)
		if chunk.GetLast() {
			return data, nil
		}
		_ = s.SetReadDeadline(time.Now().Add(snapshotStep))
		f, err := s.Read()
		if err != nil {
			return nil, fault.Wrap(err, fault.Unavailable, "read snapshot at offset %d", len(data))
		}
		chunk = f.GetSnapshotChunk()
	}
}
