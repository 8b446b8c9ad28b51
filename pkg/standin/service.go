package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

const maxCallBodyBytes = 1 << 20

// ServiceOptions configure a stand-in service.
type ServiceOptions struct {
	Name     string
	Services []string
	Slots    uint32
	Latency  time.Duration
	Report   ReportOptions
}

// Service is a stand-in for a service, an upstream without a model. It records its
// executions.
type Service struct {
	opts     ServiceOptions
	injector *faultInjector
	records  *recorder
}

// ServiceReply is the body of every response of a Service.
type ServiceReply struct {
	RequestID    string `json:"request_id"`
	Key          string `json:"key,omitempty"`
	Organisation string `json:"organisation"`
	Method       string `json:"method"`
	Path         string `json:"path"`
	Body         string `json:"body"`
	Execution    int    `json:"execution"` // number of executions of the key so far
}

// NewService returns a service. It is reachable once ServeService, or another
// server with Handler, serves it.
func NewService(opts ServiceOptions) *Service {
	return &Service{opts: opts, injector: newFaultInjector(), records: newRecorder(false)}
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) { s.injector.set(f) }

// Crash stops the service and its server abruptly, as a crash of the process does.
func (s *Service) Crash() { s.injector.crash() }

// Records returns what the service has executed.
func (s *Service) Records() Records { return s.records.snapshot() }

// Handler returns a handler for calls with any method and path, except POST /fault
// and GET /records, which tests use.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", s.injector.serveFault)
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Records()) })
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	if s.injector.waitWhileFrozen(r.Context()) != nil {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBodyBytes))
	if err != nil {
		upstreams.WriteError(w, fault.Wrap(err, fault.Invalid, "read body").WithField("body"))
		return
	}
	reply := ServiceReply{
		RequestID:    r.Header.Get(upstreams.HeaderRequestID),
		Key:          r.Header.Get(upstreams.HeaderIdempotencyKey),
		Organisation: r.Header.Get(upstreams.HeaderOrganisation),
		Method:       r.Method,
		Path:         r.URL.RequestURI(),
		Body:         string(body),
	}
	if faults := s.injector.get(); faults.Answer == AnswerShed {
		w.Header().Set(upstreams.HeaderRequestID, reply.RequestID)
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(faults.AnswerDelayMs)/1000, 'f', 3, 64))
		upstreams.WriteError(w, fault.New(fault.Unavailable, "the service asks for time"))
		return
	}
	reply.Execution = s.records.recordCall(reply.Key, reply.RequestID)
	s.injector.sleep(r.Context(), s.opts.Latency)
	s.answer(w, r, reply)
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, reply ServiceReply) {
	faults := s.injector.get()
	id := reply.RequestID
	switch faults.Answer {
	case AnswerLate:
		s.injector.sleep(r.Context(), time.Duration(faults.AnswerDelayMs)*time.Millisecond)
	case AnswerOtherID:
		id = "other-" + id
	case AnswerDrop:
		panic(http.ErrAbortHandler)
	case AnswerLeaving:
		w.Header().Set(upstreams.HeaderLeaving, "1")
	case AnswerTwice:
		writeTwice(w, id, reply)
		return
	}
	w.Header().Set(upstreams.HeaderRequestID, id)
	writeJSON(w, reply)
}

// writeTwice sends the response twice on the connection, so that the second one
// looks like the response to the next request.
func writeTwice(w http.ResponseWriter, id string, reply ServiceReply) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	body, _ := json.Marshal(reply)
	answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		upstreams.HeaderRequestID, id, len(body), body)
	_, _ = conn.Write(bytes.Repeat(answer, 2))
	_ = conn.Close()
}
