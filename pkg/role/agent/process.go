package agent

import (
	"context"
	"runtime"
	"time"

	"github.com/plantainstair/plantainstair/pkg/config"
	"github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/lifecycle"
	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/logs"
)

// Role is the name of the agent role in handshakes and logs.
const Role = "agent"

const healthCloseTimeout = time.Second

// LoadSettings reads settings from an INI file.
func LoadSettings(path string) (Settings, error) {
	var s Settings
	err := config.Load(path, &s)
	return s, err
}

// limitThreads lowers GOMAXPROCS to n and never raises it; 0 leaves it
// unchanged. An agent is small and mostly idle: on a host with many cores the
// Go runtime wakes another thread for most hand-overs between goroutines, and
// that thread finds nothing to do.
func limitThreads(n int) {
	if n > 0 && n < runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(n)
	}
}

// RunProcess runs the agent with its health and metrics endpoints until ctx
// ends and the work in progress has finished.
func RunProcess(ctx context.Context, set Settings, log logs.Logger) error {
	limitThreads(set.MaxThreads)
	incarnation := uint64(time.Now().UnixNano())
	opts, err := set.LinkOptions(link.Identity{Role: Role, Host: set.Host, DataCentre: set.DataCentre, Incarnation: incarnation})
	if err != nil {
		return err
	}
	var a *Agent
	client := control.NewClient(control.Options{
		Addresses: set.ControlAddresses, Link: opts, Role: Role, Host: set.Host, Log: log.Component("control"),
		// Registration begins after the agent below has been created and
		// started.
		OnStaleIncarnation: func(known uint64) { a.upstream.HandleStaleIncarnation(known) },
		OnOrderState:       func() { a.orders.syncWithControl() },
	})
	watchCtx, stopWatch := context.WithCancel(context.Background())
	watchEnded := make(chan struct{})
	go func() {
		defer close(watchEnded)
		_ = client.Run(watchCtx)
	}()
	defer func() {
		stopWatch()
		<-watchEnded
	}()
	a = New(Options{Settings: set, ControlClient: client, Link: opts, Incarnation: incarnation, Log: log})
	if err := a.Start(); err != nil {
		return err
	}
	defer a.Close()
	endpoints, err := lifecycle.NewServer(set.HealthListen, lifecycle.Options{
		Lifecycle: a.lifecycle, CheckReady: a.Ready, Metrics: a.metrics.set,
	})
	if err != nil {
		return err
	}
	defer func() {
		closeCtx, cancel := context.WithTimeout(context.Background(), healthCloseTimeout)
		defer cancel()
		_ = endpoints.Close(closeCtx)
	}()
	log.Component("agent").Info("started", logs.Str("address", a.Address()), logs.Str("upstream_address", a.UpstreamListenAddress()))
	return a.Run(ctx)
}
