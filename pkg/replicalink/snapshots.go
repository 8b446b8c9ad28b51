package replicalink

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	snapshotChunkBytes = 256 << 10
	// snapshotChunkTimeout limits the time to write or read one chunk.
	snapshotChunkTimeout = 10 * time.Second
	// maxSnapshotBytes limits a received snapshot. It leaves room beside the recorded
	// responses, which are limited to 1 GiB.
	maxSnapshotBytes = 3 << 30
)

// SendSnapshot sends a snapshot on a stream of its own. It does nothing after Close, and
// while an earlier snapshot is being sent to the same replica. The Raft leader asks for
// another one if a snapshot was lost.
func (t *Transport) SendSnapshot(to *wirepb.Voter, meta *wirepb.SnapshotMeta, data []byte) {
	t.mu.Lock()
	busy := t.sendingSnapshot[to.GetId()] || t.isClosed
	t.sendingSnapshot[to.GetId()] = true
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
		delete(t.sendingSnapshot, to.GetId())
		t.mu.Unlock()
		if err != nil {
			t.log.Warn("sending a snapshot failed", logs.Uint("replica", to.GetId()), logs.Err(err))
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
		end := min(offset+snapshotChunkBytes, len(data))
		chunk := &wirepb.SnapshotChunk{
			Meta:   meta,
			From:   t.selfID,
			Term:   term,
			Offset: uint64(offset),
			Data:   data[offset:end],
			Last:   end == len(data),
		}
		if err := writeWithTimeout(s, snapshotChunkTimeout, &wirepb.Frame{Body: &wirepb.Frame_SnapshotChunk{SnapshotChunk: chunk}}); err != nil {
			return err
		}
		if chunk.Last {
			return nil
		}
		offset = end
		if t.ctx.Err() != nil {
			return fault.New(fault.Draining, "replica is shutting down")
		}
	}
}

// ReceiveSnapshot reads the chunks that follow the given first one and returns the data of
// the snapshot.
func ReceiveSnapshot(s *wire.Stream, chunk *wirepb.SnapshotChunk) ([]byte, error) {
	var data []byte
	for {
		if chunk == nil || chunk.GetOffset() != uint64(len(data)) {
			return nil, fault.New(fault.Protocol, "snapshot chunk is missing or out of order at offset %d", len(data))
		}
		if len(data)+len(chunk.GetData()) > maxSnapshotBytes {
			return nil, fault.New(fault.Protocol, "snapshot exceeds %d bytes", int64(maxSnapshotBytes))
		}
		data = append(data, chunk.GetData()...)
		if chunk.GetLast() {
			return data, nil
		}
		_ = s.SetReadDeadline(time.Now().Add(snapshotChunkTimeout))
		f, err := s.Read()
		if err != nil {
			return nil, fault.Wrap(err, fault.Unavailable, "read snapshot at offset %d", len(data))
		}
		chunk = f.GetSnapshotChunk()
	}
}
