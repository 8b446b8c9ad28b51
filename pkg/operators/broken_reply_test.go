package operators

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/standin/brokenresponse"
)

// Guards against a broken reply of a control replica that is taken for the result of a change:
// by a client, and by a follower that passes on the reply of the leader.
func TestClient_RefusesBrokenReplies(t *testing.T) {
	for name, response := range brokenresponse.All("Content-Type: application/json\r\n") {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer ln.Close()
			go brokenresponse.Serve(ln, response)
			broken := ln.Addr().String()
			follower := startAPI(t, &fakeService{leaderAdminAddress: broken})
			c := &Client{Token: testToken}
			change := operation{http.MethodPost, "/v1/upstreams/h1/drain", nil, nil, readAttemptTimeout}
			for address, kind := range map[string]fault.Kind{broken: fault.Unavailable, follower: fault.UnknownOutcome} {
				err := c.attempt(testContext(t), address, change, []byte(`{"request_id":"r"}`), &OrderReply{})
				assert.Assert(t, fault.Is(err, kind) && fault.As(err).Outcome == fault.MayHaveRun, "%v", err)
			}
		})
	}
}

// Guards against a reply of the leader over the limit that a follower cuts off and passes on as a
// whole one.
func TestOrders_FollowerRefusesReplyOverLimit(t *testing.T) {
	part := bytes.Repeat([]byte(" "), 1<<20)
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "{}")
		for range maxReplyBytes/len(part) + 1 {
			_, _ = w.Write(part)
		}
	}))
	defer leader.Close()
	follower := startAPI(t, &fakeService{leaderAdminAddress: leader.Listener.Addr().String()})
	order := operation{http.MethodPost, "/v1/upstreams/h1/drain", nil, nil, readAttemptTimeout}
	err := (&Client{Token: testToken}).attempt(testContext(t), follower, order, []byte(`{"request_id":"r"}`), &OrderReply{})
	assert.Assert(t, fault.Is(err, fault.UnknownOutcome) && fault.As(err).Outcome == fault.MayHaveRun, "%v", err)
}
