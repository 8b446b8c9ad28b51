package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// watchIdleTimeout ends a watch without pings, which arrive every 500 ms.
	watchIdleTimeout = 5 * time.Second
	// watchWriteTimeout ends a watch whose receiver does not read.
	watchWriteTimeout = 5 * time.Second
	// maxPendingPings bounds the unanswered pings of one watcher.
	maxPendingPings = 64
)

// watchSession serves one watcher.
type watchSession struct {
	stream        *wire.Stream
	feed          *eventFeed
	role          string
	host          string
	withUpstreams bool
	applied       atomic.Uint64 // highest revision that the watcher confirmed
	wake          chan struct{}

	mu             sync.Mutex
	pendingPings   int
	confirmedPings []uint64 // sequence numbers of pings that a read index has confirmed
	failure        error

	sent cursor // used by the writing goroutine only
}

func (s *watchSession) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// serveWatch sends the full state, then changes and answers to pings, until
// the stream fails or no quorum confirms this replica.
func (c *Control) serveWatch(stream *wire.Stream, req *wirepb.WatchRequest) {
	s := &watchSession{
		stream:        stream,
		feed:          c.feed,
		role:          req.GetRole(),
		host:          req.GetHost(),
		withUpstreams: req.GetUpstreams(),
		wake:          make(chan struct{}, 1),
	}
	err := c.runWatch(s, req.GetRevision())
	if err == nil || c.ctx.Err() != nil {
		return
	}
	c.metrics.failedWatches.Inc()
	c.log.Debug("watch ended", logs.Str("watcher", s.host), logs.Err(err))
	_ = stream.SetDeadline(time.Now().Add(time.Second))
	_ = stream.WriteError(err)
}

func (c *Control) runWatch(s *watchSession, atLeast uint64) error {
	if err := c.barrier.wait(c.ctx); err != nil {
		return err
	}
	if err := c.watchers.add(s); err != nil {
		return err
	}
	defer c.requestStatusReport()
	defer c.watchers.remove(s)
	c.requestStatusReport()
	events, at := c.feed.full(s.withUpstreams)
	if at.revision < atLeast {
		return fault.New(fault.StaleConfig, "replica is at revision %d; the watcher has %d", at.revision, atLeast)
	}
	if err := s.send(events); err != nil {
		return err
	}
	s.sent = at
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	go func() {
		defer cancel()
		c.readPings(s)
	}()
	return s.writeLoop(ctx)
}

// readPings passes pings to the barrier until the stream fails.
func (c *Control) readPings(s *watchSession) {
	for {
		_ = s.stream.SetReadDeadline(time.Now().Add(watchIdleTimeout))
		f, err := s.stream.Read()
		if err != nil {
			return
		}
		ping := f.GetPing()
		if ping == nil || !s.addPing() {
			s.fail(fault.New(fault.Protocol, "watcher sent another message or too many pings"))
			return
		}
		if previous := s.applied.Swap(ping.AppliedRevision); previous != ping.AppliedRevision {
			c.requestStatusReport()
		}
		c.barrier.submit(func(err error) { s.answerPing(ping.Sequence, err) })
	}
}

func (s *watchSession) addPing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingPings++
	return s.pendingPings <= maxPendingPings
}

func (s *watchSession) answerPing(sequence uint64, err error) {
	s.mu.Lock()
	s.pendingPings--
	s.confirmedPings = append(s.confirmedPings, sequence)
	if s.failure == nil {
		s.failure = err
	}
	s.mu.Unlock()
	s.notify()
}

func (s *watchSession) fail(err error) {
	s.mu.Lock()
	s.failure = err
	s.mu.Unlock()
	s.notify()
}

func (s *watchSession) takeConfirmedPings() ([]uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sequences := s.confirmedPings
	s.confirmedPings = nil
	return sequences, s.failure
}

// writeLoop sends pending changes and answers each time the session is
// notified.
func (s *watchSession) writeLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			_, err := s.takeConfirmedPings()
			return err
		case <-s.wake:
		}
		if err := s.sendPending(); err != nil {
			return err
		}
	}
}

// sendPending sends changes before answers, so that an answer never names a
// revision that the watcher has not been sent.
func (s *watchSession) sendPending() error {
	sequences, err := s.takeConfirmedPings()
	if err != nil {
		return err
	}
	events, to := s.feed.changesSince(s.sent, s.withUpstreams)
	if to.revision < s.sent.revision {
		return fault.New(fault.StaleConfig, "replica went back from revision %d to %d", s.sent.revision, to.revision)
	}
	if err := s.send(events); err != nil {
		return err
	}
	s.sent = to
	for _, sequence := range sequences {
		current := &wirepb.Current{
			Sequence:    sequence,
			Revision:    to.revision,
			LiveEntries: uint32(s.feed.liveEntries()),
		}
		if err := s.writeFrame(&wirepb.Frame{Body: &wirepb.Frame_Current{Current: current}}); err != nil {
			return err
		}
	}
	return nil
}

func (s *watchSession) send(events []*wirepb.WatchEvent) error {
	for _, e := range events {
		if err := s.writeFrame(&wirepb.Frame{Body: &wirepb.Frame_WatchEvent{WatchEvent: e}}); err != nil {
			return err
		}
	}
	return nil
}

func (s *watchSession) writeFrame(f *wirepb.Frame) error {
	_ = s.stream.SetDeadline(time.Now().Add(watchWriteTimeout))
	return s.stream.Write(f)
}
