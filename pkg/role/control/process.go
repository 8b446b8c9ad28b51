package control

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/plantainstair/plantainstair/pkg/config"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/lifecycle"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/operators"
)

// Run runs the control process with the settings at path until ctx ends.
func Run(ctx context.Context, path string) error {
	settings := &Settings{}
	if err := config.Load(path, settings); err != nil {
		return err
	}
	log, err := logs.New(os.Stderr, settings.LogLevel, roleControl, settings.Host)
	if err != nil {
		return err
	}
	listeners, err := listenAll(settings)
	if err != nil {
		return err
	}
	p, err := startProcess(settings, listeners, log)
	if err != nil {
		return err
	}
	p.log.Info("control process started", logs.Uint("replica", settings.ID), logs.Str("address", p.control.Address()))
	select {
	case <-ctx.Done():
	case err = <-p.failed:
	}
	return p.stop(err)
}

// listeners are the open ports of the process.
type listeners struct{ peer, admin net.Listener }

func (l listeners) close() {
	_ = l.peer.Close()
	_ = l.admin.Close()
}

func listenAll(settings *Settings) (listeners, error) {
	peer, err := listen(settings.PeerAddress, "replica.peer_address")
	if err != nil {
		return listeners{}, err
	}
	admin, err := listen(settings.AdminAddress, "admin.address")
	if err != nil {
		_ = peer.Close()
		return listeners{}, err
	}
	return listeners{peer, admin}, nil
}

// process is a control process with its admin listener.
type process struct {
	settings  *Settings
	log       logs.Logger
	control   *Control
	admin     *http.Server
	lifecycle *lifecycle.Lifecycle
	failed    chan error
}

// startProcess starts the control process on the listeners. It closes them if
// it fails.
func startProcess(settings *Settings, l listeners, log logs.Logger) (*process, error) {
	tokens, err := settings.OperatorTokens()
	if err != nil {
		l.close()
		return nil, err
	}
	c, err := startControl(settings, l.peer, log)
	if err != nil {
		l.close()
		return nil, err
	}
	p := &process{
		settings:  settings,
		log:       log.Component("process"),
		control:   c,
		lifecycle: lifecycle.NewLifecycle(),
		failed:    make(chan error, 1),
	}
	p.admin = operators.NewServer(operators.NewHandler(operators.Options{
		Backend:          c,
		Operators:        tokens,
		HealthAndMetrics: lifecycle.Handler(lifecycle.Options{Lifecycle: p.lifecycle, CheckReady: c.Ready, Metrics: c.metrics.set}),
		Log:              log.Component("operators"),
	}))
	go p.serveAdmin(l.admin)
	return p, p.lifecycle.MarkReady()
}

func startControl(settings *Settings, ln net.Listener, log logs.Logger) (*Control, error) {
	voters, err := settings.InitialVoters()
	if err != nil {
		return nil, err
	}
	identity := link.Identity{
		Role:        roleControl,
		Host:        settings.Host,
		DataCentre:  settings.DataCentre,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	linkOptions, err := settings.LinkOptions(identity)
	if err != nil {
		return nil, err
	}
	bootstrap := voters
	if settings.Join {
		bootstrap = nil
	}
	return Start(Options{
		ID:              settings.ID,
		Host:            settings.Host,
		Listener:        ln,
		Link:            linkOptions,
		Seeds:           voters,
		MaxLoadDuration: settings.MaxLoadDuration,
		Log:             log,
		OpenNode: ReplicaOpener(ReplicaOptions{
			ID:                settings.ID,
			Dir:               settings.Dir,
			Bootstrap:         bootstrap,
			Join:              settings.Join,
			ElectionTimeout:   settings.ElectionTimeout,
			HeartbeatInterval: settings.HeartbeatInterval,
			SnapshotEntries:   settings.SnapshotEntries,
			Log:               log,
		}),
	})
}

func listen(address, field string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "listen on %s", address).WithField(field)
	}
	return ln, nil
}

func (p *process) serveAdmin(ln net.Listener) {
	if err := p.admin.Serve(ln); err != http.ErrServerClosed {
		p.failed <- fault.Wrap(err, fault.Unavailable, "serve the admin API")
	}
}

// stop waits for admin requests in progress, up to the drain timeout, and then
// stops the replica.
func (p *process) stop(cause error) error {
	p.lifecycle.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.DrainTimeout)
	defer cancel()
	if err := p.admin.Shutdown(ctx); err != nil {
		p.log.Warn("drain timeout passed, closing admin connections", logs.Err(err))
		_ = p.admin.Close()
	}
	err := p.control.Close()
	_ = p.lifecycle.MarkStopped()
	if cause != nil {
		return cause
	}
	return err
}
