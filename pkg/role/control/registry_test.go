package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

type unavailableStream struct{}

func (unavailableStream) sendOrder(context.Context, *wirepb.Order) (*wirepb.OrderResult, error) {
	return nil, fault.New(fault.Unavailable, "no stream")
}
func (unavailableStream) closeWithError(error) {}

func testAnnouncement(host string, incarnation uint64) *wirepb.Announcement {
	return &wirepb.Announcement{Host: host, Incarnation: incarnation, AgentAddress: "127.0.0.1:1"}
}

// Guards against work for an upstream that is gone: a watcher that applies the
// deltas must hold exactly the upstreams whose lease is valid, and no
// incarnation may return after a higher one was registered.
func TestRegistry_DeltasFollowLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		r := NewRegistry(func(bool) {})
		type expected struct {
			reg         *registration
			incarnation uint64
			seen        time.Time
		}
		live, highest := map[string]*expected{}, map[string]uint64{}
		view, version := map[string]uint64{}, uint64(0)
		for range 80 {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "step")) * time.Millisecond)
			for _, reg := range r.Sweep(now) {
				assert.Assert(t, now.Sub(live[reg.host].seen) >= RegistrationLease)
				delete(live, reg.host)
			}
			host := fmt.Sprintf("h%d", rapid.IntRange(0, 3).Draw(t, "host"))
			incarnation := uint64(rapid.IntRange(1, 8).Draw(t, "incarnation"))
			switch known := live[host]; rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				reg, err := r.Register(now, testAnnouncement(host, incarnation), unavailableStream{})
				allowed := incarnation >= highest[host]
				assert.Equal(t, err == nil, allowed, "incarnation %d after %d: %v", incarnation, highest[host], err)
				if allowed {
					live[host] = &expected{reg, incarnation, now}
					highest[host] = incarnation
				}
			case 2, 3:
				if known != nil {
					assert.NilError(t, r.Heartbeat(now, known.reg, nil))
					known.seen = now
				}
			case 4:
				if known != nil {
					r.Deregister(now, known.reg)
					assert.Assert(t, r.Heartbeat(now, known.reg, nil) != nil)
					delete(live, host)
				}
			}
			if rapid.Bool().Draw(t, "look") {
				version = applyDelta(view, r.ChangesSince(version, false))
			}
		}
		applyDelta(view, r.ChangesSince(version, false))
		assert.Equal(t, len(view), len(live))
		for host, e := range live {
			assert.Equal(t, view[host], e.incarnation)
		}
	})
}

func applyDelta(view map[string]uint64, d upstreamDelta) uint64 {
	if d.Full {
		clear(view)
	}
	for _, a := range d.Put {
		view[a.Host] = a.Incarnation
	}
	for _, host := range d.Removed {
		delete(view, host)
	}
	return d.Version
}

// Guards against expiry of every upstream after a pause of the replica itself.
func TestRegistry_OwnPauseExtendsLeases(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := NewRegistry(func(bool) {})
	_, err := r.Register(now, testAnnouncement("h", 1), unavailableStream{})
	assert.NilError(t, err)
	r.Sweep(now)
	now = now.Add(time.Minute)
	assert.Equal(t, len(r.Sweep(now)), 0)
	for range 20 {
		now = now.Add(sweepInterval)
		r.Sweep(now)
	}
	assert.Assert(t, r.Find("h") == nil)
}
