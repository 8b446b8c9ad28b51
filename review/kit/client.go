package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"
)

// client keeps one connection to the front of a node.
type client struct {
	front  string
	http   *http.Client
	record *record
}

func newClient(r *record, front string) *client {
	return &client{front: front, record: r, http: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true}}}
}

// answer is what a client got for one request.
type answer struct {
	id     string
	status int   // zero if there was no complete answer
	err    error // why not
	kept   bool  // it was sent on a connection that had served a request before
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request and reads the whole answer.
func (c *client) send(method, path string, body io.Reader, length int64, deadline time.Duration) answer {
	a := answer{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.kept = i.Reused }})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.front+path, body)
	if err != nil {
		a.err = err
		return a
	}
	req.ContentLength = length
	req.GetBody = nil // a request is never sent twice under one id
	req.Host = "desk.example"
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+tenantKey)
	resp, err := c.http.Do(req)
	if err != nil {
		a.err = err
		c.record.line("client: %s %s: no answer: %v", a.id, method, err)
		return a
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		a.err = err
		c.record.line("client: %s %s: answer broke off: %v", a.id, method, err)
		return a
	}
	a.status = resp.StatusCode
	c.record.line("client: %s %s: %d", a.id, method, a.status)
	return a
}

// open sends a request for a stream and returns its answer once the head has arrived.
func (c *client) open(id, path string, deadline time.Duration) (resp *http.Response, cancel context.CancelFunc, kept func() bool, err error) {
	reused := false
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }})
	kept = func() bool { return reused }
	const prompt = "a prompt"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.front+path, io.NopCloser(strings.NewReader(prompt)))
	if err != nil {
		return nil, cancel, kept, err
	}
	req.ContentLength = int64(len(prompt))
	req.Host = "desk.example"
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": strconv.FormatInt(deadline.Milliseconds(), 10), "Authorization": "Bearer " + tenantKey,
		"Model": "daka510000", "Token-Usage": "774,40", "Length-Hint": "40", "Prefix-Hash": "5c1e07a2:40," + id[:8] + ":734",
	} {
		req.Header.Set(name, value)
	}
	resp, err = c.http.Do(req)
	return resp, cancel, kept, err
}
