package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/defaults"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

// Default values of ReportOptions, and fixed times of the server and its reports.
const (
	DefaultAnnouncementInterval = time.Second
	DefaultLoadInterval         = 200 * time.Millisecond
	// reportTimeout limits one report, and reading the headers of a request.
	reportTimeout = time.Second
	// announceRetry is the interval at which the first announcement is retried,
	// since an engine may start before its agent listens.
	announceRetry = 100 * time.Millisecond
)

// ReportOptions configure the reports of a stand-in to its agent.
type ReportOptions struct {
	AgentAddress            string        // IP address and port of the agent's receiver; empty for no reports
	AnnouncementInterval    time.Duration // interval of announcements, which are also heartbeats
	LoadInterval            time.Duration
	LoadLag                 time.Duration // age of the load figures when they are sent
	CacheReportDelay        time.Duration // delay of reports of cache events
	DropEveryNthCacheReport int           // zero drops none
}

// Server serves a stand-in over HTTP and announces it to its agent.
type Server struct {
	ln     net.Listener
	http   *http.Server
	cancel context.CancelFunc
	done   chan struct{}
	wg     sync.WaitGroup
}

// ServeEngine starts a server that serves e on ln and announces it to its agent.
func ServeEngine(e *Engine, ln net.Listener) *Server {
	s := newServer(ln, e.Handler(), e.injector)
	a := &upstreams.Announcement{
		Name: e.opts.Name, Kind: upstreams.KindEngine, Address: ln.Addr().String(), Models: e.opts.Models,
		Accelerator: e.opts.Accelerator, Slots: e.opts.Slots, KVTokens: e.opts.KVTokens, ChecksFencing: e.opts.ChecksFencing,
	}
	load := func() *upstreams.LoadReport {
		running, queued := e.slots.usage()
		used := uint64(running) * upstreams.PrefixBlockTokens
		return &upstreams.LoadReport{Running: uint32(running), Queued: uint32(queued), FreeKVTokens: e.opts.KVTokens - min(used, e.opts.KVTokens)}
	}
	s.report(e.opts.Report, a, e.injector, load, e.cache)
	return s
}

// ServeService starts a server that serves service on ln and announces it to its agent.
func ServeService(service *Service, ln net.Listener) *Server {
	s := newServer(ln, service.Handler(), service.injector)
	a := &upstreams.Announcement{
		Name: service.opts.Name, Kind: upstreams.KindService, Address: ln.Addr().String(),
		Services: service.opts.Services, Slots: service.opts.Slots,
	}
	s.report(service.opts.Report, a, service.injector, func() *upstreams.LoadReport { return &upstreams.LoadReport{} }, nil)
	return s
}

func newServer(ln net.Listener, handler http.Handler, injector *faultInjector) *Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		ln:     ln,
		http:   &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: reportTimeout, IdleTimeout: idleTimeout},
		cancel: cancel,
		done:   make(chan struct{}),
	}
	s.wg.Add(2)
	go func() {
		defer s.wg.Done()
		_ = s.http.Serve(ln)
	}()
	go func() {
		defer s.wg.Done()
		select {
		case <-injector.crashed:
		case <-ctx.Done():
		}
		_ = s.http.Close()
		close(s.done)
	}()
	return s
}

// Address returns the address that the stand-in listens on.
func (s *Server) Address() string { return s.ln.Addr().String() }

// Done returns a channel that is closed when the server has ended.
func (s *Server) Done() <-chan struct{} { return s.done }

// Close stops the server without withdrawing its announcement.
func (s *Server) Close() {
	s.cancel()
	s.wg.Wait()
}

// report starts the reports to the agent, if there is one.
func (s *Server) report(opts ReportOptions, a *upstreams.Announcement, injector *faultInjector, load func() *upstreams.LoadReport, cache *prefixCache) {
	if opts.AgentAddress == "" {
		return
	}
	defaults.Set(&opts.AnnouncementInterval, DefaultAnnouncementInterval)
	defaults.Set(&opts.LoadInterval, DefaultLoadInterval)
	a.RunID = uint64(time.Now().UnixNano())
	r := &reporter{opts: opts, announcement: a, injector: injector, load: load, cache: cache}
	ctx, cancel := context.WithCancel(context.Background())
	stop := s.cancel
	s.cancel = func() { cancel(); stop() }
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		r.run(ctx)
	}()
}

// reporter sends announcements, load reports and cache events.
type reporter struct {
	opts         ReportOptions
	announcement *upstreams.Announcement
	injector     *faultInjector
	load         func() *upstreams.LoadReport
	cache        *prefixCache

	delayedLoads []*upstreams.LoadReport
	sequence     uint64
	reports      int
}

func (r *reporter) run(ctx context.Context) {
	heartbeat := time.NewTicker(r.opts.AnnouncementInterval)
	defer heartbeat.Stop()
	loads := time.NewTicker(r.opts.LoadInterval)
	defer loads.Stop()
	announced := r.announce(ctx)
	retry := time.NewTicker(announceRetry)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.injector.crashed:
			return
		case <-retry.C:
			if announced = announced || r.announce(ctx); announced {
				retry.Stop()
			}
		case <-heartbeat.C:
			announced = r.announce(ctx) || announced
		case <-loads.C:
			r.sendLoad(ctx)
			r.sendCache(ctx)
		}
	}
}

// announce sends the announcement and reports whether the agent accepted it.
func (r *reporter) announce(ctx context.Context) bool {
	return r.send(ctx, http.MethodPut, upstreams.PathUpstream, r.announcement)
}

// sendLoad records the current load and sends the load recorded LoadLag ago.
func (r *reporter) sendLoad(ctx context.Context) {
	r.delayedLoads = append(r.delayedLoads, r.load())
	delayIntervals := int(r.opts.LoadLag / r.opts.LoadInterval)
	if len(r.delayedLoads) <= delayIntervals {
		return
	}
	l := r.delayedLoads[0]
	r.delayedLoads = r.delayedLoads[1:]
	l.AgeMs = uint32(r.opts.LoadLag / time.Millisecond)
	r.send(ctx, http.MethodPost, upstreams.PathLoad, l)
}

func (r *reporter) sendCache(ctx context.Context) {
	if r.cache == nil {
		return
	}
	events := r.cache.takeEvents()
	if len(events) == 0 {
		return
	}
	body := &upstreams.CacheEvents{Sequence: r.sequence, Events: events}
	r.sequence += uint64(len(events))
	r.reports++
	if r.opts.DropEveryNthCacheReport > 0 && r.reports%r.opts.DropEveryNthCacheReport == 0 {
		return
	}
	r.injector.sleep(ctx, r.opts.CacheReportDelay)
	r.send(ctx, http.MethodPost, upstreams.PathCache, body)
}

// send sends body as JSON and reports whether the agent accepted it.
func (r *reporter) send(ctx context.Context, method, path string, body any) bool {
	if r.injector.waitWhileFrozen(ctx) != nil {
		return false
	}
	data, err := json.Marshal(body)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.opts.AgentAddress+path, bytes.NewReader(data))
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode < http.StatusMultipleChoices
}

// WithdrawAnnouncement withdraws the announcement of an upstream at its agent.
func WithdrawAnnouncement(ctx context.Context, agent string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+agent+upstreams.PathUpstream, nil)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "build request").WithField("agent")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "withdraw announcement")
	}
	return resp.Body.Close()
}
