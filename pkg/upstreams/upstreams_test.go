package upstreams_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/standin"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

func listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return ln
}

func newClient(t testing.TB, opts upstreams.Options) *upstreams.Client {
	t.Helper()
	c := upstreams.NewClient(opts)
	t.Cleanup(c.Close)
	return c
}

// Guards against accepting a response to another request, both on a reused
// connection that carries an extra response and on new connections, and against
// a second execution when the HTTP client resends the request.
func TestCallService_AnswerOfAnotherRequest(t *testing.T) {
	for _, key := range []string{"", "k"} {
		service := standin.NewService(standin.ServiceOptions{Services: []string{"s"}, Slots: 1})
		server := standin.ServeService(service, listen(t))
		t.Cleanup(server.Close)
		c := newClient(t, upstreams.Options{})
		send := func(id string) (*upstreams.ServiceResponse, error) {
			return c.CallService(context.Background(), server.Address(), &upstreams.ServiceCall{
				RequestID: id, Key: key, Organisation: "o", Method: "POST", Target: "/p?q=1", Body: []byte("b"),
			})
		}
		for _, mode := range []string{standin.AnswerTwice, standin.AnswerOtherID, standin.AnswerDrop, ""} {
			service.SetFaults(standin.Faults{Answer: mode})
			for i := range 20 {
				id := mode + string(rune('a'+i))
				answer, err := send(id)
				if err != nil {
					assert.Equal(t, fault.As(err).Outcome, fault.MayHaveRun, "%v", err)
					continue
				}
				assert.Assert(t, mode == standin.AnswerTwice || mode == "")
				assert.Assert(t, strings.Contains(string(answer.Body), `"request_id":"`+id+`"`), "%s", answer.Body)
				assert.Assert(t, strings.Contains(string(answer.Body), `"path":"/p?q=1"`), "%s", answer.Body)
			}
		}
		if key != "" {
			assert.Equal(t, service.Records().Calls, 80) // one execution for each call
		}
	}
}

// Guards against a resend by net/http, which resends a request with an
// Idempotency-Key when a reused connection breaks.
func TestCallService_SendsKeyedCallOnce(t *testing.T) {
	var calls atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := calls.Add(1)
		_, _ = io.ReadAll(r.Body)
		if n == 2 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(upstreams.HeaderRequestID, r.Header.Get(upstreams.HeaderRequestID))
	}))
	defer srv.Close()
	c := newClient(t, upstreams.Options{})
	for i, body := range []string{"", ""} {
		_, err := c.CallService(context.Background(), srv.Listener.Addr().String(), &upstreams.ServiceCall{
			RequestID: "r", Key: "k", Method: "POST", Target: "/", Body: []byte(body),
		})
		assert.Equal(t, err != nil, i == 1)
	}
	assert.Equal(t, calls.Load(), int32(2))
}

// Guards against unbounded reads and waits and against a followed redirect: a
// large response, an endless line, an engine that sends nothing, a redirect, and
// an address without a listener.
func TestClient_LimitsReadsAndWaits(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("/big", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(upstreams.HeaderRequestID, r.Header.Get(upstreams.HeaderRequestID))
		_, _ = w.Write(make([]byte, 2000))
	})
	mux.HandleFunc("/redirect", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(upstreams.HeaderRequestID, r.Header.Get(upstreams.HeaderRequestID))
		http.Redirect(w, r, "/big", http.StatusTemporaryRedirect)
	})
	mux.HandleFunc("POST /v1/generate", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if strings.Contains(string(body), "long") {
			_, _ = w.Write(make([]byte, 10000))
			return
		}
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	srv := &http.Server{Handler: mux, Protocols: p}
	ln := listen(t)
	go func() { _ = srv.Serve(ln) }()
	defer srv.Close()
	address := ln.Addr().String()
	c := newClient(t, upstreams.Options{MaxLineBytes: 5000, MaxResponseBytes: 1000})
	_, err := c.CallService(context.Background(), address, &upstreams.ServiceCall{RequestID: "r", Method: "GET", Target: "/big"})
	assert.ErrorContains(t, err, "over the limit of 1000 bytes (body)")
	answer, err := c.CallService(context.Background(), address, &upstreams.ServiceCall{RequestID: "r", Method: "GET", Target: "/redirect"})
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, http.StatusTemporaryRedirect)
	generate := func(session string) error {
		_, err := c.Generate(context.Background(), address, &upstreams.GenerateRequest{Session: session}, 50*time.Millisecond, nil)
		return err
	}
	assert.ErrorContains(t, generate("long"), "over the limit of 5000 bytes")
	assert.ErrorContains(t, generate("silent"), "silent")
	_ = srv.Close()
	_, err = c.CallService(context.Background(), address, &upstreams.ServiceCall{RequestID: "r", Method: "GET", Target: "/big"})
	assert.Equal(t, fault.As(err).Outcome, fault.NotRun, "%v", err)
	assert.Assert(t, upstreams.IsConnectionRefused(err))
}

// Guards against an agent that runs out of memory because its service sends answers without end
// on many connections: each is bounded, but all of them together were not.
func TestCallService_EndlessAnswersStayWithinMemory(t *testing.T) {
	const (
		calls = 200
		// agentMemory is what an agent may use.
		agentMemory = 64 << 20
	)
	part := make([]byte, 32<<10)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(upstreams.HeaderRequestID, r.Header.Get(upstreams.HeaderRequestID))
		for {
			if _, err := w.Write(part); err != nil {
				return
			}
			time.Sleep(time.Millisecond) // all answers grow beside each other
		}
	}))
	defer srv.Close()
	c := newClient(t, upstreams.Options{})
	runtime.GC()
	done := make(chan struct{})
	var peak atomic.Uint64
	go func() {
		var m runtime.MemStats
		for {
			runtime.ReadMemStats(&m)
			peak.Store(max(peak.Load(), m.HeapAlloc))
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			_, err := c.CallService(context.Background(), srv.Listener.Addr().String(), &upstreams.ServiceCall{RequestID: fmt.Sprint(i), Method: "GET", Target: "/"})
			if !fault.Is(err, fault.Upstream) || fault.As(err).Outcome != fault.MayHaveRun {
				t.Errorf("call %d: %v", i, err)
			}
		})
	}
	wg.Wait()
	close(done)
	t.Logf("the heap grew to %d MB", peak.Load()>>20)
	assert.Assert(t, peak.Load() < agentMemory)
}
