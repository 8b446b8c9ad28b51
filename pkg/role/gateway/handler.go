package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/instances"
	"github.com/plantainstair/plantainstair/pkg/logs"
)

// request is one request of a caller.
type request struct {
	caller   instances.RequestMetadata
	route    *routing.Route
	service  *routing.Service
	owner    string // organisation, empty on public routes
	rank     int
	arrived  time.Time
	deadline time.Time // the caller leaves, or the route's time limit
	call     instances.Call
	view     *view // with which the request was admitted
	attempts int   // upstreams that may have run it
	sends    int   // times that it was sent
	upstream string
	note     string // what decided its end
	// lastEvent and longestGap describe the pauses of a stream.
	lastEvent  time.Time
	longestGap time.Duration
	repaths    atomic.Int32
	engines    int // of the last path
}

// noteEvent records the time of an event of a stream.
func (q *request) noteEvent(now time.Time) {
	if !q.lastEvent.IsZero() {
		q.longestGap = max(q.longestGap, now.Sub(q.lastEvent))
	}
	q.lastEvent = now
}

// defaultPatience holds for a caller that does not say how long it waits.
const defaultPatience = 30 * time.Second

// serve handles a request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	q := &request{arrived: time.Now()}
	g.awaitView(r.Context(), q)
	recorder := &statusRecorder{ResponseWriter: w}
	defer g.record(q, recorder)
	if err := g.admit(q, r); err != nil {
		refuse(recorder, q, err)
		return
	}
	body, err := readBody(r, q.view.conf.Limits.BodyBytes)
	if err != nil {
		refuse(recorder, q, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	q.call = instances.Call{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: body,
		RequestID: q.caller.RequestID, NoRetry: !q.route.Idempotent(),
	}
	if q.route.Kind == routing.Stream && q.service.Model != nil {
		g.serveStream(ctx, recorder, q)
		return
	}
	g.servePlain(ctx, recorder, q)
}

const (
	// startTime is the time after a start in which a process may not know the
	// configuration or all upstreams yet.
	startTime = 4 * time.Second
	// startWait is the time for which requests wait meanwhile: after all
	// processes were lost, the first announcements come within it.
	startWait = 1500 * time.Millisecond
	viewRetry = 20 * time.Millisecond
)

// startHold returns how long a request waits for what this process does not
// know yet: nothing once it has run for a while.
func (g *Gateway) startHold() time.Duration {
	if time.Since(g.began) > startTime {
		return 0
	}
	return startWait
}

// awaitView waits for the configuration while the process starts.
func (g *Gateway) awaitView(ctx context.Context, q *request) {
	for q.view = g.view.Load(); q.view.conf == nil; q.view = g.view.Load() {
		if time.Since(q.arrived) > g.startHold() || !delay.Wait(ctx, viewRetry) {
			return
		}
	}
}

// admit finds the route and the owner of a request.
func (g *Gateway) admit(q *request, r *http.Request) error {
	caller, err := g.opts.Dialect.ReadRequestMetadata(r.Header)
	q.caller = caller
	if err != nil {
		return err
	}
	conf := q.view.conf
	if conf == nil {
		return notRun(fault.StaleConfig, "no configuration is known yet").WithRetryAfter(time.Second)
	}
	if limit := conf.Limits.HeaderBytes; limit > 0 && headerSize(r) > limit {
		return notRun(fault.Invalid, "header is over %d bytes", limit).WithField("header")
	}
	if q.route = conf.Match(g.opts.Dialect.RouteHost(r.Host), r.URL.Path); q.route == nil {
		return notRun(fault.NotFound, "no route for this host and path")
	}
	if err := q.authenticate(conf); err != nil {
		return err
	}
	q.service = conf.Services[q.route.PickService(rand.Float64())]
	patience := caller.MaxWait
	if patience <= 0 {
		patience = defaultPatience
	}
	q.deadline = q.arrived.Add(min(patience, q.route.Timeout))
	return nil
}

// headerSize returns about the size of a request's header, in bytes.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

func (q *request) authenticate(conf *routing.Configuration) error {
	q.rank = q.route.Rank
	if q.route.Public || len(conf.Organisations) == 0 {
		return nil
	}
	owner := conf.OrganisationForKey(q.caller.APIKey)
	if q.caller.APIKey == "" || owner == nil {
		return notRun(fault.Unauthenticated, "the API key is not known")
	}
	q.owner = owner.Name
	if owner.HasRank {
		q.rank = owner.Rank
	}
	return nil
}

func notRun(kind fault.Kind, format string, args ...any) *fault.Error {
	return fault.New(kind, format, args...).WithOutcome(fault.NotRun)
}

// readBody reads the whole body, which is sent again where a request may be
// repeated.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, notRun(fault.Invalid, "body is over %d bytes", limit).WithField("body")
	}
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.Cancelled, "body was not received").WithOutcome(fault.NotRun)
	}
	if int64(len(body)) > limit {
		return nil, notRun(fault.Invalid, "body is over %d bytes", limit).WithField("body")
	}
	return body, nil
}

