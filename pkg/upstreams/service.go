package upstreams

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Header is one header of a service call or its answer.
type Header struct {
	Name  string
	Value string
}

// ServiceCall is one call of a service.
type ServiceCall struct {
	RequestID        string
	Key              string // idempotency key; empty for a call that may be repeated
	Organisation     string
	Method           string
	Path             string // path and query
	Headers          []Header
	Body             []byte
	MaxResponseBytes int64 // bytes; zero means the limit of the client
}

// ServiceResponse is the complete answer to a call.
type ServiceResponse struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Headers of one connection, which are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// onceBody hides the length-rewinding interfaces of a reader. net/http resends
// a request by itself when its body can be rewound and it carries an
// Idempotency-Key; such a resend could run a call twice.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// CallService sends a call once and returns the complete answer. An answer
// that names another request is discarded and the outcome is unknown.
func (c *Client) CallService(ctx context.Context, address string, call *ServiceCall) (*ServiceResponse, error) {
	req, err := serviceRequest(ctx, address, call)
	if err != nil {
		return nil, fault.As(err).WithOutcome(fault.NotRun)
	}
	client := c.reused
	if call.Key != "" {
		// A connection of its own leaves no doubt about a connection that the
		// service closed while it was idle.
		client = c.isolated
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, transportError(ctx, err, "call service")
	}
	defer func() { _ = resp.Body.Close() }()
	if got := resp.Header.Get(HeaderRequestID); got != call.RequestID {
		return nil, fault.New(fault.Upstream, "service answered request %.128q in place of %q", got, call.RequestID).
			WithField(HeaderRequestID).WithOutcome(fault.MayHaveRun)
	}
	limit := c.opts.MaxResponseBytes
	if call.MaxResponseBytes > 0 {
		limit = min(limit, call.MaxResponseBytes)
	}
	return readAnswer(ctx, resp, limit)
}

func serviceRequest(ctx context.Context, address string, call *ServiceCall) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, invalid("path", "%.64q does not start with a slash", call.Path)
	}
	req, err := newRequest(ctx, call.Method, address, call.Path, nil)
	if err != nil {
		return nil, err
	}
	if len(call.Body) > 0 {
		req.Body = onceBody{strings.NewReader(string(call.Body))}
		req.ContentLength = int64(len(call.Body))
	}
	req.Header.Del("Content-Type")
	for _, h := range call.Headers {
		if name := http.CanonicalHeaderKey(h.Name); !hopHeaders[name] && name != "Host" {
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

func readAnswer(ctx context.Context, resp *http.Response, limit int64) (*ServiceResponse, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, transportError(ctx, err, "read answer of service")
	}
	if int64(len(body)) > limit {
		return nil, fault.New(fault.Upstream, "answer of service is over the limit of %d bytes", limit).
			WithField("body").WithOutcome(fault.MayHaveRun)
	}
	a := &ServiceResponse{Status: resp.StatusCode, Body: body}
	for name, values := range resp.Header {
		if hopHeaders[name] {
			continue
		}
		for _, v := range values {
			a.Headers = append(a.Headers, Header{Name: name, Value: v})
		}
	}
	return a, nil
}
