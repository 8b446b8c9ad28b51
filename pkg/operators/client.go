package operators

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

const (
	dialTimeout  = 2 * time.Second
	clientRounds = 4
	roundDelay   = 250 * time.Millisecond
	// readAttempt bounds a read at one address, so that a frozen replica does
	// not keep the client from asking the next.
	readAttempt = 3 * time.Second
	// answerAllowance is the time beyond the server's own limit.
	answerAllowance = 2 * time.Second
)

// Client calls the admin API. It tries the addresses one after another.
type Client struct {
	Addresses []string
	Token     string
	// HTTPClient is used for the calls; nil means a client with bounded dial times.
	HTTPClient *http.Client
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     idleTimeout,
	}}
}

var defaultHTTP = newHTTPClient()

// Apply makes a change. A missing request id is filled in, so that the
// attempts at several addresses count as one request.
func (c *Client) Apply(ctx context.Context, req *ChangeRequest) (*ChangeReply, error) {
	req.RequestID = orNewID(req.RequestID)
	return call[ChangeReply](ctx, c, operation{http.MethodPost, "/v1/changes", nil, req, req.attemptLimit()})
}

// Catalogue returns the catalogue, or with since what changed after it.
func (c *Client) Catalogue(ctx context.Context, since *uint64) (*CatalogueReply, error) {
	query := url.Values{}
	if since != nil {
		query.Set("since", strconv.FormatUint(*since, 10))
	}
	return call[CatalogueReply](ctx, c, read("/v1/catalogue", query))
}

// History returns up to limit accepted changes after a revision.
func (c *Client) History(ctx context.Context, after uint64, limit int) (*HistoryReply, error) {
	return call[HistoryReply](ctx, c, read("/v1/history", pageQuery(after, limit)))
}

// Audit returns up to limit audit records after a sequence number.
func (c *Client) Audit(ctx context.Context, after uint64, limit int) (*AuditReply, error) {
	return call[AuditReply](ctx, c, read("/v1/audit", pageQuery(after, limit)))
}

// Status returns the status of the first replica that answers.
func (c *Client) Status(ctx context.Context) (*StatusReply, error) {
	return call[StatusReply](ctx, c, read("/v1/status", nil))
}

// Drain orders the upstream on a host to finish its work and take no more.
func (c *Client) Drain(ctx context.Context, host string, req DrainRequest) (*OrderReply, error) {
	req.RequestID = orNewID(req.RequestID)
	path := "/v1/upstreams/" + url.PathEscape(host) + "/drain"
	return call[OrderReply](ctx, c, operation{http.MethodPost, path, nil, req, orderLimit(req.TimeoutMS) + answerAllowance})
}

// Voters returns the voters and learners.
func (c *Client) Voters(ctx context.Context) (*VotersReply, error) {
	return call[VotersReply](ctx, c, read("/v1/voters", nil))
}

// ChangeVoter adds, removes or replaces a voter.
func (c *Client) ChangeVoter(ctx context.Context, req *VoterRequest) (*VotersReply, error) {
	req.RequestID = orNewID(req.RequestID)
	return call[VotersReply](ctx, c, operation{http.MethodPost, "/v1/voters", nil, req, voterTimeout + answerAllowance})
}

// Order gives an order to an upstream and returns when it was carried out.
func (c *Client) Order(ctx context.Context, req *OrderRequest) (*OrderReply, error) {
	req.RequestID = orNewID(req.RequestID)
	return call[OrderReply](ctx, c, operation{http.MethodPost, "/v1/orders", nil, req, req.Timeout() + answerAllowance})
}

// Claims returns one page of claims.
func (c *Client) Claims(ctx context.Context, q *ClaimsQuery) (*ClaimsReply, error) {
	return call[ClaimsReply](ctx, c, read("/v1/claims", q.values()))
}

// SettleClaim states whether the call of a pending claim ran.
func (c *Client) SettleClaim(ctx context.Context, req *SettleRequest) (*SettleReply, error) {
	req.RequestID = orNewID(req.RequestID)
	return call[SettleReply](ctx, c, operation{http.MethodPost, "/v1/claims/settle", nil, req, changeTimeout + answerAllowance})
}

// Snapshot makes one replica write a snapshot. It uses only the first address.
func (c *Client) Snapshot(ctx context.Context) (*SnapshotReply, error) {
	one := &Client{Addresses: c.Addresses[:min(1, len(c.Addresses))], Token: c.Token, HTTPClient: c.HTTPClient}
	return call[SnapshotReply](ctx, one, operation{http.MethodPost, "/v1/snapshot", nil, struct{}{}, requestTimeout})
}

