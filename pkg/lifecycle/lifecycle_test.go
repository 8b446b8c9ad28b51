package lifecycle

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Guards against a shutdown that does not wait for requests in progress or that
// accepts new ones.
func TestLifecycle_DrainWaitsForRequests(t *testing.T) {
	l := NewLifecycle()
	assert.NilError(t, l.MarkReady())
	done, ok := l.Track()
	assert.Assert(t, ok)
	l.Drain()
	l.Drain()
	_, ok = l.Track()
	assert.Assert(t, !ok)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Assert(t, fault.Is(l.WaitDrained(ctx), fault.Deadline))
	done()
	assert.NilError(t, l.WaitDrained(context.Background()))
	assert.NilError(t, l.MarkStopped())
}

// Guards against a load balancer that keeps sending requests to a process that is
// starting, draining or without current configuration.
func TestReadyz_UnavailableUnlessReady(t *testing.T) {
	l := NewLifecycle()
	reason := error(nil)
	h := Handler(Options{Lifecycle: l, CheckReady: func() error { return reason }})
	get := func() int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/readyz", nil))
		return w.Code
	}
	assert.Equal(t, get(), http.StatusServiceUnavailable)
	assert.NilError(t, l.MarkReady())
	assert.Equal(t, get(), http.StatusOK)
	reason = fault.New(fault.StaleConfig, "no confirmation for 5 s")
	assert.Equal(t, get(), http.StatusServiceUnavailable)
	reason = nil
	l.Drain()
	assert.Equal(t, get(), http.StatusServiceUnavailable)
}
