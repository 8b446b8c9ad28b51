// Command plantain-agent queues requests for the upstream on its host, rejects
// those with a stale epoch and forwards the others.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/plantainstair/plantainstair/pkg/lifecycle"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/role/agent"
)

func main() {
	path := "agent.ini"
	flaggy.SetName("plantain-agent")
	flaggy.SetDescription("Queues, fences and passes on the work of the upstream on its host.")
	flaggy.String(&path, "c", "config", "Path of the settings file.")
	flaggy.Parse()
	if err := run(path); err != nil {
		fmt.Fprintln(os.Stderr, "plantain-agent:", err)
		os.Exit(1)
	}
}

func run(path string) error {
	settings, err := agent.LoadSettings(path)
	if err != nil {
		return err
	}
	log, err := logs.New(os.Stderr, settings.LogLevel, agent.Role, settings.Host)
	if err != nil {
		return err
	}
	ctx, stop := lifecycle.SignalContext()
	defer stop()
	return agent.RunProcess(ctx, settings, log)
}
