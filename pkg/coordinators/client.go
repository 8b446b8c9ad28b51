// Package coordinators implements the client that finds the leader of the coordinators and
// watches the configuration and the instances of the fleet.
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
	// watchTimeout is the time without an update after which a watch is given up. The leader
	// sends several updates in this time.
	watchTimeout = 900 * time.Millisecond
	// dialTimeout limits the handshake with one coordinator, so that one that is down takes
	// only part of the time within which a change has to reach every gateway.
	dialTimeout = 500 * time.Millisecond
	retryDelay  = 100 * time.Millisecond
	// gatewaysSendingInstances is the average number of gateways that send a new leader the
	// instances that they know. The leader may know none, but messages from all gateways would
	// exceed the capacity of its link.
	gatewaysSendingInstances = 16
	// MaxDocumentBytes bounds an uncompressed configuration.
	MaxDocumentBytes = 16 << 20
	// MaxFrameBytes limits the size of a frame that holds an update.
	MaxFrameBytes = 8 << 20
)

// Decoder decodes a configuration in the encoding in which operators send it.
type Decoder func(document []byte) (*routing.Configuration, error)

// View is the state of the fleet as last received from the leader. It is immutable.
type View struct {
	Configuration        *routing.Configuration // nil until the first one is received
	Instances            map[string]*wirepb.Instance
	Prompts              PromptParts
	GatewayCount         int      // number of gateways that watch the leader
	CoordinatorAddresses []string // peer addresses of the voters and learners
	LeaderPeerAddress    string   // peer address of the coordinator that sent this view
	Term                 uint64
	ReceivedAt           time.Time
	// Complete is set once a leader has sent all instances that it knew.
	Complete bool
}

// Options configure a client.
type Options struct {
	Seeds         []string // peer addresses of coordinators to start from
	Host          string
	DataCentre    string
	IsCoordinator bool // whether the watcher is a coordinator itself
	Link          link.Options
	Decode        Decoder
	Log           logs.Logger
	// OnChange is called after each change of the view. It must not block.
	OnChange func(*View)
	// Paused reports whether no new watch is to be started.
	Paused func() bool
}

// Client keeps a view of the fleet up to date.
type Client struct {
	opts Options
	log  logs.Logger
	view atomic.Pointer[View]
	// session is the session to the leader whose updates arrive, nil if there is none.
	session atomic.Pointer[link.Session]

	mu                sync.Mutex
	seeds             []string
	namedCoordinators []string // coordinators that the leader named last
	selfAnnounced     []string // coordinators that announced themselves, the latest last
	left              map[string]leftInstance
}

// leftInstance is an instance that said that it is gone and is no longer in the view.
type leftInstance struct {
	instance *wirepb.Instance // its id, start and sequence
	at       time.Time        // when it went from the view
}

const (
	// leftAge is several times as long as an announcement may be late.
	leftAge = time.Minute
	// maxLeft bounds the instances that are remembered because they left.
	maxLeft = 1024
)

// NewClient returns a client with an empty view. Run keeps the view up to date.
func NewClient(o Options) *Client {
	o.Link.MaxFrameBytes = MaxFrameBytes
	o.Link.HandshakeTimeout = dialTimeout
	if o.OnChange == nil {
		o.OnChange = func(*View) {}
	}
	if o.Paused == nil {
		o.Paused = func() bool { return false }
	}
	c := &Client{opts: o, log: o.Log.Component("coordinators"), seeds: o.Seeds, left: make(map[string]leftInstance)}
	c.view.Store(&View{})
	return c
}

// View returns the newest view. It is never nil.
func (c *Client) View() *View { return c.view.Load() }

// Run watches the leader until ctx ends, and finds the new leader after each failure.
func (c *Client) Run(ctx context.Context) {
	next := ""
	for ctx.Err() == nil {
		if c.opts.Paused() {
			delay.Wait(ctx, retryDelay)
			continue
		}
		address := next
		if address == "" {
			address = c.randomCoordinator()
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

// SetSeeds replaces the addresses of the coordinators to start from.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// maxSelfAnnounced bounds the coordinators that are remembered because they announced
// themselves.
const maxSelfAnnounced = 16

// AddCoordinator adds the address of a coordinator that announced itself.
func (c *Client) AddCoordinator(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.selfAnnounced, address) {
		return
	}
	c.selfAnnounced = append(c.selfAnnounced, address)
	if extra := len(c.selfAnnounced) - maxSelfAnnounced; extra > 0 {
		c.selfAnnounced = slices.Clone(c.selfAnnounced[extra:])
	}
	c.log.Info("Replica heard.", logs.Str("address", address))
}

func (c *Client) randomCoordinator() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := slices.Concat(c.seeds, c.namedCoordinators, c.selfAnnounced)
	if len(all) == 0 {
		return ""
	}
	return all[rand.IntN(len(all))]
}

// watch receives the updates of one coordinator until the watch fails, and returns the cause.
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
	defer c.session.CompareAndSwap(session, nil)
	sentIDs := make(map[string]bool) // ids of the instances that this coordinator has sent
	for {
		_ = stream.SetReadDeadline(time.Now().Add(watchTimeout))
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
			return fault.New(fault.Protocol, "%s sent an unexpected message in a watch", address)
		}
		if !connected {
			connected = true
			c.session.Store(session)
			c.log.Info("Leader found.", logs.Str("address", address), logs.Uint("term", update.GetTerm()), logs.Uint("version", update.GetVersion()))
		}
		if err := c.applyUpdate(address, update, sentIDs); err != nil {
			return err
		}
	}
}

