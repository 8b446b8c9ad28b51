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

// Role is the name of the role in handshakes and logs.
const Role = "entry"

// closeTimeout bounds the end of the platform server.
const closeTimeout = time.Second

// Run runs an entry process until ctx ends and the requests in progress are
// finished. Only the settings and the log of the options are used.
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
		Addresses: s.Control,
		Link:      linkOpts,
		Role:      Role,
		Host:      s.Host,
		Upstreams: true,
		Log:       opts.Log.Component("control"),
	})
	opts.Control = client
	opts.Agents = agent.NewClient(pool)
	opts.Tokenize = upstreams.Tokenize
	opts.Detokenize = upstreams.Detokenize
	opts.PrefixHashes = upstreams.PrefixHashes
	e := New(opts)
	// The watch and the load reports go on until the last request is done.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	watched := make(chan error, 1)
	go func() { watched <- client.Run(work) }()
	return e.Serve(ctx, work, watched)
}

// Serve serves callers and the platform until ctx ends, then drains. Work ends
// after the drain. A value on failed ends the process early.
func (e *Entry) Serve(ctx, work context.Context, failed <-chan error) error {
	s := e.opts.Settings
	plat, err := lifecycle.NewServer(s.Platform, e.PlatformOptions())
	if err != nil {
		return err
	}
	defer closePlatform(plat)
	server, err := callers.NewServer(s.Listen, e.Handler())
	if err != nil {
		return err
	}
	if err := e.Start(work); err != nil {
		return err
	}
	e.opts.Log.Info("entry serves callers", logs.Str("address", server.Address()), logs.Str("platform", plat.Address()))
	select {
	case <-ctx.Done():
	case err := <-failed:
		e.opts.Log.Error("watch of the configuration ended", logs.Err(err))
	}
	return e.Drain(context.WithoutCancel(ctx), server)
}

// Drain turns readiness off, waits for the balancer to notice, refuses new
// requests and waits for those in progress.
func (e *Entry) Drain(ctx context.Context, server *callers.Server) error {
	s := e.opts.Settings
	e.leaving.Store(true)
	e.opts.Log.Info("entry drains", logs.Int("in_progress", e.lifecycle.InFlight()))
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
	e.opts.Log.Info("entry has drained")
	return e.lifecycle.MarkStopped()
}

func closePlatform(p *lifecycle.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := p.Close(ctx); fault.KindOf(err) != "" {
		return // the process ends anyway
	}
}
