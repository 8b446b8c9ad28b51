package load

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a panic on a malformed scenario, and against accepting a
// scenario that has no mixes or no entries.
func FuzzParseScenario(f *testing.F) {
	f.Add(fmt.Appendf(nil, testScenario, "127.0.0.1:1"))
	f.Add([]byte("[run]\n[mix.]\n[flood.x]\nmix=\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseScenario("fuzz", data)
		if err == nil {
			assert.Assert(t, len(s.Mixes) > 0 && len(s.Run.Entries) > 0)
		}
	})
}
