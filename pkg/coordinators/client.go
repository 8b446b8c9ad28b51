// Package coordinators watches the leader of the control replicas of a fleet
// whose upstreams announce themselves.
package coordinators

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/document"
	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	// silence after which a watch is given up; the leader sends several updates
	// in this time.
	silence = 900 * time.Millisecond
	// dialTimeout keeps a replica that is down from using up the time in which
	// a change has to reach every entry.
	dialTimeout = 500 * time.Millisecond
	retryDelay  = 100 * time.Millisecond
	// entriesThatTell is the number of entries, on average, that send a new leader the
	// instances they know: it may know none. All of them together would fill its link.
	entriesThatTell = 16
	// MaxDocumentBytes bounds a configuration, in bytes.
	MaxDocumentBytes = 16 << 20
	// MaxFrame bounds an update, in bytes.
	MaxFrame = 8 << 20
)

// Decoder reads a configuration as operators send it.
type Decoder func(document []byte) (*routing.Configuration, error)

// View is what an entry knows. It is immutable.
type View struct {
	Configuration     *routing.Configuration // nil before the first
	Instances         map[string]*wirepb.Instance
	EntryCount        int // entries that watch the leader
	ControlReplicas   []string
	LeaderPeerAddress string // address of the replica that sent this
	Term              uint64
	ReceivedAt        time.Time
}

// Options configure a client.
type Options struct {
	Seeds      []string // addresses of control replicas
	Host       string
	DataCentre string
	Replica    bool // the watcher is a control replica itself
	Link       link.Options
	Decode     Decoder
	Log        logs.Logger
	// OnChange is called after each change of the view; it must not block.
	OnChange func(*View)
	// Paused reports that no watch is wanted now.
	Paused func() bool
}

// Client keeps a view up to date.
type Client struct {
	opts Options
	log  logs.Logger
	view atomic.Pointer[View]

	mu    sync.Mutex
	seeds []string
	known []string // replicas that the leader named
	heard []string // replicas that made themselves known, the latest last
}

// NewClient returns a client that knows nothing yet.
func NewClient(o Options) *Client {
	o.Link.MaxFrame = MaxFrame
	o.Link.HandshakeTimeout = dialTimeout
	if o.OnChange == nil {
		o.OnChange = func(*View) {}
	}
	if o.Paused == nil {
		o.Paused = func() bool { return false }
	}
	c := &Client{opts: o, log: o.Log.Part("coordinators"), seeds: o.Seeds}
	c.view.Store(&View{})
	return c
}

// View returns the newest view.
func (c *Client) View() *View { return c.view.Load() }

// Run watches until ctx ends.
func (c *Client) Run(ctx context.Context) {
	next := ""
	for ctx.Err() == nil {
		if c.opts.Paused() {
			delay.Wait(ctx, retryDelay)
			continue
		}
		address := next
		if address == "" {
			address = c.anyReplica()
		}
		err := c.watch(ctx, address)
		if ctx.Err() != nil {
			return
		}
		next = ""
		if leader := fault.As(err).Leader; leader != "" && leader != address {
			next = leader
			continue
		}
		c.log.Debug("Watch ended.", logs.Str("address", address), logs.Err(err))
		delay.Wait(ctx, delay.Jitter(retryDelay))
	}
}

// SetSeeds replaces the addresses from the settings.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// maxHeard bounds the replicas that are remembered because they made themselves
// known.
const maxHeard = 16

// AddReplica adds the address of a replica that made itself known.
func (c *Client) AddReplica(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.heard, address) {
		return
	}
	c.heard = append(c.heard, address)
	if extra := len(c.heard) - maxHeard; extra > 0 {
		c.heard = slices.Clone(c.heard[extra:])
	}
	c.log.Info("Replica heard.", logs.Str("address", address))
}

func (c *Client) anyReplica() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := slices.Concat(c.seeds, c.known, c.heard)
	if len(all) == 0 {
		return ""
	}
	return all[rand.IntN(len(all))]
}

