package upstreams

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/selfreport"
	"github.com/plantainstair/plantainstair/pkg/defaults"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/replybody"
	"github.com/plantainstair/plantainstair/pkg/responsehead"
)

// Defaults of Options.
const (
	DefaultConnectTimeout   = 500 * time.Millisecond
	DefaultKVTimeout        = 10 * time.Second
	DefaultLineTimeout      = 2 * time.Second
	DefaultMaxKVBytes       = 256 << 20
	DefaultMaxResponseBytes = 896 << 10 // leaves room in a 1 MiB frame for the response headers
	// DefaultResponseMemory is an eighth of the 64 MB that an agent may use.
	DefaultResponseMemory = 8 << 20
)

const (
	maxErrorBodyBytes = 16 << 10
	contentTypeJSON   = "application/json"
	contentTypeNDJSON = "application/x-ndjson"
)

// Options set the timeouts and size limits of a Client. Zero values select the
// defaults.
type Options struct {
	ConnectTimeout   time.Duration
	KVTimeout        time.Duration // of one KV export or import
	LineTimeout      time.Duration // between two lines of a generation
	MaxLineBytes     int           // of one NDJSON line
	MaxKVBytes       int64         // of an exported KV state
	MaxResponseBytes int64         // of the body of a service response
	ResponseMemory   int64         // in bytes, for all service responses that are being read
	// OnSelfReport is called with what an answer of the upstream at an address states
	// about it, if it states anything.
	OnSelfReport func(address string, r selfreport.Report)
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.ConnectTimeout, DefaultConnectTimeout)
	defaults.Set(&o.KVTimeout, DefaultKVTimeout)
	defaults.Set(&o.LineTimeout, DefaultLineTimeout)
	defaults.Set(&o.MaxLineBytes, DefaultMaxLineBytes)
	defaults.Set(&o.MaxKVBytes, DefaultMaxKVBytes)
	defaults.Set(&o.MaxResponseBytes, DefaultMaxResponseBytes)
	defaults.Set(&o.ResponseMemory, DefaultResponseMemory)
	if o.OnSelfReport == nil {
		o.OnSelfReport = func(string, selfreport.Report) {}
	}
	return o
}

// Client calls the upstream of an agent. It is safe for concurrent use.
type Client struct {
	opts      Options
	engine    *http.Client // cleartext HTTP/2
	pooled    *http.Client // HTTP/1.1 with connection reuse, for repeatable service calls
	singleUse *http.Client // HTTP/1.1 with a new connection per call

	responseMemory *replybody.Memory
}

// NewClient returns a client with the given options. Call Close to release its
// idle connections.
func NewClient(opts Options) *Client {
	opts = opts.withDefaults()
	h2 := &http.Protocols{}
	h2.SetUnencryptedHTTP2(true)
	return &Client{
		opts:      opts,
		engine:    newHTTPClient(opts, &http.Transport{DialContext: dialer(opts), Protocols: h2}),
		pooled:    newHTTPClient(opts, &http.Transport{DialContext: dialer(opts), MaxIdleConnsPerHost: maxIdleConns}),
		singleUse: newHTTPClient(opts, &http.Transport{DialContext: dialer(opts), DisableKeepAlives: true}),

		responseMemory: replybody.NewMemory(opts.ResponseMemory),
	}
}

const (
	maxIdleConns           = 64
	maxResponseHeaderBytes = 64 << 10
)

// newHTTPClient returns a client that follows no redirects: a redirect would
// send the request again, to an address that the upstream did not announce.
func newHTTPClient(opts Options, t *http.Transport) *http.Client {
	t.DisableCompression = true
	t.MaxResponseHeaderBytes = maxResponseHeaderBytes
	t.Proxy = nil
	var checked transport = t // HTTP/2 has no heads of text
	if t.Protocols == nil {
		checked = responsehead.NewTransport(t)
	}
	return &http.Client{
		Transport:     selfReportReader{checked, opts.OnSelfReport},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

type transport interface {
	http.RoundTripper
	CloseIdleConnections()
}

// selfReportReader passes on what answers state about the upstream that sent them.
type selfReportReader struct {
	transport
	onReport func(address string, r selfreport.Report)
}

// RoundTrip implements http.RoundTripper.
func (t selfReportReader) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	r := selfreport.Report{Leaving: resp.Header.Get(HeaderLeaving) == "1", Source: req.Method + " " + req.URL.Path}
	if resp.StatusCode == http.StatusServiceUnavailable {
		r.Pause = selfreport.ParseRetryAfter(time.Now(), resp.Header)
	}
	if r.Leaving || r.Pause > 0 {
		t.onReport(req.URL.Host, r)
	}
	return resp, nil
}

// dialError marks a connection failure, which precedes the first byte of the
// request.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "connect: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

func dialer(opts Options) func(context.Context, string, string) (net.Conn, error) {
	d := &net.Dialer{Timeout: opts.ConnectTimeout}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, &dialError{cause: err}
		}
		return conn, nil
	}
}

