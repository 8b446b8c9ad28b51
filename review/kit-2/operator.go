package main

import (
	"bytes"
	"context"
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
