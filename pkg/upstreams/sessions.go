package upstreams

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"
)

// CancelSession stops the session with the given epoch and frees its slot and
// KV state. It waits for the engine's response.
func (c *Client) CancelSession(ctx context.Context, address, session string, epoch uint64) error {
	resp, err := c.sessionRequest(ctx, http.MethodDelete, address, sessionPath(session, "", epoch), nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// ExportKV returns the KV cache state of a session.
func (c *Client) ExportKV(ctx context.Context, address, session string, epoch uint64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.KVTimeout)
	defer cancel()
	resp, err := c.sessionRequest(ctx, http.MethodGet, address, sessionPath(session, "/kv", epoch), nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return readAll(resp.Body, c.opts.MaxKVBytes)
}

// ImportKV uploads KV cache state to the engine for the session and epoch.
func (c *Client) ImportKV(ctx context.Context, address, session string, epoch uint64, state []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.KVTimeout)
	defer cancel()
	resp, err := c.sessionRequest(ctx, http.MethodPut, address, sessionPath(session, "/kv", epoch), state)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (c *Client) sessionRequest(ctx context.Context, method, address, path string, body []byte) (*http.Response, error) {
	req, err := newRequest(ctx, method, address, path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return c.do(c.engine, req)
}

func sessionPath(session, suffix string, epoch uint64) string {
	return PathSessions + url.PathEscape(session) + suffix + "?epoch=" + strconv.FormatUint(epoch, 10)
}
