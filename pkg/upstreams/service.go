package upstreams

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/hopbyhop"
)

// Header is one header of a service call or response.
type Header struct {
	Name  string
	Value string
}

// ServiceCall is an HTTP request to a service.
type ServiceCall struct {
	RequestID        string
	Key              string // idempotency key; empty for a repeatable call
	Organisation     string
	Method           string
	Target           string // path and query
	Headers          []Header
	Body             []byte
	MaxResponseBytes int64 // zero selects Options.MaxResponseBytes
}

// ServiceResponse is the complete response to a call.
type ServiceResponse struct {
	Status  int
	Headers []Header
	Body    []byte
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// nonRewindableBody prevents net/http from rewinding a request body. net/http
// resends a request that has a rewindable body and an Idempotency-Key when a
// reused connection breaks; such a resend could run the call twice.
type nonRewindableBody struct{ io.Reader }

func (nonRewindableBody) Close() error { return nil }

// CallService sends a call exactly once and returns the complete response. A
// response with a different request ID is discarded, and the error has the
// outcome fault.MayHaveRun.
func (c *Client) CallService(ctx context.Context, address string, call *ServiceCall) (*ServiceResponse, error) {
	req, err := newServiceRequest(ctx, address, call)
	if err != nil {
		return nil, fault.As(err).WithOutcome(fault.NotRun)
	}
	client := c.pooled
	if call.Key != "" {
		// On a reused connection, a failure may mean that the service closed the
		// idle connection before the request arrived. A new connection avoids
		// that ambiguity.
		client = c.singleUse
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, transportError(ctx, err, "call service")
	}
	defer func() { _ = resp.Body.Close() }()
	if got := resp.Header.Values(HeaderRequestID); len(got) != 1 || got[0] != call.RequestID {
		return nil, fault.New(fault.Upstream, "service answered request %.128q in place of %q", got, call.RequestID).
			WithField(HeaderRequestID).WithOutcome(fault.MayHaveRun)
	}
	limit := c.opts.MaxResponseBytes
	if call.MaxResponseBytes > 0 {
		limit = min(limit, call.MaxResponseBytes)
	}
	return c.readServiceResponse(ctx, resp, limit)
}

func newServiceRequest(ctx context.Context, address string, call *ServiceCall) (*http.Request, error) {
	if !strings.HasPrefix(call.Target, "/") {
		return nil, invalidField("path", "%.64q does not start with a slash", call.Target)
	}
	req, err := newRequest(ctx, call.Method, address, call.Target, nil)
	if err != nil {
		return nil, err
	}
	if len(call.Body) > 0 {
		req.Body = nonRewindableBody{strings.NewReader(string(call.Body))}
		req.ContentLength = int64(len(call.Body))
	}
	req.Header.Del("Content-Type")
	for _, h := range call.Headers {
		if name := http.CanonicalHeaderKey(h.Name); !hopByHopHeaders[name] && name != "Host" {
			req.Header.Add(name, h.Value)
		}
	}
	req.Header.Set(HeaderRequestID, call.RequestID)
	req.Header.Set(HeaderOrganisation, call.Organisation)
	if call.Key != "" {
		req.Header.Set(HeaderIdempotencyKey, call.Key)
	}
	return req, nil
}

func (c *Client) readServiceResponse(ctx context.Context, resp *http.Response, limit int64) (*ServiceResponse, error) {
	body, err := c.responseMemory.Read(resp.Body, resp.ContentLength, limit)
	if err != nil {
		return nil, transportError(ctx, err, "read answer of service")
	}
	a := &ServiceResponse{Status: resp.StatusCode, Body: body.Bytes()}
	body.Release()
	for _, name := range hopbyhop.Names(resp.Header) {
		resp.Header.Del(name)
	}
	for name, values := range resp.Header {
		if hopByHopHeaders[name] {
			continue
		}
		for _, v := range values {
			a.Headers = append(a.Headers, Header{Name: name, Value: v})
		}
	}
	return a, nil
}
