package replica

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against losing acknowledged writes over elections and restarts.
func TestReplicationElectionAndRestart(t *testing.T) {
	c := newCluster(t, 3, func(o *Options) { o.SnapshotEntries = 20; o.TrailingEntries = 5; o.SegmentSize = 2000 })
	for i := range 50 {
		c.mustPropose(fmt.Sprint("a", i))
	}
	lead := c.leader().opts.ID
	follower := lead%3 + 1
	_, err := c.replica(follower).Propose(testContext(t), []byte("x"))
	assert.Equal(t, fault.KindOf(err), fault.NotLeader)
	assert.Equal(t, fault.As(err).Leader, voter(lead).PeerAddress)
	c.stop(lead)
	c.mustPropose("b")
	for i := range 50 {
		c.mustPropose(fmt.Sprint("c", i))
	}
	c.start(lead, nil)
	c.waitValue(lead, "c49")
	for _, v := range c.voters {
		c.stop(v.Id)
	}
	for _, v := range c.voters {
		c.start(v.Id, nil)
	}
	_, err = c.leader().ReadIndex(testContext(t))
	assert.NilError(t, err)
	for _, v := range c.voters {
		c.waitValue(v.Id, "c49")
	}
}

// Guards against a joining replica that never becomes a voter, and against a
// removed one that still counts.
func TestVoterChanges(t *testing.T) {
	c := newCluster(t, 3, func(o *Options) { o.SnapshotEntries = 20; o.TrailingEntries = 5 })
	for i := range 100 {
		c.mustPropose(fmt.Sprint("a", i))
	}
	c.start(4, func(o *Options) { o.Join = true; o.Bootstrap = nil })
	c.change(voter(4), false)
	c.waitValue(4, "a99")
	lead := c.leader().opts.ID
	c.change(voter(lead), true)
	c.stop(lead)
	c.mustPropose("b", lead)
	c.waitValue(4, "b")
}

func (c *cluster) change(v *wirepb.Voter, remove bool) {
	c.t.Helper()
	eventually(c.t, "voter change failed", func() bool {
		err := c.leader().ChangeVoter(testContext(c.t), v, remove)
		if err != nil {
			c.t.Log(err)
		}
		return err == nil
	})
}
