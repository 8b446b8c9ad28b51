package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/standin"
)

const (
	keyHeader     = "Idempotency-Key"
	maxReplyBytes = 1 << 20
)

// sendCallWithResends performs a service call. A call with an idempotency key and
// an unknown outcome is sent again with the same key through the next entry.
func (c *client) sendCallWithResends(ctx context.Context, a *Arrival, number int, r *Result) {
	key := ""
	if a.Mix.SendIdempotencyKey && a.Mix.Method != http.MethodGet {
		id, err := uuid.NewV7()
		if err != nil {
			r.Outcome, r.Code = NotRun, codeProtocol
			return
		}
		key = id.String()
	}
	for {
		c.sendCall(ctx, a, c.entry(number+r.Resends), key, r)
		if r.Outcome != Unknown || key == "" || r.Resends >= a.Mix.Resends || ctx.Err() != nil {
			return
		}
		r.Resends++
	}
}

func (c *client) sendCall(ctx context.Context, a *Arrival, entry, key string, r *Result) {
	var body io.Reader
	if a.Mix.Method != http.MethodGet {
		body = strings.NewReader(a.Body)
	}
	url := "http://" + entry + "/services/" + a.Mix.Service + a.Mix.Path
	req, err := c.newRequest(ctx, a.Mix.Method, url, body, a)
	if err != nil {
		r.Outcome, r.Code = NotRun, codeProtocol
		return
	}
	if key != "" {
		req.Header.Set(keyHeader, key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		r.setConnectionFailure(err)
		return
	}
	defer drainBody(resp.Body)
	if resp.Header.Get(outcomeHeader) != fault.OutcomeString(fault.Answered) {
		r.setResponseFailure(resp)
		return
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		r.setConnectionFailure(err)
		return
	}
	r.Outcome = Answered
	r.checkReply(resp.StatusCode, data, key)
}

// checkReply verifies that the response of the stand-in service belongs to the
// call, and that a call with an idempotency key was executed once.
func (r *Result) checkReply(status int, data []byte, key string) {
	if status != http.StatusOK {
		return // an error response of the service itself
	}
	var reply standin.ServiceReply
	a := r.Arrival
	if json.Unmarshal(data, &reply) != nil {
		r.Outcome, r.Code = Wrong, codeProtocol
		return
	}
	sent := a.Body
	if a.Mix.Method == http.MethodGet {
		sent = ""
	}
	if reply.Body != sent || reply.Key != key {
		r.Outcome, r.Code = Wrong, codeOtherRequest
		return
	}
	if key != "" && reply.Execution > 1 {
		r.Outcome, r.Code = Wrong, codeRepeatedExecution
	}
}
