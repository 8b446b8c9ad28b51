package upstreams

import (
	"encoding/json"
	"net/http"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Size limits of request bodies from an upstream.
const (
	maxAnnouncementBytes = 256 << 10
	maxLoadReportBytes   = 16 << 10
	maxCacheEventsBytes  = 1 << 20
)

// ReportHandler receives the validated reports of an upstream. Its methods must
// not block. An error from HandleAnnouncement is sent to the upstream.
type ReportHandler interface {
	HandleAnnouncement(a *Announcement) error
	HandleDeparture()
	HandleLoad(l *LoadReport)
	HandleCacheEvents(c *CacheEvents)
}

// NewReceiver returns the HTTP handler for announcements, load reports and cache
// events. It passes valid reports to reportHandler and responds to invalid ones
// with an ErrorBody.
func NewReceiver(reportHandler ReportHandler) http.Handler {
	r := &reportServer{reportHandler: reportHandler}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+PathUpstream, r.announce)
	mux.HandleFunc("DELETE "+PathUpstream, r.leave)
	mux.HandleFunc("POST "+PathLoad, r.load)
	mux.HandleFunc("POST "+PathCache, r.cache)
	return mux
}

type reportServer struct{ reportHandler ReportHandler }

func (r *reportServer) announce(w http.ResponseWriter, req *http.Request) {
	a := &Announcement{}
	if err := decodeBody(req.Body, maxAnnouncementBytes, a); err != nil {
		WriteError(w, err)
		return
	}
	reply(w, r.reportHandler.HandleAnnouncement(a))
}

func (r *reportServer) leave(w http.ResponseWriter, _ *http.Request) {
	r.reportHandler.HandleDeparture()
	reply(w, nil)
}

func (r *reportServer) load(w http.ResponseWriter, req *http.Request) {
	l := &LoadReport{}
	if err := decodeBody(req.Body, maxLoadReportBytes, l); err != nil {
		WriteError(w, err)
		return
	}
	r.reportHandler.HandleLoad(l)
	reply(w, nil)
}

func (r *reportServer) cache(w http.ResponseWriter, req *http.Request) {
	c := &CacheEvents{}
	if err := decodeBody(req.Body, maxCacheEventsBytes, c); err != nil {
		WriteError(w, err)
		return
	}
	r.reportHandler.HandleCacheEvents(c)
	reply(w, nil)
}

func reply(w http.ResponseWriter, err error) {
	if err != nil {
		WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// WriteError responds with the status and the ErrorBody for err.
func WriteError(w http.ResponseWriter, err error) {
	f := fault.As(err)
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(httpStatus(f.Kind))
	body := ErrorBody{Error: Error{Kind: string(f.Kind), Message: f.Error(), Field: f.Field, Position: f.Position}}
	_ = json.NewEncoder(w).Encode(body)
}

func httpStatus(kind fault.Kind) int {
	switch kind {
	case fault.Invalid, fault.Protocol:
		return http.StatusBadRequest
	case fault.NotFound:
		return http.StatusNotFound
	case fault.StaleEpoch, fault.OutOfOrder, fault.Conflict:
		return http.StatusConflict
	case fault.Overloaded:
		return http.StatusTooManyRequests
	case fault.Unavailable, fault.Draining:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}
