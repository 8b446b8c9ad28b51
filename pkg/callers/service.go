package callers

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	servicePrefix   = "/services/"
	maxMethodLength = 32
)

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Date",
}

// ownHeaders are set by processes of the system or meant for them. A caller
// must not forge them towards a service, and the API key must not reach it.
var ownHeaders = []string{"Authorization", headerKey, headerKeyCreated, headerRequestID, "Fencing-Epoch"}

// ownPrefix begins the names of all other headers of the system.
const ownPrefix = "Plantain-"

func isOwn(name string) bool {
	return strings.HasPrefix(name, ownPrefix) || slices.Contains(ownHeaders, name)
}

// serveService answers calls to /services/{service}/{path...}.
func (a *api) serveService(x *exchange, r *http.Request) {
	call, err := a.serviceCall(x, r)
	if err != nil {
		x.fail(a.keyedRefusal(r, x, err))
		return
	}
	answer, err := a.opts.Router.Call(r.Context(), call)
	if err != nil {
		x.fail(err)
		return
	}
	x.relay(r, answer)
}

// keyedRefusal sets the outcome of a refusal before the call was sent. With a
// key, an earlier send of the same call may have run.
func (a *api) keyedRefusal(r *http.Request, x *exchange, err error) error {
	key := r.Header.Get(headerKey)
	if key == "" {
		return err
	}
	service, _, _ := splitServicePath(r)
	e := *fault.As(err)
	return e.WithOutcome(a.opts.Router.KeyOutcome(r.Context(), x.caller.Name(), service, key))
}

func (a *api) serviceCall(x *exchange, r *http.Request) (*ServiceCall, error) {
	service, path, err := splitServicePath(r)
	if err != nil {
		return nil, err
	}
	if r.Method == http.MethodConnect || len(r.Method) > maxMethodLength {
		return nil, refuse("method", "method is not supported")
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
		key, err := parseKey(r.Header)
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
	return &ServiceCall{Caller: x.caller, Deadline: boundedBy(deadline, x.started, entry), Request: req}, nil
}

// boundedBy applies the time limit of the service entry.
func boundedBy(deadline, started time.Time, entry *wirepb.Entry) time.Time {
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

// splitServicePath returns the service and the rest of the path with the
// query, both as the caller escaped them.
func splitServicePath(r *http.Request) (service, path string, err error) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix)
	service, path, _ = strings.Cut(rest, "/")
	if service == "" {
		return "", "", refuse("service", "path names no service")
	}
	for _, segment := range strings.Split(r.URL.Path, "/") {
		if segment == "." || segment == ".." {
			return service, "", refuse("path", "path has a dot segment")
		}
	}
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return service, path, nil
}

// forwardHeaders returns the headers for the service, sorted by name.
func forwardHeaders(h http.Header) []*wirepb.Header {
	drop := slices.Clone(hopHeaders)
	for _, v := range h.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			drop = append(drop, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	var names []string
	for name := range h {
		if !slices.Contains(drop, name) && !isOwn(name) {
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

// relay sends the answer of a service.
func (x *exchange) relay(r *http.Request, answer *wirepb.CallResponse) {
	if answer.Status < http.StatusOK || answer.Status > 999 {
		x.fail(fault.New(fault.Upstream, "service answered with status %d", answer.Status).WithOutcome(fault.MayHaveRun))
		return
	}
	h := x.w.Header()
	for _, header := range answer.Headers {
		name := http.CanonicalHeaderKey(header.Name)
		if !slices.Contains(hopHeaders, name) && !isOwn(name) {
			h.Add(name, header.Value)
		}
	}
	if answer.Replayed {
		h.Set(headerReplayed, "true")
	}
	if !bodyAllowed(r.Method, answer.Status) {
		x.sendHeaders(int(answer.Status), fault.Answered)
		return
	}
	x.answer(int(answer.Status), answer.Body)
}

func bodyAllowed(method string, status uint32) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
