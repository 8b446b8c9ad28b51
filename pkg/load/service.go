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

// service performs a service call. A keyed call with an unknown outcome is
// sent again with the same key, through the next entry.
func (c *client) service(ctx context.Context, a *Arrival, number int, r *Result) {
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
		c.call(ctx, a, c.entry(number+r.Resends), key, r)
		if r.Outcome != Unknown || key == "" || r.Resends >= a.Mix.Resends || ctx.Err() != nil {
			return
		}
		r.Resends++
	}
}

func (c *client) call(ctx context.Context, a *Arrival, entry, key string, r *Result) {
	var body io.Reader
	if a.Mix.Method != http.MethodGet {
		body = strings.NewReader(a.Body)
	}
	url := "http://" + entry + "/services/" + a.Mix.Service + a.Mix.Path
	req, err := c.request(ctx, a.Mix.Method, url, body, a)
	if err != nil {
		r.Outcome, r.Code = NotRun, codeProtocol
		return
	}
	if key != "" {
		req.Header.Set(keyHeader, key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		r.failConnection(err)
		return
	}
	defer drain(resp.Body)
	if resp.Header.Get(outcomeHeader) != fault.OutcomeString(fault.Answered) {
		r.failResponse(resp)
		return
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		r.failConnection(err)
		return
	}
	r.Outcome = Answered
	r.checkReply(resp.StatusCode, data, key)
}

// checkReply compares the answer of the stand-in service with the call.
func (r *Result) checkReply(status int, data []byte, key string) {
	if status != http.StatusOK {
		return // the service's own refusal
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
		r.Outcome, r.Code = Wrong, codeForeign
		return
	}
	if key != "" && reply.Execution > 1 {
		r.Outcome, r.Code = Wrong, codeRepeated
	}
}