func (c *Client) subscribe(stream *wire.Stream) error {
	v := c.view.Load()
	request := &wirepb.FleetWatch{Host: c.opts.Host, DataCentre: c.opts.DataCentre, Replica: c.opts.IsCoordinator}
	request.Quarantines = encodeQuarantines(time.Now(), v.Prompts.Quarantines)
	if v.Configuration != nil {
		request.Version = v.Configuration.Version
	}
	if c.opts.IsCoordinator || rand.IntN(max(1, v.GatewayCount)) < gatewaysSendingInstances {
		for _, in := range v.Instances {
			request.Instances = append(request.Instances, in)
		}
		request.Left = c.LeftInstances()
	}
	return stream.Write(&wirepb.Frame{Body: &wirepb.Frame_FleetWatch{FleetWatch: request}})
}

// exchange sends the leader a request and returns its reply. The error has the outcome
// NotRun if no leader is known.
func (c *Client) exchange(ctx context.Context, req *wirepb.Frame) (*wirepb.Frame, error) {
	session := c.session.Load()
	if session == nil {
		return nil, fault.New(fault.Unavailable, "no leader is known").WithOutcome(fault.NotRun)
	}
	return session.Exchange(ctx, req)
}

// applyUpdate publishes a view with an update of the leader. It never replaces a
// configuration by an older one.
func (c *Client) applyUpdate(leader string, u *wirepb.FleetUpdate, sentIDs map[string]bool) error {
	old := c.view.Load()
	next := &View{
		Configuration: old.Configuration, Instances: old.Instances, Prompts: old.Prompts, GatewayCount: int(u.GetEntries()),
		CoordinatorAddresses: u.GetControl(), LeaderPeerAddress: leader, Term: u.GetTerm(), ReceivedAt: time.Now(),
		Complete: old.Complete || u.GetFull(),
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
		next.Instances = mergeInstances(old.Instances, u, sentIDs)
	}
	if u.GetFull() || len(u.GetRemoved()) > 0 {
		c.rememberLeft(time.Now(), old.Instances, next.Instances)
	}
	if u.GetPromptParts() != nil {
		next.Prompts = DecodePromptParts(time.Now(), u.GetPromptParts())
	}
	c.mu.Lock()
	c.namedCoordinators = u.GetControl()
	c.mu.Unlock()
	c.view.Store(next)
	c.opts.OnChange(next)
	return nil
}

// rememberLeft remembers the instances that said that they are gone and are no longer in the
// view.
func (c *Client) rememberLeft(now time.Time, before, after map[string]*wirepb.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, l := range c.left {
		if now.Sub(l.at) > leftAge {
			delete(c.left, id)
		}
	}
	for id, in := range before {
		if in.GetLeft() && after[id] == nil && len(c.left) < maxLeft {
			c.left[id] = leftInstance{&wirepb.Instance{Id: id, BornUnixMs: in.GetBornUnixMs(), Sequence: in.GetSequence(), Left: true}, now}
		}
	}
}

// LeftInstances returns the instances that said that they are gone and went from the view a
// short time ago.
func (c *Client) LeftInstances() []*wirepb.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*wirepb.Instance
	for _, l := range c.left {
		if time.Since(l.at) <= leftAge {
			out = append(out, l.instance)
		}
	}
	return out
}

func (c *Client) decode(compressed []byte) (*routing.Configuration, error) {
	data, err := document.Decompress(compressed, MaxDocumentBytes)
	if err != nil {
		return nil, err
	}
	return c.opts.Decode(data)
}

// mergeInstances applies an update to the instances. Once the sender has sent all
// instances, those that it has not sent are dropped.
func mergeInstances(old map[string]*wirepb.Instance, u *wirepb.FleetUpdate, sentIDs map[string]bool) map[string]*wirepb.Instance {
	next := make(map[string]*wirepb.Instance, len(old)+len(u.GetInstances()))
	for id, in := range old {
		if !u.GetFull() || sentIDs[id] {
			next[id] = in
		}
	}
	for _, id := range u.GetRemoved() {
		delete(next, id)
		delete(sentIDs, id)
	}
	for _, in := range u.GetInstances() {
		next[in.GetId()] = in
		sentIDs[in.GetId()] = true
	}
	return next
}
