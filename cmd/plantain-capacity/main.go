// Command plantain-capacity fits linear cost models to stored benchmark output
// and rebuilds the tables of docs/CAPACITY.md.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/plantainstair/plantainstair/pkg/capacity"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

func main() {
	bench, page := "docs/capacity/bench.txt", "docs/CAPACITY.md"
	flaggy.SetName("plantain-capacity")
	flaggy.SetDescription("Rebuilds the tables of docs/CAPACITY.md.")
	flaggy.String(&bench, "b", "bench", "Path of the output of go test -bench.")
	flaggy.String(&page, "p", "page", "Path of the page.")
	flaggy.Parse()
	if err := run(bench, page); err != nil {
		fmt.Fprintln(os.Stderr, "plantain-capacity:", err)
		os.Exit(1)
	}
}

func run(bench, page string) error {
	f, err := os.Open(bench)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "open benchmark output")
	}
	defer f.Close()
	samples, err := capacity.Parse(f)
	if err != nil {
		return err
	}
	tables, err := capacity.NewReport(capacity.Fit(samples)).Tables()
	if err != nil {
		return err
	}
	text, err := os.ReadFile(page)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "page")
	}
	out, err := capacity.Render(string(text), tables)
	if err != nil {
		return err
	}
	if err := os.WriteFile(page, []byte(out), 0o644); err != nil {
		return fault.Wrap(err, fault.Invalid, "page")
	}
	return nil
}
