// Command plantain-gateway forwards the requests of callers to upstreams that
// announce themselves, in a deployment with coordinators.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/plantainstair/plantainstair/pkg/lifecycle"
	"github.com/plantainstair/plantainstair/platform"
)

func main() {
	path := platform.SettingsPath("/etc/plantainstair/gateway.ini")
	flaggy.SetName("plantain-gateway")
	flaggy.SetDescription("Takes requests from callers and passes them to upstreams that announce themselves.")
	flaggy.String(&path, "c", "config", "path of the settings file")
	flaggy.Parse()
	ctx, cancel := lifecycle.SignalContext()
	defer cancel()
	if err := platform.RunGateway(ctx, path); err != nil {
		fmt.Fprintln(os.Stderr, "plantain-gateway:", err)
		os.Exit(1)
	}
}