const defaultBody = 4 << 20

// left returns the time that remains for a request.
func (q *request) left() time.Duration { return time.Until(q.deadline) }

// maySend reports whether a request may be sent, again where it was before.
func (g *Gateway) maySend(q *request) bool {
	if q.sends == 0 {
		g.budgets.request(q.service.Name)
	} else if !g.budgets.retry(q.service.Name) {
		g.metrics.budgetSpent.Inc()
		return false
	}
	q.sends++
	return true
}

func (q *request) dispatch(in string) instances.Dispatch {
	return instances.Dispatch{InstanceID: in, Organisation: q.owner, Remaining: q.left(), Rank: q.rank}
}

// header returns the caller's header as an upstream gets it.
func (g *Gateway) header(q *request, d instances.Dispatch) http.Header {
	h := q.call.Header.Clone()
	g.opts.Dialect.WriteDispatch(h, d)
	return h
}

// refuse answers a request that no upstream has answered. Only an error whose
// outcome is proved promises that the request has not run.
func refuse(w http.ResponseWriter, q *request, err error) {
	e := fault.As(err)
	q.note = e.Error()
	if e.Kind == fault.Cancelled {
		panic(http.ErrAbortHandler)
	}
	status := statusOf(e)
	if e.RetryAfter > 0 && status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 2, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, e.Message+"\n")
}

func statusOf(e *fault.Error) int {
	if e.Outcome != fault.NotRun {
		if e.Kind == fault.Deadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch e.Kind {
	case fault.Invalid:
		switch e.Field {
		case "body":
			return http.StatusRequestEntityTooLarge
		case "header":
			return http.StatusRequestHeaderFieldsTooLarge
		}
		return http.StatusBadRequest
	case fault.Unauthenticated:
		return http.StatusUnauthorized
	case fault.NotFound:
		return http.StatusNotFound
	default:
		return http.StatusServiceUnavailable
	}
}

// statusRecorder remembers what was answered.
type statusRecorder struct {
	http.ResponseWriter
	status int
	first  time.Time // first byte of the body
}

func (s *statusRecorder) WriteHeader(status int) {
	if s.status == 0 {
		s.status = status
	}
	s.ResponseWriter.WriteHeader(status)
}

func (s *statusRecorder) Write(b []byte) (int, error) {
	if s.first.IsZero() {
		s.first = time.Now()
	}
	return s.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController flush.
func (s *statusRecorder) Unwrap() http.ResponseWriter { return s.ResponseWriter }

// record writes the line and the metrics of a finished request.
func (g *Gateway) record(q *request, w *statusRecorder) {
	took := time.Since(q.arrived)
	g.metrics.answered(w.status, took)
	fields := []logs.Field{
		logs.Str("request", q.caller.RequestID), logs.Int("status", w.status),
		logs.Dur("took", took), logs.Int("attempts", q.attempts), logs.Str("upstream", q.upstream),
	}
	if !w.first.IsZero() {
		fields = append(fields, logs.Dur("first", w.first.Sub(q.arrived)))
		g.metrics.firstByte.Update(w.first.Sub(q.arrived).Seconds())
	}
	if !q.lastEvent.IsZero() {
		fields = append(fields, logs.Dur("longest_gap", q.longestGap), logs.Int("repaths", int(q.repaths.Load())), logs.Int("engines", q.engines))
	}
	if q.route != nil {
		fields = append(fields, logs.Str("route", q.route.Name), logs.Str("organisation", q.owner), logs.Int("rank", q.rank))
	}
	if q.view.conf != nil {
		fields = append(fields, logs.Uint("version", q.view.conf.Version), logs.Dur("view_age", q.view.age()), logs.Uint("term", q.view.term))
	}
	if q.note != "" {
		fields = append(fields, logs.Str("reason", q.note))
	}
	g.log.Info("Request ended.", fields...)
}