// IsConnectionRefused reports whether err is a refused connection, which means
// that no process listens at the upstream's address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Close closes idle connections. Requests in progress continue.
func (c *Client) Close() {
	c.engine.CloseIdleConnections()
	c.pooled.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

// transportError classifies a failed exchange. Only a failed dial proves that
// the upstream did not run the request. If ctx has ended, its cause determines
// the kind.
func transportError(ctx context.Context, err error, what string) *fault.Error {
	var dial *dialError
	if errors.As(err, &dial) {
		return fault.Wrap(err, fault.Unavailable, "%s", what).WithOutcome(fault.NotRun)
	}
	if cause := context.Cause(ctx); cause != nil {
		var f *fault.Error
		if errors.As(cause, &f) {
			return f
		}
		if errors.Is(cause, context.DeadlineExceeded) {
			return fault.Wrap(cause, fault.Deadline, "%s", what).WithOutcome(fault.MayHaveRun)
		}
		return fault.Wrap(cause, fault.Cancelled, "%s", what).WithOutcome(fault.MayHaveRun)
	}
	return fault.Wrap(err, fault.Upstream, "%s", what).WithOutcome(fault.MayHaveRun)
}

// streamError classifies a read or write error on a stream that has not
// finished. io.EOF means that the upstream ended the stream early.
func streamError(ctx context.Context, err error, what string) *fault.Error {
	if cause := context.Cause(ctx); cause != nil {
		return transportError(ctx, err, what)
	}
	if err == io.EOF {
		return fault.New(fault.Upstream, "%s: stream ended early", what).WithOutcome(fault.MayHaveRun)
	}
	return fault.Wrap(err, fault.Upstream, "%s", what).WithOutcome(fault.MayHaveRun)
}

func (c *Client) post(ctx context.Context, address, path string, body []byte) (*http.Response, error) {
	req, err := newRequest(ctx, http.MethodPost, address, path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return c.do(c.engine, req)
}

func newRequest(ctx context.Context, method, address, path string, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "build request").WithField("path")
	}
	req.Header.Set("Content-Type", contentTypeJSON)
	return req, nil
}

// do sends req and converts any status but that of a success into an error.
func (c *Client) do(client *http.Client, req *http.Request) (*http.Response, error) {
	resp, err := client.Do(req)
	if err != nil {
		return nil, transportError(req.Context(), err, req.Method+" "+req.URL.Path)
	}
	if isSuccess(resp.StatusCode) {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, statusError(resp)
}

// isSuccess reports whether a status is 2xx. net/http accepts any number as a status of HTTP/2.
func isSuccess(status int) bool { return status/100 == 2 }

// statusError converts an error response. A status of 4xx or 503 means that
// the engine rejected the request without running it.
func statusError(resp *http.Response) *fault.Error {
	data, err := readAll(resp.Body, maxErrorBodyBytes)
	body := ErrorBody{}
	if err != nil || decodeJSON(data, &body) != nil || body.Error.Kind == "" {
		body.Error = Error{Kind: string(fault.Upstream), Message: "status " + resp.Status}
	}
	f := body.Error.Fault().WithOutcome(fault.MayHaveRun)
	if resp.StatusCode/100 == 4 || resp.StatusCode == http.StatusServiceUnavailable {
		f.Outcome = fault.NotRun
	}
	return f
}

// SendOrder sends an order with its order epoch. It returns when the engine
// has responded or the connection has ended.
func (c *Client) SendOrder(ctx context.Context, address string, o *Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fault.Wrap(err, fault.Protocol, "encode order")
	}
	req, err := newRequest(ctx, http.MethodPost, address, PathOrders, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set(HeaderFencingEpoch, strconv.FormatUint(o.OrderEpoch, 10))
	resp, err := c.do(c.engine, req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Probe checks that the upstream accepts a TCP connection, and closes the
// connection at once.
func (c *Client) Probe(ctx context.Context, address string) error {
	conn, err := dialer(c.opts)(ctx, "tcp", address)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "probe upstream")
	}
	return conn.Close()
}
