package operators

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/justinas/alice"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
)

type contextKey int

const (
	operatorKey contextKey = iota
	bodyKey
)

// request is an authenticated HTTP request with its body read.
type request struct {
	*http.Request
	operator string
	body     []byte
}

// endpoint handles one request and returns the value to encode as the response
// body.
type endpoint func(r *request) (any, error)

// serveEndpoint calls the endpoint and writes its result or error.
func (a *api) serveEndpoint(h endpoint) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operator, _ := r.Context().Value(operatorKey).(string)
		body, _ := r.Context().Value(bodyKey).([]byte)
		reply, err := h(&request{Request: r, operator: operator, body: body})
		if relayed, ok := reply.(*forwardedReply); ok && err == nil {
			relayed.write(w)
			return
		}
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, reply)
	})
}

// withTimeout limits the time to handle a request, and the time to write the
// response to writeGrace more.
func withTimeout(limit time.Duration) alice.Constructor {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), limit)
			defer cancel()
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(limit + writeGrace))
			next.ServeHTTP(w, r.WithContext(ctx))
		})
	}
}

// withBody reads a body of up to limit bytes before the endpoint runs.
func withBody(limit int64) alice.Constructor {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
			if err != nil {
				writeError(w, fault.Wrap(err, fault.Invalid, "read body").WithField("body").WithOutcome(fault.NotRun))
				return
			}
			if int64(len(body)) > limit {
				writeError(w, fault.New(fault.Invalid, "body is over %d bytes", limit).WithField("body").WithOutcome(fault.NotRun))
				return
			}
			// The read deadline covers only the body. If it expired later, the
			// server would cancel a request that still waits for its result.
			_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
			ctx := context.WithValue(r.Context(), bodyKey, body)
			next.ServeHTTP(w, r.WithContext(ctx))
		})
	}
}

func (a *api) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if p := recover(); p != nil {
				err := fault.New(fault.Internal, "request handler panicked: %v", p)
				a.log.Error("recovered from panic in request handler", logs.Str("path", r.URL.Path), logs.Err(err))
				writeError(w, fault.New(fault.Internal, "request handler failed"))
			}
		}()
		next.ServeHTTP(w, r)
	})
}

func noStore(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cache-Control", "no-store")
		next.ServeHTTP(w, r)
	})
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, fault.New(fault.NotFound, "no %s %s", r.Method, r.URL.Path).WithOutcome(fault.NotRun))
}
