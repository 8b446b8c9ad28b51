// Command plantain-control runs a control replica.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/plantainstair/plantainstair/pkg/lifecycle"
	"github.com/plantainstair/plantainstair/pkg/role/control"
)

func main() {
	path := "/etc/plantainstair/control.ini"
	flaggy.SetName("plantain-control")
	flaggy.SetDescription("Keeps the replicated state of plantainstair and the registry of upstreams.")
	flaggy.String(&path, "c", "config", "path of the settings file")
	flaggy.Parse()
	ctx, cancel := lifecycle.SignalContext()
	defer cancel()
	if err := control.Run(ctx, path); err != nil {
		fmt.Fprintln(os.Stderr, "plantain-control:", err)
		os.Exit(1)
	}
}
