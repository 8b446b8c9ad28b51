package upstreams

import (
	"encoding/json"
	"net/http"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Bounds of the bodies that an upstream sends, in bytes.
const (
	maxAnnouncementBody = 256 << 10
	maxLoadBody         = 16 << 10
	maxCacheBody        = 1 << 20
)

// ReportHandler receives what the upstream reports. Its methods do not block.
type ReportHandler interface {
	HandleAnnouncement(a *Announcement) error
	HandleDeparture()
	HandleLoad(l *LoadReport)
	HandleCacheEvents(c *CacheEvents)
}

// NewReceiver returns the handler for the announcements, load reports and
// cache events of the upstream beside the agent.
func NewReceiver(events ReportHandler) http.Handler {
	r := &receiver{events: events}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+PathUpstream, r.announce)
	mux.HandleFunc("DELETE "+PathUpstream, r.leave)
	mux.HandleFunc("POST "+PathLoad, r.load)
	mux.HandleFunc("POST "+PathCache, r.cache)
	return mux
}

type receiver struct{ events ReportHandler }

func (r *receiver) announce(w http.ResponseWriter, req *http.Request) {
	a := &Announcement{}
	if err := decodeBody(req.Body, maxAnnouncementBody, a); err != nil {
		WriteError(w, err)
		return
	}
	reply(w, r.events.HandleAnnouncement(a))
}

func (r *receiver) leave(w http.ResponseWriter, _ *http.Request) {
	r.events.HandleDeparture()
	reply(w, nil)
}

func (r *receiver) load(w http.ResponseWriter, req *http.Request) {
	l := &LoadReport{}
	if err := decodeBody(req.Body, maxLoadBody, l); err != nil {
		WriteError(w, err)
		return
	}
	r.events.HandleLoad(l)
	reply(w, nil)
}

func (r *receiver) cache(w http.ResponseWriter, req *http.Request) {
	c := &CacheEvents{}
	if err := decodeBody(req.Body, maxCacheBody, c); err != nil {
		WriteError(w, err)
		return
	}
	r.events.HandleCacheEvents(c)
	reply(w, nil)
}

func reply(w http.ResponseWriter, err error) {
	if err != nil {
		WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// WriteError sends err as the error body of the protocol.
func WriteError(w http.ResponseWriter, err error) {
	f := fault.As(err)
	w.Header().Set("Content-Type", jsonType)
	w.WriteHeader(statusOf(f.Kind))
	body := ErrorBody{Error: Error{Kind: string(f.Kind), Message: f.Error(), Field: f.Field, Position: f.Position}}
	_ = json.NewEncoder(w).Encode(body)
}

func statusOf(kind fault.Kind) int {
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
