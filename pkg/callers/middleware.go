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

// begin gives the request an id and reports it when it has ended.
func (a *api) begin(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{
			w:            w,
			control:      http.NewResponseController(w),
			id:           newRequestID(),
			started:      a.opts.Now(),
			operation:    "other",
			outcome:      fault.MayHaveRun,
			writeTimeout: a.opts.WriteTimeout,
			log:          a.opts.Log,
		}
		w.Header().Set(headerRequestID, x.id)
		if r.ContentLength != 0 {
			// Also bounds the server's own reading of a body that no handler read.
			_ = x.control.SetReadDeadline(time.Now().Add(a.opts.ReadTimeout))
		}
		if a.opts.Draining() {
			w.Header().Set("Connection", "close")
		}
		defer a.finish(x)
		next.ServeHTTP(w, withExchange(r, x))
	})
}

// newRequestID returns an id that no other process produces. It also names the
// session of a generation.
func newRequestID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

func (a *api) finish(x *exchange) {
	a.opts.OnFinished(RequestRecord{
		Operation:    x.operation,
		Organisation: x.caller.Name(),
		Rank:         x.rank,
		Outcome:      x.outcome,
		Kind:         x.kind,
		Duration:     a.opts.Now().Sub(x.started),
	})
}

// recoverPanic answers a request whose handler panicked. After the headers
// were sent the connection is cut, so that the answer cannot look complete.
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
			x.fail(fault.New(fault.Internal, "request failed").WithOutcome(fault.MayHaveRun))
		}()
		next.ServeHTTP(w, r)
	})
}

// track counts requests in progress and refuses new ones during a shutdown.
func (a *api) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		done, ok := a.opts.Track()
		if !ok {
			x := exchangeOf(r)
			w.Header().Set("Connection", "close")
			x.fail(fault.New(fault.Draining, "entry is shutting down").WithOutcome(unkeyedOutcome(r)))
			return
		}
		defer done()
		next.ServeHTTP(w, r)
	})
}

// unkeyedOutcome is the outcome of a refusal before the caller is known. A
// request with a key may have run through another entry.
func unkeyedOutcome(r *http.Request) fault.Outcome {
	if r.Header.Get(headerKey) != "" {
		return fault.MayHaveRun
	}
	return fault.NotRun
}

// authenticate finds the caller by the API key.
func (a *api) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := exchangeOf(r)
		caller, err := a.caller(r)
		if err != nil {
			e := *fault.As(err)
			x.fail(e.WithOutcome(unkeyedOutcome(r)))
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
	return Caller{Organisation: org, Rank: rankOfClass(org.GetClass())}, nil
}

// rankOfClass returns the highest rank of a class. An entry without a known
// class gets the lowest rank.
func rankOfClass(class string) wirepb.Rank {
	switch class {
	case "urgent":
		return wirepb.Rank_RANK_URGENT
	case "standard":
		return wirepb.Rank_RANK_STANDARD
	}
	return wirepb.Rank_RANK_BATCH
}
