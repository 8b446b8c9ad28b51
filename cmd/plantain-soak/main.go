// Command plantain-soak runs the programs of the platform deployment under random
// faults and checks their guarantees. It is a test tool.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/lifecycle"
	"github.com/plantainstair/plantainstair/platform/soak"
)

// exitViolations is the exit status if a seed violated a guarantee.
const exitViolations = 2

type options struct {
	seed    uint64
	seeds   int
	seconds int
	cases   string
	bin     string
	dir     string
	size    soak.Size
	// upstreamFaults is soak.Options.UpstreamFaults.
	upstreamFaults bool
}

func main() {
	o := options{seed: 1, seeds: 1, seconds: 15, bin: "bin", size: soak.Size{Coordinators: 3, Gateways: 3, CallersPerGateway: 4}}
	flaggy.SetName("plantain-soak")
	flaggy.SetDescription("Runs gateways and coordinators under random faults and checks their promises.")
	flaggy.UInt64(&o.seed, "s", "seed", "First seed.")
	flaggy.Int(&o.seeds, "n", "seeds", "Number of seeds, one after the other.")
	flaggy.Int(&o.seconds, "t", "seconds", "Time with faults for each seed, in seconds.")
	flaggy.String(&o.cases, "f", "cases", "File of seeds to play instead, one a line: seed, seconds, coordinators, gateways, callers, cause.")
	flaggy.String(&o.bin, "b", "bin", "Folder of the programs.")
	flaggy.String(&o.dir, "d", "dir", "Folder for settings, data and logs; empty for a temporary one. Kept for seeds with a broken promise.")
	flaggy.Int(&o.size.Coordinators, "c", "coordinators", "Number of coordinators.")
	flaggy.Int(&o.size.Gateways, "g", "gateways", "Number of gateways.")
	flaggy.Int(&o.size.CallersPerGateway, "l", "callers", "Number of callers for each gateway.")
	flaggy.Bool(&o.upstreamFaults, "u", "upstream-faults", "Also let engines crash on a prompt part, and plain servers name a request limit.")
	flaggy.Parse()
	ctx, stop := lifecycle.SignalContext()
	defer stop()
	violatingSeeds, err := run(ctx, o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "plantain-soak:", err)
		os.Exit(1)
	}
	if violatingSeeds > 0 {
		os.Exit(exitViolations)
	}
}

// seedRun is a run with one seed. A regression case also has the cause of the
// violation that it once showed.
type seedRun struct {
	seed    uint64
	seconds int
	size    soak.Size
	cause   string
}

// seedRuns returns the runs of the case file, or those of the seed flags if there
// is no file.
func (o options) seedRuns() ([]seedRun, error) {
	if o.cases == "" {
		var out []seedRun
		for i := range o.seeds {
			out = append(out, seedRun{seed: o.seed + uint64(i), seconds: o.seconds, size: o.size})
		}
		return out, nil
	}
	data, err := os.ReadFile(o.cases)
	if err != nil {
		return nil, fault.Wrap(err, fault.Disk, "read the cases")
	}
	return parseCases(string(data))
}

// parseCases parses a case file. It returns an error for an invalid line.
func parseCases(text string) ([]seedRun, error) {
	var out []seedRun
	number := 0
	for line := range strings.Lines(text) {
		number++
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var r seedRun
		n, err := fmt.Sscan(line, &r.seed, &r.seconds, &r.size.Coordinators, &r.size.Gateways, &r.size.CallersPerGateway)
		if err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "case in line %d has %d of 5 numbers", number, n)
		}
		if r.seconds < 1 || r.size.Coordinators < 1 || r.size.Gateways < 1 || r.size.CallersPerGateway < 1 {
			return nil, fault.New(fault.Invalid, "case in line %d has a number below 1", number)
		}
		r.cause = strings.Join(strings.Fields(line)[5:], " ")
		out = append(out, r)
	}
	return out, nil
}

// run returns the number of seeds that violated a guarantee.
func run(ctx context.Context, o options) (int, error) {
	seedRuns, err := o.seedRuns()
	if err != nil {
		return 0, err
	}
	base := o.dir
	if base == "" {
		if base, err = os.MkdirTemp("", "plantain-soak"); err != nil {
			return 0, fault.Wrap(err, fault.Disk, "create a folder")
		}
	}
	violatingSeeds := 0
	for _, r := range seedRuns {
		if ctx.Err() != nil {
			break
		}
		dir := filepath.Join(base, fmt.Sprint(r.seed))
		violated, err := r.run(ctx, o, dir)
		if err != nil {
			return violatingSeeds, err
		}
		if violated {
			violatingSeeds++
		}
	}
	return violatingSeeds, nil
}

// run runs one seed and reports whether it violated a guarantee. In that case it
// keeps the seed's folder.
func (r seedRun) run(ctx context.Context, o options, dir string) (violated bool, err error) {
	if err := os.RemoveAll(dir); err != nil { // left by an earlier run of the seed
		return false, fault.Wrap(err, fault.Disk, "empty a folder")
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return false, fault.Wrap(err, fault.Disk, "create a folder")
	}
	report, err := soak.Run(ctx, soak.Options{
		Size: r.size, Seed: r.seed, FaultDuration: time.Duration(r.seconds) * time.Second, UpstreamFaults: o.upstreamFaults, BinDir: o.bin, WorkDir: dir,
	})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d faults, %s, %d guarantee violations\n", r.seed, len(report.Faults), report.History.Summary(), len(report.Violations))
	if len(report.Violations) == 0 {
		return false, os.RemoveAll(dir)
	}
	fmt.Println("logs:", dir)
	if r.cause != "" {
		fmt.Println("earlier cause:", r.cause)
	}
	for _, v := range report.Violations {
		fmt.Println(" ", v)
	}
	return true, nil
}
