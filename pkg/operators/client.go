package operators

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/plantainstair/plantainstair/pkg/delay"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/responsehead"
)

const (
	dialTimeout = 2 * time.Second
	maxRounds   = 4
	roundDelay  = 250 * time.Millisecond
	// readAttemptTimeout limits a read from one address, so that the client
	// moves on from an unresponsive replica to the next address.
	readAttemptTimeout = 3 * time.Second
	// replyGrace is added to the server's own time limit, so that its response
	// arrives before the client gives up.
	replyGrace = 2 * time.Second
)

// Client calls the admin API. It tries the addresses in order until one
// responds.
type Client struct {
	Addresses []string
	Token     string
	// HTTPClient sends the requests; nil means a shared client with a dial
	// timeout.
	HTTPClient *http.Client
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: responsehead.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     idleTimeout,
	})}
}

var defaultHTTP = newHTTPClient()

// Apply makes a change to the catalogue. It sets a missing request ID, so that
// the server treats attempts at several addresses as one request.
func (c *Client) Apply(ctx context.Context, req *ChangeRequest) (*ChangeReply, error) {
	req.RequestID = idOrNew(req.RequestID)
	return call[ChangeReply](ctx, c, operation{http.MethodPost, "/v1/changes", nil, req, req.attemptTimeout()})
}

// Catalogue returns the whole catalogue, or only the changes after revision
// since if it is not nil.
func (c *Client) Catalogue(ctx context.Context, since *uint64) (*CatalogueReply, error) {
	query := url.Values{}
	if since != nil {
		query.Set("since", strconv.FormatUint(*since, 10))
	}
	return call[CatalogueReply](ctx, c, getOperation("/v1/catalogue", query))
}

// History returns up to limit accepted changes after a revision. A limit of
// zero means the server's default.
func (c *Client) History(ctx context.Context, after uint64, limit int) (*HistoryReply, error) {
	return call[HistoryReply](ctx, c, getOperation("/v1/history", pageQuery(after, limit)))
}

// Audit returns up to limit audit records after a sequence number. A limit of
// zero means the server's default.
func (c *Client) Audit(ctx context.Context, after uint64, limit int) (*AuditReply, error) {
	return call[AuditReply](ctx, c, getOperation("/v1/audit", pageQuery(after, limit)))
}

// Status returns the status of the first replica that responds.
func (c *Client) Status(ctx context.Context) (*StatusReply, error) {
	return call[StatusReply](ctx, c, getOperation("/v1/status", nil))
}

// Drain orders the upstream on a host to finish its requests and accept no new
// ones.
func (c *Client) Drain(ctx context.Context, host string, req DrainRequest) (*OrderReply, error) {
	req.RequestID = idOrNew(req.RequestID)
	path := "/v1/upstreams/" + url.PathEscape(host) + "/drain"
	return call[OrderReply](ctx, c, operation{http.MethodPost, path, nil, req, effectiveOrderTimeout(req.TimeoutMs) + replyGrace})
}

// Voters returns the voters and learners.
func (c *Client) Voters(ctx context.Context) (*VotersReply, error) {
	return call[VotersReply](ctx, c, getOperation("/v1/voters", nil))
}

// ChangeVoter adds, removes or replaces a voter and returns the resulting
// voters and learners.
func (c *Client) ChangeVoter(ctx context.Context, req *VoterRequest) (*VotersReply, error) {
	req.RequestID = idOrNew(req.RequestID)
	return call[VotersReply](ctx, c, operation{http.MethodPost, "/v1/voters", nil, req, voterTimeout + replyGrace})
}

// Order sends an order to an upstream and returns once the upstream has carried
// it out.
func (c *Client) Order(ctx context.Context, req *OrderRequest) (*OrderReply, error) {
	req.RequestID = idOrNew(req.RequestID)
	return call[OrderReply](ctx, c, operation{http.MethodPost, "/v1/orders", nil, req, req.Timeout() + replyGrace})
}

// Claims returns one page of claims.
func (c *Client) Claims(ctx context.Context, q *ClaimsQuery) (*ClaimsReply, error) {
	return call[ClaimsReply](ctx, c, getOperation("/v1/claims", q.values()))
}

