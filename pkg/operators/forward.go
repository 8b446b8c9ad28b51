package operators

import (
	"bytes"
	"io"
	"net/http"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// forwardedHeader marks a request forwarded by a follower. It is not forwarded
// again, so that replicas that disagree on the leader cannot form a loop.
const forwardedHeader = "Plantainstair-Forwarded"

// maxReplyBytes limits a response read from a replica. A catalogue of 20,000
// entries fits.
const maxReplyBytes = 64 << 20

// readReplyBody returns an error for a body over maxReplyBytes.
func readReplyBody(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxReplyBytes+1))
	if err == nil && len(body) > maxReplyBytes {
		err = fault.New(fault.Protocol, "answer exceeds the limit of %d bytes", maxReplyBytes)
	}
	return body, err
}

// forwardedReply is the leader's response, returned to the caller unchanged.
type forwardedReply struct {
	status int
	header http.Header
	body   []byte
}

func (r *forwardedReply) write(w http.ResponseWriter) {
	for _, name := range []string{"Content-Type", "Retry-After"} {
		if v := r.header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body)
}

// onLeader forwards the request to the leader if h reports that this replica is
// not the leader.
func (a *api) onLeader(h endpoint) endpoint {
	return func(r *request) (any, error) {
		reply, err := h(r)
		if !fault.Is(err, fault.NotLeader) || r.Header.Get(forwardedHeader) != "" {
			return reply, err
		}
		leader := fault.As(err).Leader
		if leader == "" {
			return nil, fault.Wrap(err, fault.Unavailable, "no leader is known").WithOutcome(fault.NotRun)
		}
		return a.forwardToLeader(r, leader)
	}
}

func (a *api) forwardToLeader(r *request, leader string) (any, error) {
	url := "http://" + leader + r.URL.RequestURI()
	out, err := http.NewRequestWithContext(r.Context(), r.Method, url, bytes.NewReader(r.body))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "build request to the leader").WithOutcome(fault.NotRun)
	}
	out.Header.Set("Authorization", r.Header.Get("Authorization"))
	out.Header.Set("Content-Type", "application/json")
	out.Header.Set(forwardedHeader, "1")
	res, err := a.leaderClient.Do(out)
	if err != nil {
		return nil, fault.Wrap(err, fault.UnknownOutcome, "leader at %s did not answer", leader).WithOutcome(fault.MayHaveRun)
	}
	defer res.Body.Close()
	body, err := readReplyBody(res.Body)
	if err != nil {
		return nil, fault.Wrap(err, fault.UnknownOutcome, "read answer of the leader").WithOutcome(fault.MayHaveRun)
	}
	return &forwardedReply{status: res.StatusCode, header: res.Header, body: body}, nil
}
