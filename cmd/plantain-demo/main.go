// Command plantain-demo runs a whole deployment on loopback: three control
// replicas, two entry processes, and agents with stand-in engines and services. It sends
// a chat request, calls the order service, and prints the answers.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/plantainstair/plantainstair/pkg/lifecycle"
	"github.com/plantainstair/plantainstair/pkg/local"
)

const startTimeout = 30 * time.Second

func main() {
	bin, dir, check := "bin", "", false
	flaggy.SetName("plantain-demo")
	flaggy.SetDescription("Runs a whole deployment on loopback with stand-in upstreams.")
	flaggy.String(&bin, "b", "bin", "Folder of the binaries.")
	flaggy.String(&dir, "d", "dir", "Folder for settings, data and logs; empty means a temporary one.")
	flaggy.Bool(&check, "", "check", "Stop after the requests instead of running until interrupted.")
	flaggy.Parse()
	if err := run(bin, dir, check); err != nil {
		fmt.Fprintln(os.Stderr, "plantain-demo:", err)
		os.Exit(1)
	}
}

func run(bin, dir string, check bool) error {
	dir, remove, err := local.WorkDir(dir, "plantain-demo")
	if err != nil {
		return err
	}
	defer remove()
	ctx, stop := lifecycle.SignalContext()
	defer stop()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d, err := local.Launch(startCtx, local.DefaultPlan(), dir, bin)
	if err != nil {
		printLogs(dir)
		return err
	}
	err = sendRequests(ctx, d)
	if err == nil && !check {
		printAddresses(d)
		<-ctx.Done()
	}
	if stopErr := d.Stop(); err == nil {
		err = stopErr
	}
	if err != nil {
		printLogs(dir)
	}
	return err
}

func printAddresses(d *local.Deployment) {
	for _, e := range d.Entries {
		fmt.Printf("entry      http://%s (platform http://%s)\n", e.Address, e.HealthAddress)
	}
	for _, c := range d.Controls {
		fmt.Printf("control    http://%s (admin)\n", c.AdminAddress)
	}
	fmt.Printf("settings, data and logs are in %s\nrunning until interrupted\n", d.Dir)
}
