// Command plantain-experiment measures the router against a baseline. It runs a
// deployment on loopback under load, once with the router's choices and once with
// those of the baseline, and prints one table. It is a measurement tool.
package main

import (
	"fmt"
	"os"
	"runtime"

	"github.com/integrii/flaggy"

	"github.com/plantainstair/plantainstair/pkg/experiment"
	"github.com/plantainstair/plantainstair/pkg/lifecycle"
	"github.com/plantainstair/plantainstair/pkg/local"
)

// loadThreads limits the threads that generate the load.
const loadThreads = 4

func main() {
	o := experiment.Options{Name: "steady", Seed: 1, Out: os.Stdout}
	bin, dir := "bin", ""
	flaggy.SetName("plantain-experiment")
	flaggy.SetDescription("Measures the router against a baseline on loopback.")
	flaggy.String(&o.Name, "n", "name", "Experiment: "+fmt.Sprint(experiment.Names))
	flaggy.String(&o.Fault, "f", "fault", "Only this fault of the recovery experiment.")
	flaggy.UInt64(&o.Seed, "s", "seed", "Seed of the load.")
	flaggy.Int(&o.UrgentReserve, "", "urgent-reserve", "Slots that each agent keeps for urgent work; 0 derives the number.")
	flaggy.Bool(&o.RouterOnly, "", "router-only", "Leave the runs of the baseline out.")
	flaggy.String(&bin, "b", "bin", "Folder of the binaries.")
	flaggy.String(&dir, "d", "dir", "Folder that keeps settings, data and logs; empty means a temporary one.")
	flaggy.Parse()
	runtime.GOMAXPROCS(loadThreads)
	if err := run(o, bin, dir); err != nil {
		fmt.Fprintln(os.Stderr, "plantain-experiment:", err)
		os.Exit(1)
	}
}

func run(o experiment.Options, bin, dir string) error {
	dir, remove, err := local.WorkDir(dir, "plantain-experiment")
	if err != nil {
		return err
	}
	defer remove()
	ctx, stop := lifecycle.SignalContext()
	defer stop()
	o.Runner = &experiment.Runner{BinDir: bin, WorkDir: dir}
	return experiment.Run(ctx, o)
}