func orNewID(id string) string {
	if id != "" {
		return id
	}
	return uuid.NewString()
}

func pageQuery(after uint64, limit int) url.Values {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	if limit > 0 {
		query.Set("limit", strconv.Itoa(limit))
	}
	return query
}

// operation is one request to the API.
type operation struct {
	method string
	path   string
	query  url.Values
	body   any
	limit  time.Duration // for one attempt
}

func read(path string, query url.Values) operation {
	return operation{method: http.MethodGet, path: path, query: query, limit: readAttempt}
}

func (c *ChangeRequest) attemptLimit() time.Duration {
	if !c.Wait {
		return changeTimeout + answerAllowance
	}
	return changeTimeout + c.WaitTimeout() + answerAllowance
}

// call tries each address a few times. Repeating a request is safe: reads
// change nothing, and everything else carries a request id.
func call[T any](ctx context.Context, c *Client, op operation) (*T, error) {
	if len(c.Addresses) == 0 {
		return nil, fault.New(fault.Invalid, "no control address").WithField("addresses").WithOutcome(fault.NotRun)
	}
	payload, err := encode(op.body)
	if err != nil {
		return nil, err
	}
	var last error
	sent := false
	for round := range clientRounds {
		if round > 0 && !delay.Wait(ctx, roundDelay) {
			break
		}
		for _, addr := range c.Addresses {
			reply := new(T)
			err := c.attempt(ctx, addr, op, payload, reply)
			if err == nil {
				return reply, nil
			}
			sent = sent || fault.As(err).Outcome != fault.NotRun
			if !mayTryAnother(err) {
				return nil, err
			}
			last = err
		}
	}
	return nil, giveUp(last, sent)
}

// giveUp keeps the outcome unknown when any attempt may have run.
func giveUp(last error, sent bool) error {
	outcome := fault.NotRun
	if sent {
		outcome = fault.MayHaveRun
	}
	return fault.Wrap(last, fault.Unavailable, "no control replica answered").WithOutcome(outcome)
}

func mayTryAnother(err error) bool {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.NotLeader, fault.Unknown, fault.Draining:
		return true
	}
	return false
}

func (c *Client) attempt(ctx context.Context, addr string, op operation, payload []byte, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, op.limit)
	defer cancel()
	target := "http://" + addr + op.path
	if len(op.query) > 0 {
		target += "?" + op.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, op.method, target, bytes.NewReader(payload))
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "address %q", addr).WithField("addresses").WithOutcome(fault.NotRun)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	req.Header.Set("Content-Type", "application/json")
	client := c.HTTPClient
	if client == nil {
		client = defaultHTTP
	}
	res, err := client.Do(req)
	if err != nil {
		return transportError(err, addr)
	}
	defer res.Body.Close()
	return readReply(res, reply)
}

// transportError tells a request that was never sent from one that may have
// run.
func transportError(err error, addr string) error {
	outcome := fault.MayHaveRun
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		outcome = fault.NotRun
	}
	return fault.Wrap(err, fault.Unavailable, "call %s", addr).WithOutcome(outcome)
}

func readReply(res *http.Response, reply any) error {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReply))
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "read answer").WithOutcome(fault.MayHaveRun)
	}
	if res.StatusCode != http.StatusOK {
		return decodeError(res.StatusCode, body)
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return fault.Wrap(err, fault.Protocol, "decode answer").WithOutcome(fault.MayHaveRun)
	}
	return nil
}

func decodeError(status int, body []byte) error {
	var e ErrorReply
	if err := json.Unmarshal(body, &e); err != nil || e.Error.Kind == "" {
		return fault.New(fault.Protocol, "answer with status %d and no typed error", status).WithOutcome(fault.MayHaveRun)
	}
	out := fault.New(fault.Kind(e.Error.Kind), "%s", e.Error.Message)
	out.Field = e.Error.Field
	out.RetryAfter = time.Duration(e.Error.RetryAfterMS) * time.Millisecond
	out.Revision = e.Error.Revision
	out.Outcome = outcomeOf(e.Error.Outcome)
	return out
}

func outcomeOf(name string) fault.Outcome {
	for _, o := range []fault.Outcome{fault.Answered, fault.NotRun} {
		if fault.OutcomeString(o) == name {
			return o
		}
	}
	return fault.MayHaveRun
}

func encode(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	b, err := json.Marshal(body)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "encode request").WithOutcome(fault.NotRun)
	}
	return b, nil
}
