package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a plain server of the platform.
type server struct {
	id, service, zone, address string
	work                       time.Duration
	slots, queue               int
	control                    func() []string
	record                     *record
	beat                       time.Duration

	born     int64
	http     *http.Server
	listener net.Listener
	running  chan struct{} // one element for each request at work
	client   *http.Client
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu       sync.Mutex
	sequence int
	waiting  int
	state    string
	arrivals []arrival
}

// arrival is a request that reached the server.
type arrival struct {
	id  string
	at  time.Time
	ran bool
}

// start listens and begins to announce itself.
func (s *server) start(ip string) error {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	s.listener, s.address, s.born, s.state = ln, ln.Addr().String(), time.Now().UnixMilli(), "ready"
	s.running = make(chan struct{}, s.slots)
	s.client = &http.Client{Transport: &http.Transport{}}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(ln) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Add(1)
	go s.announce(ctx)
	return nil
}

func (s *server) announce(ctx context.Context) {
	defer s.done.Done()
	for {
		s.beatOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.beat):
		}
	}
}

// beatOnce sends one heartbeat, to further nodes until one acknowledges it. It returns the
// node that did.
func (s *server) beatOnce(ctx context.Context) string {
	s.mu.Lock()
	s.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state,
		"coldRemainingMs": 0, "sequence": s.sequence, "born": s.born,
	})
	s.mu.Unlock()
	return s.tell(ctx, http.MethodPut, body)
}

// tell sends a heartbeat or the notice that the server is gone.
func (s *server) tell(ctx context.Context, method string, body []byte) string {
	control := s.control()
	for _, i := range rand.Perm(len(control)) {
		call, cancel := context.WithTimeout(ctx, time.Second)
		req, err := http.NewRequestWithContext(call, method, "http://"+control[i]+"/instances/"+s.id, bytes.NewReader(body))
		if err != nil {
			cancel()
			return ""
		}
		resp, err := s.client.Do(req)
		ok := err == nil && resp.StatusCode/100 == 2
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		cancel()
		if ok {
			return control[i]
		}
		if ctx.Err() != nil {
			return ""
		}
	}
	return ""
}

// stopBeats ends the heartbeats.
func (s *server) stopBeats() {
	s.cancel()
	s.done.Wait()
}

// stop ends the server.
func (s *server) stop() {
	s.cancel()
	_ = s.http.Close()
	s.done.Wait()
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // an incomplete request does not run
	}
	h := w.Header()
	h.Set("Request-Id", id)
	if r.URL.Path == "/healthz" {
		h.Set("Instance-Id", s.id)
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.enter(id) {
		s.record.line("server %s: %s rejected, full", s.id, id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running <- struct{}{}
	defer func() { <-s.running }()
	s.mu.Lock()
	s.waiting--
	for i := range s.arrivals {
		if s.arrivals[i].id == id {
			s.arrivals[i].ran = true
		}
	}
	s.mu.Unlock()
	s.record.line("server %s: runs %s (%s %s, %d bytes, tenant %s)", s.id, id, r.Method, r.URL.Path, len(body), r.Header.Get("Tenant"))
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.record.line("server %s: %s dropped, its connection closed", s.id, id)
		return
	}
	h.Set("Server-Signature", "by "+s.id+" for "+id)
	_, _ = io.WriteString(w, "done "+id+strings.Repeat(".", 700))
	s.record.line("server %s: answered %s", s.id, id)
}

// enter takes a place in the queue. It returns false if the server is full.
func (s *server) enter(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= s.queue {
		return false
	}
	s.waiting++
	s.arrivals = append(s.arrivals, arrival{id: id, at: time.Now()})
	return true
}

// arrived returns the requests that reached the server.
func (s *server) arrived() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

func newServer(r *record, id, service, zone string, work time.Duration, slots, queue int, control func() []string) *server {
	return &server{id: id, service: service, zone: zone, work: work, slots: slots, queue: queue, control: control, record: r, beat: 1200 * time.Millisecond}
}

func (s *server) String() string { return fmt.Sprintf("%s at %s", s.id, s.address) }
