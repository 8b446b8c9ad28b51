// Command plantainctl changes and shows the catalogue, upstreams and voters, and explains
// how a gateway would route a request.
//
// Exit codes: 0 success, 1 failure, 2 usage, 3 conflict with another change,
// 4 no control replica or gateway reachable and nothing changed, 5 invalid input or missing
// permission, 6 change accepted but not confirmed by every watcher in time, 7 outcome unknown.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/plantainstair/plantainstair/pkg/ctl"
)

func main() {
	c := newCommands()
	flaggy.SetName("plantainctl")
	flaggy.SetDescription("Changes and shows the catalogue, upstreams and voters.")
	// The order command has a flag of its own with this name.
	flaggy.DefaultParser.ShowVersionWithVersionFlag = false
	flaggy.String(&c.settings, "c", "config", "Path of the settings file.")
	flaggy.Bool(&c.json, "j", "json", "Print JSON.")
	for _, cmd := range c.list {
		flaggy.AttachSubcommand(cmd.sub, 1)
	}
	flaggy.Parse()
	for _, cmd := range c.list {
		if cmd.sub.Used {
			exit(cmd.run())
		}
	}
	flaggy.ShowHelp("A command is required.")
	os.Exit(ctl.ExitUsage)
}

func exit(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "plantainctl:", err)
	}
	os.Exit(ctl.ExitCode(err))
}
