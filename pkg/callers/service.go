package callers

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/hopbyhop"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	servicePrefix  = "/services/"
	maxMethodBytes = 32
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Date",
}

// reservedHeaders are set or consumed by this system. They are not forwarded,
// because a caller must not forge them and a service must not see the API key.
var reservedHeaders = []string{"Authorization", headerIdempotencyKey, headerIdempotencyKeyCreated, headerRequestID, "Fencing-Epoch"}

// reservedPrefix is the prefix of all other headers of this system.
const reservedPrefix = "Plantain-"

func isReservedHeader(name string) bool {
	return strings.HasPrefix(name, reservedPrefix) || slices.Contains(reservedHeaders, name)
}

// serveService handles calls to /services/{service}/{path...}.
func (a *api) serveService(x *exchange, r *http.Request) {
	call, err := a.newServiceCall(x, r)
	if err != nil {
		x.sendError(a.withKeyOutcome(r, x, err))
		return
	}
	resp, err := a.opts.Router.Call(r.Context(), call)
	if err != nil {
		x.sendError(err)
		return
	}
	x.writeServiceResponse(r, resp)
}

// withKeyOutcome sets the outcome of an error that occurred before the call was
// sent. With an idempotency key, an earlier attempt of the same call may have run.
func (a *api) withKeyOutcome(r *http.Request, x *exchange, err error) error {
	key := r.Header.Get(headerIdempotencyKey)
	if key == "" {
		return err
	}
	service, _, _ := splitServicePath(r)
	e := *fault.As(err)
	return e.WithOutcome(a.opts.Router.KeyOutcome(r.Context(), x.caller.Name(), service, key))
}

func (a *api) newServiceCall(x *exchange, r *http.Request) (*ServiceCall, error) {
	service, path, err := splitServicePath(r)
	if err != nil {
		return nil, err
	}
	if r.Method == http.MethodConnect || len(r.Method) > maxMethodBytes {
		return nil, invalidField("method", "method is not supported")
	}
	entry, ok := a.opts.Router.Service(service)
	if !ok {
		return nil, fault.New(fault.NotFound, "service %q does not exist", service).WithField("service").WithOutcome(fault.NotRun)
	}
	req := &wirepb.CallRequest{
		RequestId:    x.id,
		Organisation: x.caller.Name(),
		Rank:         x.rank,
		Service:      service,
		Method:       r.Method,
		Path:         path,
		Headers:      forwardHeaders(r.Header),
		Repeatable:   slices.Contains(entry.GetService().GetRepeatableMethods(), r.Method),
		Weight:       x.caller.Organisation.GetOrganisation().GetWeight(),
	}
	if !req.Repeatable {
		key, err := parseIdempotencyKey(r.Header)
		if err != nil {
			return nil, err
		}
		req.IdempotencyKey = key.Key
		req.KeyCreatedUnixMs = key.CreatedMs
	}
	deadline, err := a.deadline(x, r)
	if err != nil {
		return nil, err
	}
	if req.Body, err = a.readBody(x, r); err != nil {
		return nil, err
	}
	return &ServiceCall{Caller: x.caller, Deadline: capDeadline(deadline, x.started, entry), Request: req}, nil
}

// capDeadline limits the deadline to the timeout of the service's catalogue entry.
func capDeadline(deadline, started time.Time, entry *wirepb.Entry) time.Time {
	ms := entry.GetService().GetTimeoutMs()
	if ms == 0 {
		return deadline
	}
	limit := started.Add(time.Duration(ms) * time.Millisecond)
	if limit.Before(deadline) {
		return limit
	}
	return deadline
}

// splitServicePath returns the service name and the remaining path with the
// query, with the caller's escaping unchanged. It rejects dot segments.
func splitServicePath(r *http.Request) (service, path string, err error) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix)
	service, path, _ = strings.Cut(rest, "/")
	if service == "" {
		return "", "", invalidField("service", "path names no service")
	}
	for _, segment := range strings.Split(r.URL.Path, "/") {
		if segment == "." || segment == ".." {
			return service, "", invalidField("path", "path has a dot segment")
		}
	}
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return service, path, nil
}

// forwardHeaders returns the headers to send to the service, sorted by name.
func forwardHeaders(h http.Header) []*wirepb.Header {
	drop := slices.Concat(hopByHopHeaders, hopbyhop.Names(h))
	var names []string
	for name := range h {
		if !slices.Contains(drop, name) && !isReservedHeader(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var headers []*wirepb.Header
	for _, name := range names {
		for _, value := range h[name] {
			headers = append(headers, &wirepb.Header{Name: name, Value: value})
		}
	}
	return headers
}

// writeServiceResponse forwards the response of a service to the caller.
func (x *exchange) writeServiceResponse(r *http.Request, resp *wirepb.CallResponse) {
	if resp.Status < http.StatusOK || resp.Status > 999 {
		x.sendError(fault.New(fault.Upstream, "service answered with status %d", resp.Status).WithOutcome(fault.MayHaveRun))
		return
	}
	h := x.w.Header()
	for _, header := range resp.Headers {
		name := http.CanonicalHeaderKey(header.Name)
		if !slices.Contains(hopByHopHeaders, name) && !isReservedHeader(name) {
			h.Add(name, header.Value)
		}
	}
	if resp.Replayed {
		h.Set(headerReplayed, "true")
	}
	if !bodyAllowed(r.Method, resp.Status) {
		x.writeHeaders(int(resp.Status), fault.Answered)
		return
	}
	x.writeResponse(int(resp.Status), resp.Body)
}

func bodyAllowed(method string, status uint32) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