// SettleClaim records the decision whether the call of a pending claim ran.
func (c *Client) SettleClaim(ctx context.Context, req *SettleRequest) (*SettleReply, error) {
	req.RequestID = idOrNew(req.RequestID)
	return call[SettleReply](ctx, c, operation{http.MethodPost, "/v1/claims/settle", nil, req, changeTimeout + replyGrace})
}

// Snapshot makes the replica at the first address write a snapshot.
func (c *Client) Snapshot(ctx context.Context) (*SnapshotReply, error) {
	firstReplica := &Client{Addresses: c.Addresses[:min(1, len(c.Addresses))], Token: c.Token, HTTPClient: c.HTTPClient}
	return call[SnapshotReply](ctx, firstReplica, operation{http.MethodPost, "/v1/snapshot", nil, struct{}{}, requestTimeout})
}

func idOrNew(id string) string {
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

// operation describes one API request.
type operation struct {
	method            string
	path              string
	query             url.Values
	body              any
	timeoutPerAttempt time.Duration
}

func getOperation(path string, query url.Values) operation {
	return operation{method: http.MethodGet, path: path, query: query, timeoutPerAttempt: readAttemptTimeout}
}

func (c *ChangeRequest) attemptTimeout() time.Duration {
	if !c.Wait {
		return changeTimeout + replyGrace
	}
	return changeTimeout + c.WaitTimeout() + replyGrace
}

// call tries the addresses in up to maxRounds rounds. Repeating a request is
// safe: reads change nothing, Snapshot has no effect beyond writing a snapshot,
// and all other requests carry a request ID.
func call[T any](ctx context.Context, c *Client, op operation) (*T, error) {
	if len(c.Addresses) == 0 {
		return nil, fault.New(fault.Invalid, "no control address").WithField("addresses").WithOutcome(fault.NotRun)
	}
	payload, err := encodeBody(op.body)
	if err != nil {
		return nil, err
	}
	var lastErr error
	mayHaveRun := false
	for round := range maxRounds {
		if round > 0 && !delay.Wait(ctx, roundDelay) {
			break
		}
		for _, addr := range c.Addresses {
			reply := new(T)
			err := c.attempt(ctx, addr, op, payload, reply)
			if err == nil {
				return reply, nil
			}
			mayHaveRun = mayHaveRun || fault.As(err).Outcome != fault.NotRun
			if !shouldTryNextAddress(err) {
				return nil, err
			}
			lastErr = err
		}
	}
	return nil, unansweredError(lastErr, mayHaveRun)
}

// unansweredError reports that no address responded. The outcome is unknown if
// any attempt may have run, even if the last one did not.
func unansweredError(lastErr error, mayHaveRun bool) error {
	outcome := fault.NotRun
	if mayHaveRun {
		outcome = fault.MayHaveRun
	}
	return fault.Wrap(lastErr, fault.Unavailable, "no control replica answered").WithOutcome(outcome)
}

func shouldTryNextAddress(err error) bool {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.NotLeader, fault.UnknownOutcome, fault.Draining:
		return true
	}
	return false
}

func (c *Client) attempt(ctx context.Context, addr string, op operation, payload []byte, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, op.timeoutPerAttempt)
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

// transportError reports a failed dial as not run; after any other failure the
// request may have run.
func transportError(err error, addr string) error {
	outcome := fault.MayHaveRun
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		outcome = fault.NotRun
	}
	return fault.Wrap(err, fault.Unavailable, "call %s", addr).WithOutcome(outcome)
}

func readReply(res *http.Response, reply any) error {
	body, err := readReplyBody(res.Body)
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
	out.RetryAfter = time.Duration(e.Error.RetryAfterMs) * time.Millisecond
	out.Revision = e.Error.Revision
	out.Outcome = parseOutcome(e.Error.Outcome)
	return out
}

func parseOutcome(name string) fault.Outcome {
	for _, o := range []fault.Outcome{fault.Answered, fault.NotRun} {
		if fault.OutcomeString(o) == name {
			return o
		}
	}
	return fault.MayHaveRun
}

func encodeBody(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	b, err := json.Marshal(body)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "encode request").WithOutcome(fault.NotRun)
	}
	return b, nil
}
