// Command plantain-load sends open-loop load to entry processes and checks the answers.
// It is a test tool.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime"

	"github.com/integrii/flaggy"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/lifecycle"
	"github.com/plantainstair/plantainstair/pkg/load"
)

// exitWrongAnswers is the exit status after a wrong answer.
const exitWrongAnswers = 2

type options struct {
	scenario, csv, timeline string
}

func main() {
	o := options{scenario: "load.ini"}
	flaggy.SetName("plantain-load")
	flaggy.SetDescription("Sends open-loop load to entry processes and checks the answers.")
	flaggy.String(&o.scenario, "s", "scenario", "Path of the scenario file.")
	flaggy.String(&o.csv, "o", "csv", "Path of a CSV file with one line for each group.")
	flaggy.String(&o.timeline, "t", "timeline", "Path of a CSV file with one line for each second and rank.")
	flaggy.Parse()
	wrongAnswers, err := run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "plantain-load:", err)
		os.Exit(1)
	}
	if wrongAnswers > 0 {
		os.Exit(exitWrongAnswers)
	}
}

// run returns the number of wrong answers.
func run(o options) (int, error) {
	scenario, err := load.LoadScenario(o.scenario)
	if err != nil {
		return 0, err
	}
	runtime.GOMAXPROCS(scenario.Run.Threads)
	ctx, stop := lifecycle.SignalContext()
	defer stop()
	report := load.Execute(ctx, scenario)
	if err := report.WriteTable(os.Stdout); err != nil {
		return 0, err
	}
	if err := writeFile(o.csv, report.WriteCSV); err != nil {
		return 0, err
	}
	if err := writeFile(o.timeline, report.WriteTimeline); err != nil {
		return 0, err
	}
	return report.Total().Outcomes[load.Wrong], nil
}

func writeFile(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return fault.Wrap(err, fault.Disk, "create file").WithField(path)
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return fault.Wrap(err, fault.Disk, "close file").WithField(path)
	}
	return nil
}
