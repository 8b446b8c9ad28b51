package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/quarantine"
	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/instances"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/requestbody"
)

// request is the state of one request of a caller.
type request struct {
	metadata instances.RequestMetadata
	route    *routing.Route
	service  *routing.Service
	owner    string // name of the organisation, empty on public routes
	rank     int
	arrived  time.Time
	deadline time.Time // earlier of the caller's and the route's time limit
	call     instances.Call
	body     *requestbody.Body // that of call, nil once no retry can need it
	// bodyReleased is set once the request can't be sent again.
	bodyReleased bool
	view         *view // at admission
	// promptParts are the shared parts of the prompt.
	promptParts quarantine.Parts
	// attempts is compared with Route.MaxAttempts. It counts the sends without those that
	// failed with the outcome NotRun and without refused streams.
	attempts int
	sends    int // sends, including retries
	// mayHaveRun is set once an attempt has failed after which the request may have run. No
	// later refusal can take that back.
	mayHaveRun bool
	// waited is the time from the arrival to the first send.
	waited    time.Duration
	upstream  string
	endReason string // why the request ended, empty on success
	// lastEventAt and longestGap measure the gaps between the events of a stream.
	lastEventAt time.Time
	longestGap  time.Duration
	repaths     atomic.Int32
	engineCount int // in the last path
}

// recordEvent records the time of an event of a stream.
func (q *request) recordEvent(now time.Time) {
	if !q.lastEventAt.IsZero() {
		q.longestGap = max(q.longestGap, now.Sub(q.lastEventAt))
	}
	q.lastEventAt = now
}

// defaultMaxWait applies to a caller that does not state how long it waits.
const defaultMaxWait = 30 * time.Second

// serve admits a request, reads its body and sends it to an upstream or along a path of
// engines.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	q := &request{arrived: time.Now()}
	g.awaitView(r.Context(), q)
	recorder := &statusRecorder{ResponseWriter: w, closesConns: g.lifecycle.DrainStarted()}
	defer g.record(q, recorder)
	if err := g.admit(q, r); err != nil {
		requestbody.LimitUnread(recorder, r)
		writeError(recorder, q, err)
		return
	}
	if err := g.readBody(q, recorder, r); err != nil {
		recorder.Header().Set("Connection", "close")
		writeError(recorder, q, err)
		if !requestbody.EndRefused(recorder, r, err) {
			panic(http.ErrAbortHandler) // closes the connection at once
		}
		return
	}
	defer q.releaseBody()
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	q.call = instances.Call{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: q.body.Chunks(),
		RequestID: q.metadata.RequestID, NonRepeatable: !q.route.MayRepeat(),
	}
	if q.route.Kind == routing.Stream && q.service.Model != nil {
		g.serveStream(ctx, recorder, q)
		return
	}
	g.servePlain(ctx, recorder, q)
}

const (
	// startupPeriod is the time after the start in which the process may lack the
	// configuration or some upstreams.
	startupPeriod = 4 * time.Second
	// maxStartupWait bounds the wait of a request during startupPeriod. After a loss of
	// all processes, the first announcements arrive within it.
	maxStartupWait = 1500 * time.Millisecond
	viewRetryDelay = 20 * time.Millisecond
)

// startupWait returns how long a request may wait for a configuration or an upstream
// that this process does not know yet. It is zero once startupPeriod is over.
func (g *Gateway) startupWait() time.Duration {
	if time.Since(g.startedAt) > startupPeriod {
		return 0
	}
	return maxStartupWait
}

// awaitView sets the view of a request, and waits for a configuration while the process
// starts.
func (g *Gateway) awaitView(ctx context.Context, q *request) {
	for q.view = g.view.Load(); q.view.conf == nil; q.view = g.view.Load() {
		if time.Since(q.arrived) > g.startupWait() || !delay.Wait(ctx, viewRetryDelay) {
			return
		}
	}
}

// admit finds the route and the service of a request, authenticates it and sets its
// deadline.
func (g *Gateway) admit(q *request, r *http.Request) error {
	metadata, err := g.opts.Dialect.ReadRequestMetadata(r.Header)
	q.metadata = metadata
	if err != nil {
		return err
	}
	conf := q.view.conf
	if conf == nil {
		return notRunError(fault.StaleConfig, "no configuration is known yet").WithRetryAfter(time.Second)
	}
	if limit := conf.Limits.HeaderBytes; limit > 0 && headerSize(r) > limit {
		return notRunError(fault.Invalid, "header exceeds the limit of %d bytes", limit).WithField("header")
	}
	if q.route = conf.Match(g.opts.Dialect.RouteHost(r.Host), r.URL.Path); q.route == nil {
		return notRunError(fault.NotFound, "no route matches this host and path")
	}
	if err := q.authenticate(conf); err != nil {
		return err
	}
	q.service = conf.Services[q.route.PickService(rand.Float64())]
	maxWait := metadata.MaxWait
	if maxWait <= 0 {
		maxWait = defaultMaxWait
	}
	q.deadline = q.arrived.Add(min(maxWait, q.route.Timeout))
	if q.service.Model != nil {
		q.promptParts = quarantine.NewParts(metadata.SharedPromptParts)
	}
	if err := g.checkStop(q); err != nil {
		return err
	}
	return g.checkQuarantine(q)
}

