package coordinators

import (
	"context"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/quarantine"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// PromptParts is what the leader has decided on prompt parts. It is immutable.
type PromptParts struct {
	// Watched are the parts whose answered requests the leader wants to know of.
	Watched     []string
	Quarantines quarantine.List
}

// EncodePromptParts encodes p. Ends of quarantines are sent as the time that remains,
// because the clocks of hosts differ.
func EncodePromptParts(now time.Time, p PromptParts) *wirepb.PromptParts {
	return &wirepb.PromptParts{Watched: p.Watched, Quarantines: encodeQuarantines(now, p.Quarantines)}
}

// DecodePromptParts is the inverse of EncodePromptParts.
func DecodePromptParts(now time.Time, p *wirepb.PromptParts) PromptParts {
	return PromptParts{Watched: p.GetWatched(), Quarantines: DecodeQuarantines(now, p.GetQuarantines())}
}

func encodeQuarantines(now time.Time, list quarantine.List) []*wirepb.PromptQuarantine {
	var out []*wirepb.PromptQuarantine
	for _, q := range list {
		out = append(out, &wirepb.PromptQuarantine{Parts: q.Parts, RemainingMs: q.Until.Sub(now).Milliseconds(), Terms: uint32(q.Terms)})
	}
	return out
}

// DecodeQuarantines decodes quarantines with the time that remains from now on.
func DecodeQuarantines(now time.Time, list []*wirepb.PromptQuarantine) quarantine.List {
	var out quarantine.List
	for _, q := range list {
		out = append(out, quarantine.Quarantine{
			Parts: quarantine.NewParts(q.GetParts()), Until: now.Add(time.Duration(q.GetRemainingMs()) * time.Millisecond), Terms: int(q.GetTerms()),
		})
	}
	return out
}

// ReportPrompts sends the leader what this process saw of requests with shared prompt
// parts.
func (c *Client) ReportPrompts(ctx context.Context, r *wirepb.PromptReport) error {
	_, err := c.exchange(ctx, &wirepb.Frame{Body: &wirepb.Frame_PromptReport{PromptReport: r}})
	return err
}
