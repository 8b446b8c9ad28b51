package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// callTimeout is the time after which callers of the control API move on to another node.
	callTimeout = time.Second
	// maxRedirects is the number of redirects that callers follow.
	maxRedirects = 2
)

var controlClient = &http.Client{
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	Transport:     &http.Transport{DisableKeepAlives: true},
}

// control sends a call to the node at an address and follows its redirects. It returns the
// last status, 0 without a response, and the address that answered.
func control(method, address, path string, body []byte) (status int, answer []byte, answeredBy string) {
	for range maxRedirects + 1 {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
		if err != nil {
			cancel()
			return 0, nil, address
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := controlClient.Do(request)
		if err != nil {
			cancel()
			return 0, nil, address
		}
		answer, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		cancel()
		if err != nil {
			return 0, nil, address
		}
		if response.StatusCode != http.StatusTemporaryRedirect {
			return response.StatusCode, answer, address
		}
		location, err := response.Location()
		if err != nil {
			return 0, nil, address
		}
		status, address = response.StatusCode, location.Host
	}
	return status, answer, address
}

// putConfig sends a configuration to one node after the other until one acknowledges it, and
// returns the address of that node, or an empty string once the time is over.
func (p *play) putConfig(nodes []machine, version int, document []byte, limit time.Duration) string {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		m := nodes[i%len(nodes)]
		status, answer, by := control(http.MethodPut, p.address(m, portControl), "/config", document)
		if status == http.StatusOK {
			p.note("configuration %d acknowledged by %s", version, by)
			return by
		}
		p.note("configuration %d to %s: status %d by %s %.120s", version, m.name, status, by, answer)
		time.Sleep(300 * time.Millisecond)
	}
	return ""
}

// readVersion reads the configuration at a node. It returns its version, 0 if there is none.
func (p *play) readVersion(m machine) int {
	status, answer, by := control(http.MethodGet, p.address(m, portControl), "/config", nil)
	var read struct{ Version int }
	if status != http.StatusOK || json.Unmarshal(answer, &read) != nil {
		p.note("read of the configuration at %s: status %d by %s %.120s", m.name, status, by, answer)
		return 0
	}
	p.note("read of the configuration at %s: version %d by %s", m.name, read.Version, by)
	return read.Version
}

// plainConfig returns a configuration with one plain service.
func plainConfig(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-1","host":"a.example","pathPrefix":"/a/","kind":"unsafe","timeoutMs":2500,"targetLatencyMs":150,"priority":0,"service":"desk","maxAttempts":1,"public":true,"sticky":false,"resumable":false}],"services":[{"name":"desk","healthPath":"/healthz","maxConnections":260,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}`, version)
}
