package main

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/platform/soak"
)

// Guards against regression cases that are silently skipped.
func TestParseCases_ReadsAllCasesAndRejectsInvalidOnes(t *testing.T) {
	got, err := parseCases("# a comment\n\n7 20 3 4 5 some cause\n")
	assert.NilError(t, err)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0], seedRun{seed: 7, seconds: 20, size: soak.Size{Coordinators: 3, Gateways: 4, CallersPerGateway: 5}, cause: "some cause"})
	for _, bad := range []string{"7 20 3", "x 20 3 4 5", "7 20 0 4 5"} {
		_, err := parseCases(bad)
		assert.Assert(t, fault.Is(err, fault.Invalid), "%q: %v", bad, err)
	}
}