// headerSize returns the approximate size of a request's header in bytes.
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
	owner := conf.OrganisationForKey(q.metadata.APIKey)
	if q.metadata.APIKey == "" || owner == nil {
		return notRunError(fault.Unauthenticated, "API key is not known")
	}
	q.owner = owner.Name
	if owner.HasRank {
		q.rank = owner.Rank
	}
	return nil
}

func notRunError(kind fault.Kind, format string, args ...any) *fault.Error {
	return fault.New(kind, format, args...).WithOutcome(fault.NotRun)
}

// readBody reads the whole body, so that a repeatable request can be sent again.
func (g *Gateway) readBody(q *request, w http.ResponseWriter, r *http.Request) (err error) {
	limit := q.view.conf.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	q.body, err = g.bodies.Read(w, r, limit, q.deadline)
	return err
}

// releaseBody frees the body of the request, which can't be sent again afterwards.
func (q *request) releaseBody() {
	q.call.Body = nil
	q.body.Release()
	q.body = nil
	q.bodyReleased = true
}

// releaseUnneededBody frees the body once an upstream has replied to the request and no retry
// is allowed after that.
func (q *request) releaseUnneededBody() {
	if !q.route.MayRepeat() || q.attempts >= max(1, q.route.MaxAttempts) {
		q.releaseBody()
	}
}

const defaultBodyLimit = 4 << 20

// timeLeft returns the time until the deadline of the request.
func (q *request) timeLeft() time.Duration { return time.Until(q.deadline) }

// acquireSend counts a send of the request. It returns false if the send would be a
// retry and the retry budget is spent.
func (g *Gateway) acquireSend(q *request) bool {
	if q.sends == 0 {
		q.waited = time.Since(q.arrived)
		g.retryBudgets.request(q.service.Name)
	} else if !g.retryBudgets.retry(q.service.Name) {
		g.metrics.budgetSpent.Inc()
		return false
	}
	q.sends++
	return true
}

func (q *request) dispatch(in string) instances.Dispatch {
	return instances.Dispatch{InstanceID: in, Organisation: q.owner, Remaining: q.timeLeft(), Rank: q.rank}
}

// header returns the caller's header as it is sent to an upstream.
func (g *Gateway) header(q *request, d instances.Dispatch) http.Header {
	h := q.call.Header.Clone()
	g.opts.Dialect.WriteDispatch(h, d)
	return h
}

// writeError responds to a request to which no upstream has responded. Only an error
// with the outcome NotRun gets a status which promises that the request has not run.
func writeError(w http.ResponseWriter, q *request, err error) {
	e := fault.As(err)
	q.endReason = e.Error()
	if e.Kind == fault.Cancelled {
		panic(http.ErrAbortHandler)
	}
	status := statusOf(e)
	if e.RetryAfter > 0 && status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 2, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(e.Message)+1)) // the connection may be closed right after it
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

// statusRecorder records the status of a response and the time of its first body byte. It asks
// callers to close their connections while the process drains.
type statusRecorder struct {
	http.ResponseWriter
	closesConns <-chan struct{} // closed once the process drains
	status      int
	firstByteAt time.Time
}

func (s *statusRecorder) WriteHeader(status int) {
	if s.status == 0 {
		s.status = status
	}
	select {
	case <-s.closesConns:
		s.Header().Set("Connection", "close") // after the header of an upstream's reply was copied
	default:
	}
	s.ResponseWriter.WriteHeader(status)
}

func (s *statusRecorder) Write(b []byte) (int, error) {
	if s.firstByteAt.IsZero() {
		s.firstByteAt = time.Now()
	}
	return s.ResponseWriter.Write(b)
}

// Unwrap returns the underlying writer, so that http.ResponseController can flush it.
func (s *statusRecorder) Unwrap() http.ResponseWriter { return s.ResponseWriter }

// record logs a finished request and updates the metrics.
func (g *Gateway) record(q *request, w *statusRecorder) {
	took := time.Since(q.arrived)
	g.metrics.recordResponse(w.status, took)
	fields := []logs.Field{
		logs.Str("request", q.metadata.RequestID), logs.Int("status", w.status),
		logs.Dur("took", took), logs.Int("attempts", q.attempts), logs.Str("upstream", q.upstream), logs.Dur("waited", q.waited),
	}
	if !w.firstByteAt.IsZero() {
		fields = append(fields, logs.Dur("first", w.firstByteAt.Sub(q.arrived)))
		g.metrics.firstByte.Update(w.firstByteAt.Sub(q.arrived).Seconds())
	}
	if !q.lastEventAt.IsZero() {
		fields = append(fields, logs.Dur("longest_gap", q.longestGap), logs.Int("repaths", int(q.repaths.Load())), logs.Int("engines", q.engineCount))
	}
	if q.route != nil {
		fields = append(fields, logs.Str("route", q.route.Name), logs.Str("organisation", q.owner), logs.Int("rank", q.rank))
	}
	if q.view.conf != nil {
		fields = append(fields, logs.Uint("version", q.view.conf.Version), logs.Dur("view_age", q.view.age()), logs.Uint("term", q.view.term))
	}
	if q.endReason != "" {
		fields = append(fields, logs.Str("reason", q.endReason))
	}
	g.log.Info("Request ended.", fields...)
}
