package control

import (
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/replicalink"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// receiveSnapshot collects the chunks of a snapshot and installs it on the
// node.
func (c *Control) receiveSnapshot(s *wire.Stream, first *wirepb.SnapshotChunk) {
	data, err := replicalink.ReceiveSnapshot(s, first)
	if err == nil {
		err = c.node.InstallSnapshot(first.GetMeta(), first.GetFrom(), first.GetTerm(), data)
	}
	if err != nil {
		c.log.Warn("snapshot not installed", logs.Uint("from", first.GetFrom()), logs.Err(err))
		return
	}
	c.log.Info("snapshot installed", logs.Uint("index", first.GetMeta().GetIndex()), logs.Int("bytes", len(data)))
}
