package callers

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// startExchange assigns a request ID, sets the read deadline of the body and
// reports the request when it has ended.
func (a *api) startExchange(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{
			w:            w,
			controller:   http.NewResponseController(w),
			id:           newRequestID(),
			started:      a.opts.Now(),
			operation:    "other",
			outcome:      fault.MayHaveRun,
			writeTimeout: a.opts.WriteTimeout,
			log:          a.opts.Log,
		}
		w.Header().Set(headerRequestID, x.id)
		if r.ContentLength != 0 {
			// The deadline also applies when the server drains a body that no
			// handler has read.
			_ = x.controller.SetReadDeadline(time.Now().Add(a.opts.ReadTimeout))
		}
		if a.opts.Draining() {
			w.Header().Set("Connection", "close")
		}
		defer a.finishExchange(x)
		defer x.endBody(r)
		next.ServeHTTP(w, withExchange(r, x))
	})
}

// newRequestID returns a globally unique ID. It is also the ID of the session that a
// generation has at the engines.
func newRequestID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

func (a *api) finishExchange(x *exchange) {
	a.opts.OnFinished(RequestRecord{
		Operation:    x.operation,
		Organisation: x.caller.Name(),
		Rank:         x.rank,
		Outcome:      x.outcome,
		Kind:         x.kind,
		Duration:     a.opts.Now().Sub(x.started),
	})
}

// recoverPanic sends an error if the handler panics. If the headers were already
// sent, it aborts the connection, so that the response does not appear complete.
func (a *api) recoverPanic(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := exchangeOf(r)
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause != http.ErrAbortHandler {
				a.opts.Log.Error("handler panicked", logs.Str("request", x.id), logs.Str("stack", string(debug.Stack())))
			}
			x.kind = fault.Internal
			if x.headersSent {
				x.outcome = fault.MayHaveRun
				panic(http.ErrAbortHandler)
			}
			x.sendError(fault.New(fault.Internal, "request failed").WithOutcome(fault.MayHaveRun))
		}()
		next.ServeHTTP(w, r)
	})
}

// track registers requests in progress and rejects new ones during a shutdown.
func (a *api) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		done, ok := a.opts.Track()
		if !ok {
			x := exchangeOf(r)
			w.Header().Set("Connection", "close")
			x.sendError(fault.New(fault.Draining, "entry is shutting down").WithOutcome(refusalOutcome(r)))
			return
		}
		defer done()
		next.ServeHTTP(w, r)
	})
}

// refusalOutcome returns the outcome for a request that is rejected before the
// caller is known. A request with an idempotency key may have run through another
// entry process.
func refusalOutcome(r *http.Request) fault.Outcome {
	if r.Header.Get(headerIdempotencyKey) != "" {
		return fault.MayHaveRun
	}
	return fault.NotRun
}

// authenticate identifies the caller by its API key.
func (a *api) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := exchangeOf(r)
		caller, err := a.caller(r)
		if err != nil {
			e := *fault.As(err)
			x.sendError(e.WithOutcome(refusalOutcome(r)))
			return
		}
		x.caller = caller
		x.rank = caller.Rank
		next.ServeHTTP(w, r)
	})
}

func (a *api) caller(r *http.Request) (Caller, error) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return Caller{}, fault.New(fault.Unauthenticated, "API key is missing").WithField("Authorization")
	}
	sum := sha256.Sum256([]byte(key))
	org, err := a.opts.Router.Authenticate(hex.EncodeToString(sum[:]))
	if err != nil {
		return Caller{}, err
	}
	return Caller{Organisation: org, Rank: highestRank(org.GetClass())}, nil
}

// highestRank returns the highest rank that a class allows. An unknown class
// allows only the lowest rank.
func highestRank(class string) wirepb.Rank {
	switch class {
	case "urgent":
		return wirepb.Rank_RANK_URGENT
	case "standard":
		return wirepb.Rank_RANK_STANDARD
	}
	return wirepb.Rank_RANK_BATCH
}
