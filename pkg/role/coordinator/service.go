package coordinator

import (
	"context"
	"net"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/coordinators"
	"github.com/plantainstair/plantainstair/pkg/core/document"
	"github.com/plantainstair/plantainstair/pkg/core/registry"
	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// maxCompressedBytes bounds a compressed configuration, so that it fits in one message
	// between replicas.
	maxCompressedBytes = 3 << 20
	// forwardTimeout leaves time to answer within the second that an instance waits.
	forwardTimeout = 700 * time.Millisecond
)

func (c *Coordinator) decodeCompressed(compressed []byte) (*routing.Configuration, error) {
	data, err := document.Decompress(compressed, coordinators.MaxDocumentBytes)
	if err != nil {
		return nil, err
	}
	return c.opts.Decode(data)
}

// Put stores a configuration. It returns nil once this configuration, or one with a higher
// version, is durable at a quorum. On a replica that is not the leader it returns a
// NotLeader error that names the leader if known.
func (c *Coordinator) Put(ctx context.Context, data []byte) error {
	conf, err := c.opts.Decode(data)
	if err != nil {
		c.metrics.refusedConfigurations.Inc()
		c.log.Info("Configuration refused.", logs.Int("bytes", len(data)), logs.Err(err))
		return err
	}
	if !c.IsLeader() {
		return c.notLeaderError()
	}
	compressed, err := document.Compress(data)
	if err != nil {
		return err
	}
	command, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wirepb.DocumentChange{
		Version: conf.Version, Document: compressed, Host: c.opts.Self.GetHost(), TimeUnixMs: time.Now().UnixMilli(),
	})
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode the configuration change")
	}
	effect, err := c.node.Propose(ctx, command)
	if err != nil {
		c.log.Warn("Configuration not confirmed.", logs.Uint("version", conf.Version), logs.Err(err))
		return err
	}
	outcome := "in_force"
	if effect != document.DocumentStored {
		outcome = "superseded"
	}
	c.metrics.acknowledgedConfigurations.Inc()
	c.log.Info("Configuration acknowledged.", logs.Uint("version", conf.Version), logs.Str("outcome", outcome))
	return nil
}

// Get returns the newest configuration byte for byte as it was put. It fails when this
// replica cannot confirm that its configuration is the newest.
func (c *Coordinator) Get(ctx context.Context) ([]byte, error) {
	if c.node == nil || !isVotingMember(c.node.Status().CommittedVoters, c.opts.Self.GetId()) {
		return nil, c.notLeaderError()
	}
	if _, err := c.node.ReadIndex(ctx); err != nil {
		return nil, err
	}
	version, compressed := c.stateMachine.current()
	if version == 0 {
		return nil, fault.New(fault.Unavailable, "no configuration is stored yet").WithOutcome(fault.NotRun)
	}
	return document.Decompress(compressed, coordinators.MaxDocumentBytes)
}

// AuditRecords returns the records of the proposed configuration changes, oldest first.
func (c *Coordinator) AuditRecords() []*wirepb.DocumentRecord { return c.stateMachine.records() }

// LeaderAdminAddress returns the admin address of the leader, which operators and instances
// use, or the empty string while none is known.
func (c *Coordinator) LeaderAdminAddress() string {
	if v := c.leader(); v != nil {
		return v.GetAdminAddress()
	}
	host, _, _ := net.SplitHostPort(c.watchedLeader())
	_, port, _ := net.SplitHostPort(c.opts.Self.GetAdminAddress())
	if host == "" || port == "" {
		return ""
	}
	return net.JoinHostPort(host, port) // the admin port is the same on all hosts
}

// Announce passes an announcement, or the notice that an instance has left, to the leader.
// Once the leader has accepted it, or if it only repeats what the leader already knows,
// Announce returns the address of this process, to which the next announcement goes.
func (c *Coordinator) Announce(ctx context.Context, in *wirepb.Instance) (string, error) {
	own := c.opts.Self.GetAdminAddress()
	if err := c.checkAnnouncement(in); err != nil {
		return "", err
	}
	err := c.acceptAnnouncement(ctx, in)
	if !fault.Is(err, fault.NotLeader) {
		return own, err
	}
	if c.relay.recordRepeat(time.Now(), in) {
		c.metrics.relayedAnnouncements.Inc()
		return own, nil
	}
	for _, address := range c.leaderCandidates(err) {
		frame := &wirepb.Frame{Body: &wirepb.Frame_InstanceBeat{InstanceBeat: &wirepb.InstanceBeat{Instance: in}}}
		_, e := c.pool.Exchange(ctx, address, frame)
		if e == nil {
			c.relay.recordAccepted(time.Now(), in)
			return own, nil
		}
		err = e
	}
	return "", err
}

// leaderCandidates returns the address of the leader that the error names, or those of the
// other replicas.
func (c *Coordinator) leaderCandidates(err error) []string {
	if address := fault.As(err).Leader; address != "" {
		return []string{address}
	}
	return c.otherCoordinators()
}

