package operators

import (
	"bytes"
	"io"
	"net/http"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// forwardedHeader marks a request that a follower passed on, so that replicas
// with different views of the leader do not pass it on in circles.
const forwardedHeader = "Plantainstair-Forwarded"

// maxReply bounds an answer read from another replica. The whole catalogue
// with 20,000 entries fits.
const maxReply = 64 << 20

// relayedReply is the leader's answer as received.
type relayedReply struct {
	status int
	header http.Header
	body   []byte
}

func (r *relayedReply) write(w http.ResponseWriter) {
	for _, name := range []string{"Content-Type", "Retry-After"} {
		if v := r.header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body)
}

// atLeader passes the request on when this replica is not the leader.
func (a *api) atLeader(h endpoint) endpoint {
	return func(r *request) (any, error) {
		reply, err := h(r)
		if !fault.Is(err, fault.NotLeader) || r.Header.Get(forwardedHeader) != "" {
			return reply, err
		}
		leader := fault.As(err).Leader
		if leader == "" {
			return nil, fault.Wrap(err, fault.Unavailable, "no leader is known").WithOutcome(fault.NotRun)
		}
		return a.relay(r, leader)
	}
}

func (a *api) relay(r *request, leader string) (any, error) {
	url := "http://" + leader + r.URL.RequestURI()
	out, err := http.NewRequestWithContext(r.Context(), r.Method, url, bytes.NewReader(r.body))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "build request to the leader").WithOutcome(fault.NotRun)
	}
	out.Header.Set("Authorization", r.Header.Get("Authorization"))
	out.Header.Set("Content-Type", "application/json")
	out.Header.Set(forwardedHeader, "1")
	res, err := a.leader.Do(out)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unknown, "leader at %s did not answer", leader).WithOutcome(fault.MayHaveRun)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReply))
	if err != nil {
		return nil, fault.Wrap(err, fault.Unknown, "read answer of the leader").WithOutcome(fault.MayHaveRun)
	}
	return &relayedReply{status: res.StatusCode, header: res.Header, body: body}, nil
}
