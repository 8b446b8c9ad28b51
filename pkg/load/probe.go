package load

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Probe sends chat requests to one entry sequentially.
type Probe struct {
	client *client
	entry  string
	key    string
}

// NewProbe returns a probe that sends requests to the entry at the given address
// with the given API key.
func NewProbe(entry, key string) *Probe {
	return &Probe{client: newClient(&Run{Entries: []string{entry}}, time.Now()), entry: entry, key: key}
}

// Chat sends a request and returns the time of each token since the start of the
// request. It returns an error if the request is not completely answered.
func (p *Probe) Chat(ctx context.Context, model string, prompt, tokens int, seed uint64) ([]time.Duration, error) {
	a := &Arrival{
		Mix: &Mix{Kind: KindChat, Model: model}, APIKey: p.key, Seed: seed, MaxTokens: tokens,
		ScheduledAt: p.client.elapsed(),
	}
	for i := range prompt {
		a.Prompt = append(a.Prompt, seed<<16+uint64(i))
	}
	r := &Result{Arrival: a}
	p.client.sendChat(ctx, a, p.entry, r)
	if r.Outcome != Answered {
		return nil, fault.New(fault.Unavailable, "request was not answered: %s %s", r.Outcome, r.Code)
	}
	for i := range r.TokenTimes {
		r.TokenTimes[i] -= a.ScheduledAt
	}
	return r.TokenTimes, nil
}
