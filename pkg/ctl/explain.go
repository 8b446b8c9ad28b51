package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/explain"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/responsehead"
)

const (
	// ExplainTimeout bounds an explanation. It exceeds the write timeout of the metrics
	// address of a gateway.
	ExplainTimeout = 12 * time.Second
	// maxExplainBytes bounds the answer of a gateway: some 200 bytes for each of its
	// instances.
	maxExplainBytes = 16 << 20
)

// Explain prints how the gateway with the given metrics address would route a request now.
// It needs no Client.
func (a *App) Explain(ctx context.Context, gateway string, q explain.Query) error {
	if _, _, err := net.SplitHostPort(gateway); err != nil {
		return fault.New(fault.Invalid, "%q is not an address with a port", gateway).WithField("gateway").WithOutcome(fault.NotRun)
	}
	if err := q.Validate(); err != nil {
		return err
	}
	target := url.URL{Scheme: "http", Host: gateway, Path: explain.Path, RawQuery: q.Values().Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "gateway address").WithField("gateway").WithOutcome(fault.NotRun)
	}
	client := &http.Client{Transport: responsehead.NewTransport(&http.Transport{DisableKeepAlives: true})} // without the proxy of the environment
	resp, err := client.Do(req)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "ask the gateway %s", gateway).WithOutcome(fault.NotRun)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxExplainBytes))
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "read the answer of the gateway %s", gateway).WithOutcome(fault.NotRun)
	}
	if resp.StatusCode != http.StatusOK {
		var reply explain.ErrorReply
		if json.Unmarshal(body, &reply) == nil && reply.Err() != nil {
			return reply.Err()
		}
		return fault.New(fault.Protocol, "%s answered with status %d; is it the metrics address of a gateway?", gateway, resp.StatusCode)
	}
	var answer explain.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return fault.Wrap(err, fault.Protocol, "decode the answer of the gateway %s", gateway)
	}
	return a.printReply(&answer, answer.WriteText)
}
