package entry

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/agent"
	"github.com/plantainstair/plantainstair/pkg/callers"
	"github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/lifecycle"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

// Role is the role of an entry in handshakes and logs.
const Role = "entry"

// healthCloseTimeout bounds the shutdown of the server of the health endpoints.
const healthCloseTimeout = time.Second

// Run runs an entry process until ctx ends and the requests in progress have
// finished. It uses only the settings and the log of opts.
func Run(ctx context.Context, opts Options) error {
	s := opts.Settings
	linkOpts, err := s.LinkOptions(link.Identity{
		Role:        Role,
		Host:        s.Host,
		DataCentre:  s.DataCentre,
		Incarnation: uint64(time.Now().UnixNano()),
	})
	if err != nil {
		return err
	}
	pool := link.NewPool(linkOpts)
	defer pool.Close()
	client := control.NewClient(control.Options{
		Addresses:      s.ControlAddresses,
		Link:           linkOpts,
		Role:           Role,
		Host:           s.Host,
		WatchUpstreams: true,
		Log:            opts.Log.Component("control"),
	})
	opts.Control = client
	opts.Agents = agent.NewClient(pool)
	opts.Tokenize = upstreams.Tokenize
	opts.Detokenize = upstreams.Detokenize
	opts.PrefixHashes = upstreams.PrefixHashes
	e := New(opts)
	// The configuration watch and the load reports continue until the last
	// request has finished.
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	watchEnded := make(chan error, 1)
	go func() { watchEnded <- client.Run(workCtx) }()
	return e.Serve(ctx, workCtx, watchEnded)
}

// Serve serves the caller API and the health and metrics endpoints until ctx ends or
// watchEnded receives a value, then drains. The upstream monitor runs until
// workCtx ends, which must be after the drain.
func (e *Entry) Serve(ctx, workCtx context.Context, watchEnded <-chan error) error {
	s := e.opts.Settings
	healthServer, err := lifecycle.NewServer(s.HealthListen, e.HealthOptions())
	if err != nil {
		return err
	}
	defer closeHealth(healthServer)
	server, err := callers.NewServer(s.Listen, e.Handler())
	if err != nil {
		return err
	}
	if err := e.Start(workCtx); err != nil {
		return err
	}
	e.opts.Log.Info("serving callers", logs.Str("address", server.Address()), logs.Str("platform", healthServer.Address()))
	select {
	case <-ctx.Done():
	case err := <-watchEnded:
		e.opts.Log.Error("configuration watch ended; shutting down", logs.Err(err))
	}
	return e.Drain(context.WithoutCancel(ctx), server)
}

// Drain reports the entry as not ready, waits for DrainDelay so that the load
// balancer notices, then refuses new requests and waits for those in progress.
func (e *Entry) Drain(ctx context.Context, server *callers.Server) error {
	s := e.opts.Settings
	e.shuttingDown.Store(true)
	e.opts.Log.Info("draining requests in progress", logs.Int("in_progress", e.lifecycle.InFlight()))
	delay.Wait(ctx, s.DrainDelay)
	e.lifecycle.Drain()
	ctx, cancel := context.WithTimeout(ctx, s.DrainTimeout)
	defer cancel()
	if err := e.lifecycle.WaitDrained(ctx); err != nil {
		return err
	}
	if err := server.Shutdown(ctx); err != nil {
		return err
	}
	e.opts.Log.Info("drain finished")
	return e.lifecycle.MarkStopped()
}

func closeHealth(p *lifecycle.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), healthCloseTimeout)
	defer cancel()
	if err := p.Close(ctx); fault.KindOf(err) != "" {
		return // the process exits anyway
	}
}
