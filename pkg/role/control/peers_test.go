package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against a leader whose clock is far off: log time would follow it,
// and every idempotency key would look expired.
func TestCorrectedTime_FollowsMedianOfPeerClocks(t *testing.T) {
	real := time.Unix(1_700_000_000, 0)
	for name, c := range map[string]struct {
		own, second, third time.Duration // clock errors
		want               time.Duration
	}{
		"agreement":           {0, time.Second, -time.Second, 0},
		"own clock ahead":     {time.Hour, 0, time.Millisecond, 0},
		"own clock behind":    {-time.Hour, 0, time.Millisecond, 0},
		"another clock ahead": {0, time.Hour, time.Second, 0},
		"two differ":          {0, time.Hour, -time.Hour, 0},
	} {
		now := real.Add(c.own)
		p := newPeers(func() {})
		for id, clock := range []time.Duration{c.second, c.third} {
			p.record(now, &wirepb.PeerStatus{From: uint64(id + 2), TimeUnixMs: real.Add(clock).UnixMilli()})
		}
		off := p.correctedTime(now).Sub(real) - c.want
		assert.Assert(t, off.Abs() <= maxClockError, "%s: off by %s", name, off)
		later := now.Add(2 * peerReportTTL)
		assert.Equal(t, p.correctedTime(later), later, "%s: old reports count", name)
	}
}
