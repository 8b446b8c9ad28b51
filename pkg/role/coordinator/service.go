package coordinator

import (
	"context"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/coordinators"
	"github.com/plantainstair/plantainstair/pkg/core/document"
	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// maxPacked bounds a compressed configuration, so that it fits one message
	// between replicas, in bytes.
	maxPacked = 3 << 20
	// forwardTimeout is within the second that an instance waits.
	forwardTimeout = 700 * time.Millisecond
)

func (c *Coordinator) unpack(packed []byte) (*routing.Configuration, error) {
	data, err := document.Decompress(packed, coordinators.MaxDocument)
	if err != nil {
		return nil, err
	}
	return c.opts.Decode(data)
}

// Put stores a configuration. It returns nil once the configuration, or one
// with a higher version, is durable at a quorum; a NotLeader error names the
// leader.
func (c *Coordinator) Put(ctx context.Context, data []byte) error {
	conf, err := c.opts.Decode(data)
	if err != nil {
		c.metrics.refused.Inc()
		c.log.Info("Configuration refused.", logs.Int("bytes", len(data)), logs.Err(err))
		return err
	}
	if !c.Leads() {
		return c.notLeader()
	}
	packed, err := document.Compress(data)
	if err != nil {
		return err
	}
	command, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wirepb.DocumentChange{
		Version: conf.Version, Document: packed, Host: c.opts.Self.GetHost(), TimeUnixMs: time.Now().UnixMilli(),
	})
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode the change")
	}
	accepted, err := c.node.Propose(ctx, command)
	if err != nil {
		c.log.Warn("Configuration not confirmed.", logs.Uint("version", conf.Version), logs.Err(err))
		return err
	}
	outcome := "in_force"
	if accepted != true {
		outcome = "superseded"
	}
	c.metrics.changes.Inc()
	c.log.Info("Configuration acknowledged.", logs.Uint("version", conf.Version), logs.Str("outcome", outcome))
	return nil
}

// Get returns the newest configuration as it was sent. It fails when this
// replica cannot be sure that it is the newest.
func (c *Coordinator) Get(ctx context.Context) ([]byte, error) {
	if c.node == nil || !votes(c.node.Status().Voters, c.opts.Self.GetId()) {
		return nil, c.notLeader()
	}
	if _, err := c.node.ReadIndex(ctx); err != nil {
		return nil, err
	}
	version, packed := c.machine.current()
	if version == 0 {
		return nil, fault.New(fault.Unavailable, "there is no configuration yet").WithOutcome(fault.NotRun)
	}
	return document.Decompress(packed, coordinators.MaxDocument)
}

// Audit returns the changes that were sent, oldest first.
func (c *Coordinator) Audit() []*wirepb.DocumentRecord { return c.machine.records() }

// LeaderAddress returns the address of the leader for operators and instances,
// or the empty string while none is known.
func (c *Coordinator) LeaderAddress() string {
	if v := c.leader(); v != nil {
		return v.GetAdminAddress()
	}
	host, _, _ := net.SplitHostPort(c.watchedLeader())
	_, port, _ := net.SplitHostPort(c.opts.Self.GetAdminAddress())
	if host == "" || port == "" {
		return ""
	}
	return net.JoinHostPort(host, port) // the same port on all hosts
}

// Announce takes an announcement, or a leave, of an instance. It returns the address
// for the next one, this process, once the leader knows what it says.
func (c *Coordinator) Announce(ctx context.Context, in *wirepb.Instance) (string, error) {
	own := c.opts.Self.GetAdminAddress()
	err := c.takeBeat(ctx, in)
	if !fault.Is(err, fault.NotLeader) {
		return own, err
	}
	if c.relay.repeats(time.Now(), in) {
		c.metrics.relayed.Inc()
		return own, nil
	}
	for _, address := range c.leaderCandidates(err) {
		frame := &wirepb.Frame{Body: &wirepb.Frame_InstanceBeat{InstanceBeat: &wirepb.InstanceBeat{Instance: in}}}
		_, e := c.pool.Exchange(ctx, address, frame)
		if e == nil {
			c.relay.taken(time.Now(), in)
			return own, nil
		}
		err = e
	}
	return "", err
}

// leaderCandidates returns where to look for the leader: what the error names,
// or the other replicas.
func (c *Coordinator) leaderCandidates(err error) []string {
	if address := fault.As(err).Leader; address != "" {
		return []string{address}
	}
	return c.otherReplicas()
}

func (c *Coordinator) takeBeat(ctx context.Context, in *wirepb.Instance) error {
	if !c.Leads() {
		return c.notLeader()
	}
	now := time.Now()
	leading := false
	err := c.call(ctx, func() {
		if leading = c.Leads(); !leading {
			return
		}
		if !c.leading {
			c.step(now)
		}
		c.takeAnnouncement(now, in)
	})
	if err == nil && !leading {
		err = c.notLeader()
	}
	return err
}

// takeAnnouncement runs on the owner.
func (c *Coordinator) takeAnnouncement(now time.Time, in *wirepb.Instance) {
	held := c.registry.Get(in.GetId())
	if in.GetLeft() {
		c.registry.RecordLeave(now, in.GetId())
		c.log.Info("Instance left.", logs.Str("instance", in.GetId()), logs.Int("announced", bit(held.GetLeaving())))
		c.wakeOwner()
		c.watchers.wake()
		return
	}
	if !c.registry.Announce(now, in) {
		c.log.Debug("Announcement is older than what is known.", logs.Str("instance", in.GetId()), logs.Uint("sequence", in.GetSequence()))
		return
	}
	switch {
	case held == nil:
		c.log.Info("Instance announced.", logs.Str("instance", in.GetId()), logs.Str("address", in.GetAddress()), logs.Str("data_centre", in.GetDataCentre()), logs.Str("accelerator", in.GetAccelerator()))
	case held.GetBornUnixMs() != in.GetBornUnixMs():
		c.log.Info("Instance started again.", logs.Str("instance", in.GetId()), logs.Str("address", in.GetAddress()))
	case in.GetDraining() && !held.GetLeaving():
		c.log.Info("Instance leaves.", logs.Str("instance", in.GetId()), logs.Uint("sequence", in.GetSequence()))
	default:
		return
	}
	c.watchers.wake()
	c.wakeOwner()
}

// Ready reports why this replica cannot serve.
func (c *Coordinator) Ready() error {
	if c.node == nil {
		return nil
	}
	s := c.node.Status()
	if s.Failed != nil {
		return s.Failed
	}
	if s.Leader == 0 {
		return fault.New(fault.Unavailable, "no leader is known")
	}
	return nil
}
