// Command plantain-coordinator keeps the configuration and the registry of
// upstreams, and places the layers of models, in a deployment with gateways.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/plantainstair/plantainstair/pkg/lifecycle"
	"github.com/plantainstair/plantainstair/platform"
)

func main() {
	path := platform.SettingsPath("/etc/plantainstair/coordinator.ini")
	flaggy.SetName("plantain-coordinator")
	flaggy.SetDescription("Keeps the configuration and the registry of upstreams, and places the layers of models.")
	flaggy.String(&path, "c", "config", "path of the settings file")
	flaggy.Parse()
	ctx, cancel := lifecycle.SignalContext()
	defer cancel()
	if err := platform.RunCoordinator(ctx, path); err != nil {
		fmt.Fprintln(os.Stderr, "plantain-coordinator:", err)
		os.Exit(1)
	}
}
