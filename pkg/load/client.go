package load

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxIdlePerEntry is high enough to keep all connections of a burst open for the
// next burst.
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
		Proxy:               nil, // ignore proxy settings in the environment, which would distort the results
	}
	if run.ConnectFailover {
		transport.DialContext = dialNextEntry(run.Entries)
	}
	return &client{run: run, http: &http.Client{Transport: transport}, start: start}
}

func (c *client) elapsed() time.Duration { return time.Since(c.start) }

// shouldCheck reports whether the answer to a is compared with the reference text.
func (c *client) shouldCheck(a *Arrival) bool {
	return c.run.CheckEvery > 0 && a.Sequence%uint64(c.run.CheckEvery) == 0
}

func (c *client) newRequest(ctx context.Context, method, url string, body io.Reader, a *Arrival) (*http.Request, error) {
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

// perform sends the request of an arrival, waits for its completion and returns
// the result. The number of the send selects the first entry.
func (c *client) perform(ctx context.Context, a *Arrival, number int) *Result {
	r := &Result{Arrival: a, SendDelay: c.elapsed() - a.ScheduledAt}
	ctx, cancel := context.WithTimeout(ctx, c.run.Timeout)
	defer cancel()
	if a.Mix.Kind == KindChat {
		c.sendChatWithResends(ctx, a, number, r)
	} else {
		c.sendCallWithResends(ctx, a, number, r)
	}
	r.EndedAt = c.elapsed()
	return r
}

// entry returns the address of the entry for the n-th send (round robin).
func (c *client) entry(n int) string { return c.run.Entries[n%len(c.run.Entries)] }

// drainBody reads the rest of a body and closes it, so that the connection can be
// reused.
func drainBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxErrorBytes)
	_ = body.Close()
}