// checkAnnouncement returns an error if an announcement, or the notice that an instance has
// left, names no usable instance. Such entries come from other writers and reach no state.
func (c *Coordinator) checkAnnouncement(in *wirepb.Instance) error {
	var err error
	if in.GetLeft() {
		err = registry.CheckID(in.GetId())
	} else {
		err = registry.Check(time.Now(), in)
	}
	if err != nil {
		c.metrics.refusedInstances.Inc()
		c.log.Debug("Announcement refused.", logs.Str("instance", strconv.Quote(in.GetId())), logs.Err(err))
	}
	return err
}

// acceptAnnouncement records an announcement on the leader. It returns nil once a departure is
// durable at a quorum, so that the next leader knows it as well. Anything else is announced
// again.
func (c *Coordinator) acceptAnnouncement(ctx context.Context, in *wirepb.Instance) error {
	if !c.IsLeader() {
		return c.notLeaderError()
	}
	now := time.Now()
	leading := false
	var roomErr error
	var departure *wirepb.Departure
	err := c.runOnOwner(ctx, func() {
		if leading = c.IsLeader(); !leading {
			return
		}
		if !c.leading {
			c.step(now)
		}
		if !in.GetLeft() {
			roomErr = c.registry.CheckRoom(in)
		}
		if roomErr == nil {
			departure = c.applyAnnouncement(now, in)
		}
	})
	switch {
	case err != nil:
		return err
	case !leading:
		return c.notLeaderError()
	case roomErr != nil:
		c.metrics.refusedInstances.Inc()
		c.log.Warn("Announcement refused.", logs.Str("instance", in.GetId()), logs.Err(roomErr))
		return roomErr
	}
	return c.replicateDeparture(ctx, departure)
}

// replicateDeparture returns nil once the departure is durable at a quorum, or if there is none.
func (c *Coordinator) replicateDeparture(ctx context.Context, d *wirepb.Departure) error {
	if d == nil || c.stateMachine.hasDeparted(d) {
		return nil
	}
	command, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wirepb.DocumentChange{
		Departure: d, Host: c.opts.Self.GetHost(), TimeUnixMs: d.GetTimeUnixMs(),
	})
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode the departure")
	}
	if _, err := c.node.Propose(ctx, command); err != nil {
		c.metrics.unconfirmedDepartures.Inc()
		c.log.Warn("Departure not confirmed.", logs.Str("instance", d.GetInstanceId()), logs.Err(err))
		return err
	}
	return nil
}

// applyAnnouncement records an announcement in the registry. An instance is leaving once it
// announced that it drains, gets no new requests from DrainDelay later on, and has left once
// it said so. applyAnnouncement returns the departure that the next leader has to know, or nil.
// It runs on the owner.
func (c *Coordinator) applyAnnouncement(now time.Time, in *wirepb.Instance) *wirepb.Departure {
	known := c.registry.Get(in.GetId())
	if in.GetLeft() {
		c.registry.RecordLeave(now, in.GetId())
		c.log.Info("Instance left.", logs.Str("instance", in.GetId()), logs.Int("known", boolToInt(known != nil)), logs.Int("announced", boolToInt(known.GetLeaving())))
		c.requestStep()
		c.watchers.signalChange()
		switch {
		case known != nil:
			return departureOf(now, in.GetId(), known.GetBornUnixMs())
		case now.Sub(c.leaderSince) < takeOverTime: // a watcher may still know it
			return departureOf(now, in.GetId(), now.UnixMilli())
		}
		return nil
	}
	var departure *wirepb.Departure
	if in.GetDraining() {
		departure = departureOf(now, in.GetId(), in.GetBornUnixMs())
	}
	if !c.registry.Announce(now, in) {
		c.log.Debug("Outdated announcement ignored.", logs.Str("instance", in.GetId()), logs.Uint("sequence", in.GetSequence()))
		return departure
	}
	switch {
	case known == nil:
		c.log.Info("Instance announced.", logs.Str("instance", in.GetId()), logs.Str("address", in.GetAddress()), logs.Str("data_centre", in.GetDataCentre()), logs.Str("accelerator", in.GetAccelerator()))
	case known.GetBornUnixMs() != in.GetBornUnixMs():
		c.log.Info("Instance started again.", logs.Str("instance", in.GetId()), logs.Str("address", in.GetAddress()))
	case in.GetDraining() && !known.GetLeaving():
		c.log.Info("Instance leaves.", logs.Str("instance", in.GetId()), logs.Uint("sequence", in.GetSequence()))
	default:
		return departure
	}
	c.watchers.signalChange()
	c.requestStep()
	return departure
}

func departureOf(now time.Time, id string, bornUnixMs int64) *wirepb.Departure {
	return &wirepb.Departure{InstanceId: id, BornUnixMs: bornUnixMs, TimeUnixMs: now.UnixMilli()}
}

// Ready returns nil if this replica can serve, and otherwise the reason why it cannot.
func (c *Coordinator) Ready() error {
	if c.node == nil {
		return nil
	}
	s := c.node.Status()
	if s.FatalError != nil {
		return s.FatalError
	}
	if s.Leader == 0 {
		return fault.New(fault.Unavailable, "no leader is known")
	}
	return nil
}
