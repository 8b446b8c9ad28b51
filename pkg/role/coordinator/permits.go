package coordinator

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/registry"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// unknownInstanceWait is the wait for a permit for an instance that the leader does not know:
// the gateway hears of its end within it.
const unknownInstanceWait = 200 * time.Millisecond

// answerPermit answers a request for a permit to send one request to an instance. It runs on
// the owner.
func (c *Coordinator) answerPermit(now time.Time, r *wirepb.PermitRequest) *wirepb.Frame {
	granted, wait := c.takePermit(now, r)
	if !granted {
		c.metrics.deniedPermits.Inc()
	}
	reply := &wirepb.PermitReply{Granted: granted, WaitMs: uint32(wait.Milliseconds())}
	return &wirepb.Frame{Body: &wirepb.Frame_PermitReply{PermitReply: reply}}
}

func (c *Coordinator) takePermit(now time.Time, r *wirepb.PermitRequest) (granted bool, wait time.Duration) {
	in := c.registry.Get(r.GetInstanceId())
	switch {
	case in == nil || in.GetBornUnixMs() != r.GetBornUnixMs():
		return false, unknownInstanceWait
	case in.GetRequestLimit() <= 0:
		return true, 0 // the gateway has not heard yet that the limit has ended
	}
	return c.permits.Take(now, in.GetId(), in.GetRequestLimit(), int(r.GetRank()))
}

// recordRequestLimit records a limit that an instance named in a reply to a gateway. It runs
// on the owner.
func (c *Coordinator) recordRequestLimit(r *wirepb.RequestLimitReport) *wirepb.Frame {
	known := c.registry.Get(r.GetInstanceId())
	if registry.ValidRequestLimit(r.GetPerSecond()) && known != nil && known.GetBornUnixMs() == r.GetBornUnixMs() && known.GetRequestLimit() != r.GetPerSecond() {
		c.logRequestLimit(known, r.GetPerSecond())
		c.registry.SetRequestLimit(known.GetId(), r.GetPerSecond())
		c.watchers.signalChange()
	}
	return &wirepb.Frame{Body: &wirepb.Frame_RequestLimitReportReply{RequestLimitReportReply: &wirepb.RequestLimitReportReply{}}}
}

// logRequestLimit logs the limit that an instance names now if it differs from the known one.
func (c *Coordinator) logRequestLimit(known *wirepb.Instance, limit float64) {
	if before := known.GetRequestLimit(); before != limit {
		c.log.Info("Request limit changed.", logs.Str("instance", known.GetId()), logs.Float("per_second", limit), logs.Float("before", before))
	}
}

// forgetPermits forgets the permits of instances that name no limit. It runs on the owner.
func (c *Coordinator) forgetPermits() {
	c.permits.Retain(func(id string) bool { return c.registry.Get(id).GetRequestLimit() > 0 })
}