// watch follows one replica until it fails.
func (c *Client) watch(ctx context.Context, address string) error {
	session, err := link.Dial(ctx, address, c.opts.Link)
	if err != nil {
		return err
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	stream, err := session.Open()
	if err != nil {
		return err
	}
	defer stream.Close()
	if err := c.subscribe(stream); err != nil {
		return err
	}
	connected := false
	seen := make(map[string]bool) // instances that this replica has sent
	for {
		_ = stream.SetReadDeadline(time.Now().Add(silence))
		f, err := stream.Read()
		if err != nil {
			if connected {
				c.log.Warn("Leader lost.", logs.Str("address", address), logs.Err(err))
			}
			return err
		}
		if e := f.GetError(); e != nil {
			return fault.FromWire(e)
		}
		update := f.GetFleetUpdate()
		if update == nil {
			return fault.New(fault.Protocol, "%s sent another message in a watch", address)
		}
		if !connected {
			connected = true
			c.log.Info("Leader found.", logs.Str("address", address), logs.Uint("term", update.GetTerm()), logs.Uint("version", update.GetVersion()))
		}
		if err := c.take(address, update, seen); err != nil {
			return err
		}
	}
}

func (c *Client) subscribe(stream *wire.Stream) error {
	v := c.view.Load()
	request := &wirepb.FleetWatch{Host: c.opts.Host, DataCentre: c.opts.DataCentre, Replica: c.opts.Replica}
	if v.Configuration != nil {
		request.Version = v.Configuration.Version
	}
	if c.opts.Replica || rand.IntN(max(1, v.EntryCount)) < entriesThatTell {
		for _, in := range v.Instances {
			request.Instances = append(request.Instances, in)
		}
	}
	return stream.Write(&wirepb.Frame{Body: &wirepb.Frame_FleetWatch{FleetWatch: request}})
}

// take applies an update. A configuration never gives way to an older one.
func (c *Client) take(leader string, u *wirepb.FleetUpdate, seen map[string]bool) error {
	old := c.view.Load()
	next := &View{
		Configuration: old.Configuration, Instances: old.Instances, EntryCount: int(u.GetEntries()),
		ControlReplicas: u.GetControl(), LeaderPeerAddress: leader, Term: u.GetTerm(), ReceivedAt: time.Now(),
	}
	if len(u.GetDocument()) > 0 && (old.Configuration == nil || u.GetVersion() > old.Configuration.Version) {
		conf, err := c.decode(u.GetDocument())
		if err != nil {
			return err
		}
		next.Configuration = conf
		c.log.Info("Configuration changed.", logs.Uint("version", conf.Version), logs.Uint("term", u.GetTerm()), logs.Int("routes", len(conf.Routes)))
	}
	if u.GetFull() || len(u.GetInstances())+len(u.GetRemoved()) > 0 {
		next.Instances = merge(old.Instances, u, seen)
	}
	c.mu.Lock()
	c.known = u.GetControl()
	c.mu.Unlock()
	c.view.Store(next)
	c.opts.OnChange(next)
	return nil
}

func (c *Client) decode(packed []byte) (*routing.Configuration, error) {
	data, err := document.Decompress(packed, MaxDocumentBytes)
	if err != nil {
		return nil, err
	}
	return c.opts.Decode(data)
}

// merge applies an update. Once the sender has sent all instances, those that it has
// not sent are gone.
func merge(old map[string]*wirepb.Instance, u *wirepb.FleetUpdate, seen map[string]bool) map[string]*wirepb.Instance {
	next := make(map[string]*wirepb.Instance, len(old)+len(u.GetInstances()))
	for id, in := range old {
		if !u.GetFull() || seen[id] {
			next[id] = in
		}
	}
	for _, id := range u.GetRemoved() {
		delete(next, id)
		delete(seen, id)
	}
	for _, in := range u.GetInstances() {
		next[in.GetId()] = in
		seen[in.GetId()] = true
	}
	return next
}
