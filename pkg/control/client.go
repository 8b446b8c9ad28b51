// Package control is the client of the control replicas. It watches the
// configuration and the upstreams, registers an upstream, and claims calls
// that must not run twice.
package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// pingInterval is the interval of pings, which renew the confirmation that
	// the view is current.
	pingInterval = 500 * time.Millisecond
	// silenceTimeout ends a stream on which the replica sends nothing. It is
	// longer than an election, so that a change of leader does not end a
	// watch.
	silenceTimeout = 1500 * time.Millisecond
	// upstreamRetention is how long the view keeps upstreams that a newly
	// watched replica does not list, because agents need up to a lease to
	// register with it.
	upstreamRetention = 2 * time.Second
	minBackoff        = 50 * time.Millisecond
	maxBackoff        = time.Second
)

// Options configure a client.
type Options struct {
	Addresses      []string // control replicas to start from
	Link           link.Options
	Role           string
	Host           string
	WatchUpstreams bool // watch the upstreams in addition to the catalogue
	Log            logs.Logger
	Now            func() time.Time
	// OnStaleIncarnation is called when a replica refuses the incarnation of a
	// registered upstream, with the highest one that it knows.
	OnStaleIncarnation func(known uint64)
	// OnOrderState is called when the result of Orders has changed.
	OnOrderState func()
}

// Client communicates with the control replicas. Its methods are safe for
// concurrent use.
type Client struct {
	opts           Options
	pool           *link.Pool
	view           atomic.Pointer[View]
	confirmed      atomic.Pointer[time.Time] // keeps the monotonic reading; nil before the first confirmation
	addresses      atomic.Pointer[[]string]
	preferredIndex atomic.Int64 // index of the address that requests try first
	changed        chan struct{}

	orderMu    sync.Mutex
	orderState OrderState
}

// NewClient returns a client. Its view stays empty until Run is called.
func NewClient(opts Options) *Client {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	c := &Client{opts: opts, pool: link.NewPool(opts.Link), changed: make(chan struct{}, 1)}
	addresses := slices.Clone(opts.Addresses)
	c.addresses.Store(&addresses)
	return c
}

// View returns the newest view, or nil before the first event.
func (c *Client) View() *View { return c.view.Load() }

// Changed returns a channel that receives a value after each new view. Values
// are coalesced.
func (c *Client) Changed() <-chan struct{} { return c.changed }

// Confirmed returns the latest local time at which the view was known to be
// current. It is zero before the first confirmation.
func (c *Client) Confirmed() time.Time {
	t := c.confirmed.Load()
	if t == nil {
		return time.Time{}
	}
	return *t
}

// Close ends all sessions.
func (c *Client) Close() { c.pool.Close() }

// Run watches one replica at a time and the next one after a failure, until
// ctx ends.
func (c *Client) Run(ctx context.Context) error {
	defer c.pool.Close()
	backoff := minBackoff
	next := rand.IntN(max(1, len(c.replicaAddresses())))
	for ctx.Err() == nil {
		addresses := c.replicaAddresses()
		if len(addresses) == 0 {
			return fault.New(fault.Invalid, "no control address").WithField("control.addresses")
		}
		addr := addresses[next%len(addresses)]
		next++
		started := c.opts.Now()
		err := newWatch(c, addr).run(ctx)
		if ctx.Err() != nil {
			break
		}
		c.opts.Log.Warn("watch ended", logs.Str("replica", addr), logs.Err(err))
		if c.opts.Now().Sub(started) > maxBackoff {
			backoff = minBackoff
		}
		delay.Wait(ctx, delay.Jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	return ctx.Err()
}

func (c *Client) replicaAddresses() []string { return *c.addresses.Load() }

// publish stores a view, updates the replica addresses from its voters and
// signals Changed.
func (c *Client) publish(v *View) {
	c.view.Store(v)
	if addresses := voterAddresses(v.Voters); len(addresses) > 0 && !slices.Equal(addresses, c.replicaAddresses()) {
		c.addresses.Store(&addresses)
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

func voterAddresses(voters []*wirepb.Voter) []string {
	var addresses []string
	for _, v := range voters {
		if !v.Learner && v.PeerAddress != "" {
			addresses = append(addresses, v.PeerAddress)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// readFrames passes frames of a stream to a channel until the stream fails.
// Each frame must arrive within timeout of the one before.
func readFrames(s *wire.Stream, timeout time.Duration, stop <-chan struct{}) (<-chan *wirepb.Frame, <-chan error) {
	frames := make(chan *wirepb.Frame, 16)
	failed := make(chan error, 1)
	go func() {
		for {
			_ = s.SetReadDeadline(time.Now().Add(timeout))
			f, err := s.Read()
			if err != nil {
				failed <- err
				return
			}
			select {
			case frames <- f:
			case <-stop:
				return
			}
		}
	}()
	return frames, failed
}
