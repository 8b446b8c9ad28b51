package callers

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stop that fails although all requests have ended: the listener is closed
// before the HTTP server closes it again.
func TestServer_ShutdownWithoutRequestsSucceeds(t *testing.T) {
	for range 2000 {
		s, err := NewServer("127.0.0.1:0", http.NotFoundHandler())
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		assert.NilError(t, s.Shutdown(ctx))
		cancel()
	}
}
