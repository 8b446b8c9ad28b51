package coordinator

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/core/registry"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against updates with loads that fill the link of the leader and delay the
// configuration at the gateways by seconds: with 170 engines and 97 gateways they needed 2.1
// MB/s on a link of 1.75 MB/s. Other changes are still sent with the next update.
func TestCollectUpdate_LoadsOfLargeFleetsStayWithinTheirRate(t *testing.T) {
	for _, size := range []struct{ engines, watchers int }{{40, 20}, {170, 100}, {500, 300}} {
		c := &Coordinator{registry: registry.New(), polls: make(map[string]*pollState)}
		c.watchers.init()
		c.watchers.add(false, size.watchers-3)
		c.watchers.add(true, 3)
		now := time.Now()
		for i := range size.engines {
			id := fmt.Sprintf("i-%010x", i)
			c.polls[id] = &pollState{}
			c.registry.Announce(now, &wirepb.Instance{
				Id: id, BornUnixMs: 1_700_000_000_000, Sequence: 20, Service: "huvo11a", Address: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250),
				DataCentre: "krakow-a", Slots: 192, Accelerator: "v100", Models: []string{"daka510000"},
			})
			c.registry.ApplyPoll(now, id, registry.PollResult{Orders: 3, Layers: &wirepb.LayerRange{From: 20, To: 25}, Load: &wirepb.InstanceLoad{}})
		}
		state := &watcherState{transferring: true}
		sent, newest, suspectSent := 0, uint32(0), false
		const length, step = 20 * time.Second, 100 * time.Millisecond
		for at := time.Duration(0); at < length; at += step {
			now := now.Add(at)
			for i, in := range c.registry.All() {
				if (int(at/step)+i)%3 == 0 { // each engine is polled every 300 ms
					c.registry.ApplyPoll(now, in.GetId(), registry.PollResult{Orders: in.GetOrders(), Layers: in.GetLayers(),
						Load: &wirepb.InstanceLoad{Active: uint32(at / step), KvUsed: 900_000, KvTotal: 1_400_000, Slowdown: 1.25}})
				}
			}
			if at == length/2 {
				c.registry.MarkSuspect("i-0000000007")
			}
			u := &wirepb.FleetUpdate{}
			c.collectUpdate(now, u, state)
			if at >= time.Second { // the first updates, which carry the whole registry, do not count
				sent += proto.Size(u)
			}
			for _, in := range u.GetInstances() {
				newest = max(newest, in.GetLoad().GetActive())
				suspectSent = suspectSent || at == length/2 && in.GetSuspect()
			}
		}
		rate := float64(sent) * float64(size.watchers) / length.Seconds()
		assert.Assert(t, suspectSent, "the suspect engine was not sent with the next update")
		age := length - time.Duration(newest)*step
		assert.Assert(t, age <= maxLoadDelay+2*step, "%+v: the newest load is %s old", size, age)
		if size.engines < 100 {
			assert.Equal(t, loadInterval(size.engines, size.watchers), time.Duration(0), "loads of a small fleet are delayed")
		}
		// In a fleet that reaches maxLoadDelay, loads are sent at that interval whatever the rate.
		assert.Assert(t, rate <= 1.1*maxLoadBytesPerSecond || loadInterval(size.engines, size.watchers) == maxLoadDelay, "%+v: %.0f bytes a second", size, rate)
	}
}

// Guards against a transfer of the whole registry that takes longer than the watcher
// waits, loses a change made meanwhile, or keeps instances that no longer exist.
func TestCollectUpdate_LargeRegistryIsSentInParts(t *testing.T) {
	const instances = 3*maxInstancesPerUpdate + 7
	c := &Coordinator{registry: registry.New(), polls: make(map[string]*pollState)}
	c.watchers.init()
	now := time.Now()
	id := func(i int) string { return fmt.Sprintf("i%04d", i) }
	for i := range instances {
		c.registry.Announce(now, &wirepb.Instance{Id: id(i), BornUnixMs: 1, Sequence: 1, Address: id(i)})
	}
	state := &watcherState{firstUpdate: true}
	u := &wirepb.FleetUpdate{}
	c.collectUpdate(now, u, state)
	assert.Assert(t, state.needsTransfer && !u.Full && len(u.Instances) == 0, "instances are sent without a transfer slot")
	state.transferring = true
	sent := make(map[string]bool) // whether it was sent as suspect
	full := false
	for n := 0; !full; n++ {
		u := &wirepb.FleetUpdate{}
		c.collectUpdate(now, u, state)
		assert.Assert(t, len(u.Instances) <= maxInstancesPerUpdate && n <= instances/maxInstancesPerUpdate)
		for _, in := range u.Instances {
			sent[in.GetId()] = in.GetSuspect()
		}
		full = u.Full
		if n == 0 {
			c.registry.MarkSuspect(id(instances - 1))
		}
	}
	assert.Equal(t, len(sent), instances)
	assert.Assert(t, state.pending == nil)
	u = &wirepb.FleetUpdate{}
	c.collectUpdate(now, u, state)
	assert.Assert(t, !u.Full && len(u.Instances) == 1 && u.Instances[0].GetSuspect(), "%v", u)
}

// Guards against a watcher that keeps an instance which a new leader does not know for as long as
// it watches, and against one that drops it before it could announce itself to that leader.
func TestCollectUpdate_WatcherDropsWhatNewLeaderNeverHeardOf(t *testing.T) {
	for _, instances := range []int{1, 3, 2*maxInstancesPerUpdate + 1} {
		start := time.Now()
		c := &Coordinator{registry: registry.New(), polls: make(map[string]*pollState), leaderSince: start}
		c.watchers.init()
		id := func(i int) string { return fmt.Sprintf("i%04d", i) }
		for i := range instances {
			c.registry.Announce(start, &wirepb.Instance{Id: id(i), BornUnixMs: 1, Sequence: 1, Address: id(i)})
		}
		state := &watcherState{firstUpdate: true, transferring: true}
		fullUpdates, sent := 0, 0
		for at := time.Duration(0); at < takeOverTime+5*updateInterval; at += updateInterval {
			u := &wirepb.FleetUpdate{}
			c.collectUpdate(start.Add(at), u, state)
			sent += len(u.Instances)
			if u.Full {
				assert.Assert(t, at >= takeOverTime, "the watcher drops instances after %s", at)
				fullUpdates++
			}
		}
		assert.Equal(t, fullUpdates, 1, "of a registry of %d", instances)
		assert.Equal(t, sent, instances, "instances were sent again")
	}
}
