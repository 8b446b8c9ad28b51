package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// operator sends and reads configurations at the machines that serve control. It follows a
// 307 twice and moves on to another one after a failure or a second without an answer.
type operator struct {
	control func() []string // control addresses that it may pick from
	record  *record
	client  *http.Client
}

func newOperator(r *record, control func() []string) *operator {
	return &operator{control: control, record: r, client: &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > 2 {
				return fmt.Errorf("more than two redirects")
			}
			return nil
		},
	}}
}

// call makes one call. The status is zero if there was no answer.
func (o *operator) call(method, address, path string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, out
}

// put sends a configuration until it is acknowledged or refused, or until the time is over. It
// reports whether it was acknowledged.
func (o *operator) put(conf map[string]any, within time.Duration) bool {
	body, _ := json.Marshal(conf)
	end := time.Now().Add(within)
	last := -1
	for wait := 100 * time.Millisecond; time.Now().Before(end); wait = min(2*wait, time.Second) {
		control := o.control()
		address := control[rand.IntN(len(control))]
		status, _ := o.call(http.MethodPut, address, "/config", body, time.Second)
		if status != last {
			o.record.line("operator: PUT version %v at %s: %d", conf["version"], address, status)
			last = status
		}
		if status == http.StatusOK {
			return true
		}
		if status == 400 || status == 409 || status == 412 || status == 413 || status == 422 {
			return false
		}
		time.Sleep(wait)
	}
	o.record.line("operator: version %v was not acknowledged within %v", conf["version"], within)
	return false
}

// read reads the configuration at any node until one answers with 200, or until the time is
// over. It returns the version, or zero.
func (o *operator) read(within time.Duration) int {
	end := time.Now().Add(within)
	last := -1
	for time.Now().Before(end) {
		for _, address := range o.control() {
			status, body := o.call(http.MethodGet, address, "/config", nil, time.Second)
			if status != last {
				o.record.line("operator: GET at %s: %d", address, status)
				last = status
			}
			if status == http.StatusOK {
				var in struct {
					Version int `json:"version"`
				}
				_ = json.Unmarshal(body, &in)
				o.record.line("operator: GET at %s: version %d", address, in.Version)
				return in.Version
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	o.record.line("operator: no node answered GET with 200 within %v", within)
	return 0
}

// route is a route of a configuration to a plain service.
func route(name, prefix, service, kind string, timeoutMs, targetMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "desk.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": targetMs,
		"priority": 2, "service": service, "maxAttempts": attempts, "public": false,
	}
}

const (
	tenantName = "hule930"
	tenantKey  = "n2ctnfzs989anu6wsjnb"
)

// configuration returns a configuration with one plain service.
func configuration(version int, service string, maxConnections int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConnections": maxConnections, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": tenantName, "apiKeys": []string{tenantKey}, "priority": 1}},
	}
}
