// Command plantain-entry accepts the requests of callers and forwards them to
// upstreams.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/plantainstair/plantainstair/pkg/lifecycle"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/role/entry"
)

func main() {
	path := "entry.ini"
	flaggy.SetName("plantain-entry")
	flaggy.SetDescription("Takes the requests of callers and passes them to upstreams.")
	flaggy.String(&path, "c", "config", "Path of the settings file.")
	flaggy.Parse()
	if err := run(path); err != nil {
		fmt.Fprintln(os.Stderr, "plantain-entry:", err)
		os.Exit(1)
	}
}

func run(path string) error {
	settings, err := entry.LoadSettings(path)
	if err != nil {
		return err
	}
	log, err := logs.New(os.Stderr, settings.LogLevel, entry.Role, settings.Host)
	if err != nil {
		return err
	}
	ctx, stop := lifecycle.SignalContext()
	defer stop()
	return entry.Run(ctx, entry.Options{Settings: settings, Log: log.Component("entry")})
}
