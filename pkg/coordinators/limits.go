package coordinators

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// TakePermit asks the leader for a permit to send one request of a rank to an instance that
// names a limit. If there is none, it returns the time until there may be one.
func (c *Client) TakePermit(ctx context.Context, in *wirepb.Instance, rank int) (granted bool, wait time.Duration, err error) {
	request := &wirepb.PermitRequest{InstanceId: in.GetId(), BornUnixMs: in.GetBornUnixMs(), Rank: uint32(max(0, rank))}
	f, err := c.exchange(ctx, &wirepb.Frame{Body: &wirepb.Frame_PermitRequest{PermitRequest: request}})
	if err != nil {
		return false, 0, err
	}
	reply := f.GetPermitReply()
	if reply == nil {
		return false, 0, fault.New(fault.Protocol, "leader sent an unexpected reply to a request for a permit")
	}
	return reply.GetGranted(), time.Duration(reply.GetWaitMs()) * time.Millisecond, nil
}

// ReportLoss tells the leader which engines may be lost. The leader polls them.
func (c *Client) ReportLoss(ctx context.Context, r *wirepb.LossReport) error {
	_, err := c.exchange(ctx, &wirepb.Frame{Body: &wirepb.Frame_LossReport{LossReport: r}})
	return err
}

// ReportRequestLimit tells the leader of the limit that an instance named in a reply, in
// requests per second, or zero if it named none.
func (c *Client) ReportRequestLimit(ctx context.Context, in *wirepb.Instance, perSecond float64) error {
	report := &wirepb.RequestLimitReport{InstanceId: in.GetId(), BornUnixMs: in.GetBornUnixMs(), PerSecond: perSecond}
	_, err := c.exchange(ctx, &wirepb.Frame{Body: &wirepb.Frame_RequestLimitReport{RequestLimitReport: report}})
	return err
}
