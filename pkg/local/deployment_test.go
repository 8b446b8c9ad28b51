package local

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a panic when a failed start kills the processes.
func TestLaunch_FailsWithoutBinaries(t *testing.T) {
	_, err := Launch(t.Context(), DefaultPlan(), t.TempDir(), t.TempDir())
	assert.Assert(t, err != nil)
}

// Guards against a sum that includes metrics whose names have the same prefix.
func TestSumMetric_SumsSeriesOfOneName(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "waits_sum{rank=\"a\"} 1.5\nwaits_sum{rank=\"b\"} 2\nwaits_sum_other 8\nup 3\n")
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	for name, want := range map[string]float64{"waits_sum": 3.5, "up": 3, "absent": 0} {
		got, err := SumMetric(address, name)
		assert.NilError(t, err)
		assert.Equal(t, got, want, name)
	}
}
