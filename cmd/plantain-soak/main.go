// Command plantain-soak runs the programs of the platform deployment under random
// faults and checks their promises. It serves tests only.
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

// exitBroken is the exit status after a broken promise.
const exitBroken = 2

type options struct {
	seed    uint64
	seeds   int
	seconds int
	cases   string
	bin     string
	dir     string
	size    soak.Size
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
	flaggy.Parse()
	ctx, stop := lifecycle.SignalContext()
	defer stop()
	broken, err := run(ctx, o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "plantain-soak:", err)
		os.Exit(1)
	}
	if broken > 0 {
		os.Exit(exitBroken)
	}
}

// play is one seed to play, and why where it is a regression case.
type play struct {
	seed    uint64
	seconds int
	size    soak.Size
	cause   string
}

// plays returns the seeds to play.
func (o options) plays() ([]play, error) {
	if o.cases == "" {
		var out []play
		for i := range o.seeds {
			out = append(out, play{seed: o.seed + uint64(i), seconds: o.seconds, size: o.size})
		}
		return out, nil
	}
	data, err := os.ReadFile(o.cases)
	if err != nil {
		return nil, fault.Wrap(err, fault.Disk, "read the cases")
	}
	return parseCases(string(data))
}

func parseCases(text string) ([]play, error) {
	var out []play
	number := 0
	for line := range strings.Lines(text) {
		number++
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var p play
		n, err := fmt.Sscan(line, &p.seed, &p.seconds, &p.size.Coordinators, &p.size.Gateways, &p.size.CallersPerGateway)
		if err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "case in line %d has %d of 5 numbers", number, n)
		}
		if p.seconds < 1 || p.size.Coordinators < 1 || p.size.Gateways < 1 || p.size.CallersPerGateway < 1 {
			return nil, fault.New(fault.Invalid, "case in line %d has a number below 1", number)
		}
		p.cause = strings.Join(strings.Fields(line)[5:], " ")
		out = append(out, p)
	}
	return out, nil
}

// run returns the number of seeds with a broken promise.
func run(ctx context.Context, o options) (int, error) {
	plays, err := o.plays()
	if err != nil {
		return 0, err
	}
	base := o.dir
	if base == "" {
		if base, err = os.MkdirTemp("", "plantain-soak"); err != nil {
			return 0, fault.Wrap(err, fault.Disk, "create a folder")
		}
	}
	broken := 0
	for _, p := range plays {
		if ctx.Err() != nil {
			break
		}
		dir := filepath.Join(base, fmt.Sprint(p.seed))
		kept, err := p.run(ctx, o.bin, dir)
		if err != nil {
			return broken, err
		}
		if kept {
			broken++
		}
	}
	return broken, nil
}

// run plays a seed, and reports whether it broke a promise. Its folder is kept then.
func (p play) run(ctx context.Context, bin, dir string) (broken bool, err error) {
	if err := os.RemoveAll(dir); err != nil { // of an earlier run of the seed
		return false, fault.Wrap(err, fault.Disk, "empty a folder")
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return false, fault.Wrap(err, fault.Disk, "create a folder")
	}
	report, err := soak.Run(ctx, soak.Options{Size: p.size, Seed: p.seed, FaultDuration: time.Duration(p.seconds) * time.Second, BinDir: bin, WorkDir: dir})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d faults, %s, %d broken promises\n", p.seed, len(report.Faults), report.History.Summary(), len(report.Violations))
	if len(report.Violations) == 0 {
		return false, os.RemoveAll(dir)
	}
	fmt.Println("logs:", dir)
	if p.cause != "" {
		fmt.Println("earlier cause:", p.cause)
	}
	for _, v := range report.Violations {
		fmt.Println(" ", v)
	}
	return true, nil
}
