package defaults

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a default that replaces a valid value, and against negative
// timeouts or sizes that stay in use.
func TestSet_ReplacesZeroAndNegativeValuesOnly(t *testing.T) {
	for _, c := range []struct{ value, want time.Duration }{
		{-time.Second, time.Minute}, {0, time.Minute}, {1, 1}, {time.Hour, time.Hour},
	} {
		value := c.value
		Set(&value, time.Minute)
		assert.Equal(t, value, c.want)
	}
}
