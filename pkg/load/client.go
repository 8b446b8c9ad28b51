package load

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxIdlePerEntry keeps the connections of a burst open for the next one.
const maxIdlePerEntry = 4096

// client sends requests to the entries.
type client struct {
	run   *Run
	http  *http.Client
	start time.Time
}

func newClient(run *Run, start time.Time) *client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerEntry,
		DisableCompression:  true,
		Proxy:               nil, // a proxy of the environment must not be measured
	}
	if run.ConnectFailover {
		transport.DialContext = dialNextEntry(run.Entries)
	}
	return &client{run: run, http: &http.Client{Transport: transport}, start: start}
}

func (c *client) elapsed() time.Duration { return time.Since(c.start) }

// checks reports whether the answer to a is compared with the reference.
func (c *client) checks(a *Arrival) bool {
	return c.run.CheckEvery > 0 && a.Sequence%uint64(c.run.CheckEvery) == 0
}

func (c *client) request(ctx context.Context, method, url string, body io.Reader, a *Arrival) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+a.APIKey)
	req.Header.Set("Content-Type", "application/json")
	if a.Mix.Deadline > 0 {
		req.Header.Set("Plantain-Deadline-Ms", strconv.FormatInt(a.Mix.Deadline.Milliseconds(), 10))
	}
	return req, nil
}

// perform sends a request and waits for its end.
func (c *client) perform(ctx context.Context, a *Arrival, number int) *Result {
	r := &Result{Arrival: a, SendDelay: c.elapsed() - a.ScheduledAt}
	ctx, cancel := context.WithTimeout(ctx, c.run.Timeout)
	defer cancel()
	if a.Mix.Kind == KindChat {
		c.chats(ctx, a, number, r)
	} else {
		c.service(ctx, a, number, r)
	}
	r.EndedAt = c.elapsed()
	return r
}

// entry returns the entry of the n-th send.
func (c *client) entry(n int) string { return c.run.Entries[n%len(c.run.Entries)] }

// drain reads what is left of a body, so that the connection can be used again.
func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxErrorBytes)
	_ = body.Close()
}
