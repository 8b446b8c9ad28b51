// Package catalogue reads and writes catalogue files. These are INI files in
// which each section describes one entry of the given kind and name, for example
// "[organisation acme]".
package catalogue

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/plantainstair/plantainstair/pkg/config"
	"github.com/plantainstair/plantainstair/pkg/control"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// commonKeys holds the keys that entries of every kind have. The section part of
// the tags, "entry", is ignored; the section being read takes its place.
type commonKeys struct {
	Owner              string `ini:"entry.owner" max:"256"`
	Class              string `ini:"entry.class" default:"standard" oneof:"urgent,standard,batch"`
	ConcurrentRequests uint32 `ini:"entry.concurrent_requests"`
	TokensPerSecond    uint32 `ini:"entry.tokens_per_second"`
	QueuedRequests     uint32 `ini:"entry.queued_requests"`
	BodyBytes          uint64 `ini:"entry.body_bytes"`
}

type organisation struct {
	commonKeys
	KeySHA256 []string `ini:"entry.key_sha256" format:"hex"`
	Weight    uint32   `ini:"entry.weight" default:"1" min:"1" max:"1000"`
}

type model struct {
	commonKeys
	Layers    uint32   `ini:"entry.layers" required:"true" min:"1" max:"1024"`
	Version   string   `ini:"entry.version" required:"true" max:"64"`
	Adapters  []string `ini:"entry.adapters"`
	MaxTokens uint32   `ini:"entry.max_tokens" default:"1024" min:"1"`
}

type service struct {
	commonKeys
	RepeatableMethods []string      `ini:"entry.repeatable_methods" default:"GET, HEAD, OPTIONS"`
	Timeout           time.Duration `ini:"entry.timeout" default:"5s" min:"1ms" max:"10m"`
}

type policy struct {
	commonKeys
	UrgentPercent   uint32        `ini:"entry.urgent_percent" default:"60" max:"100"`
	StandardPercent uint32        `ini:"entry.standard_percent" default:"25" max:"100"`
	BatchPercent    uint32        `ini:"entry.batch_percent" default:"15" max:"100"`
	ClaimHorizon    time.Duration `ini:"entry.claim_horizon" default:"24h" min:"1m"`
	ConcurrentLoads uint32        `ini:"entry.concurrent_loads" default:"4" min:"1"`
}

// Read returns the entries of the catalogue file at path.
func Read(path string) ([]*wirepb.Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "read catalogue").WithField(path)
	}
	return Parse(path, data)
}

// Parse returns the entries in data, in file order. name identifies the file in
// errors.
func Parse(name string, data []byte) ([]*wirepb.Entry, error) {
	sections, err := config.ParseSections(name, data, newSectionValue)
	if err != nil {
		return nil, err
	}
	entries := make([]*wirepb.Entry, 0, len(sections))
	for _, s := range sections {
		kind, entryName, _ := strings.Cut(s.Name, " ")
		e := toEntry(s.Value)
		e.Kind = kind
		e.Name = strings.TrimSpace(entryName)
		entries = append(entries, e)
	}
	return entries, nil
}

func newSectionValue(section string) any {
	kind, name, _ := strings.Cut(section, " ")
	if strings.TrimSpace(name) == "" {
		return nil
	}
	switch kind {
	case control.KindOrganisation:
		return &organisation{}
	case control.KindModel:
		return &model{}
	case control.KindService:
		return &service{}
	case control.KindPolicy:
		return &policy{}
	}
	return nil
}

func toEntry(value any) *wirepb.Entry {
	switch v := value.(type) {
	case *organisation:
		e := v.entry()
		e.Organisation = &wirepb.OrganisationSpec{KeySha256: v.KeySHA256, Weight: v.Weight}
		return e
	case *model:
		e := v.entry()
		e.Model = &wirepb.ModelSpec{Layers: v.Layers, Version: v.Version, Adapters: v.Adapters, MaxTokens: v.MaxTokens}
		return e
	case *service:
		e := v.entry()
		e.Service = &wirepb.ServiceSpec{
			RepeatableMethods: v.RepeatableMethods,
			TimeoutMs:         uint32(v.Timeout / time.Millisecond),
		}
		return e
	case *policy:
		e := v.entry()
		e.Policy = &wirepb.PolicySpec{
			UrgentPercent:       v.UrgentPercent,
			StandardPercent:     v.StandardPercent,
			BatchPercent:        v.BatchPercent,
			ClaimHorizonSeconds: uint32(v.ClaimHorizon / time.Second),
			ConcurrentLoads:     v.ConcurrentLoads,
		}
		return e
	}
	return nil
}

func (c commonKeys) entry() *wirepb.Entry {
	return &wirepb.Entry{
		Owner: c.Owner,
		Class: c.Class,
		Limits: &wirepb.Limits{
			ConcurrentRequests: c.ConcurrentRequests,
			TokensPerSecond:    c.TokensPerSecond,
			QueuedRequests:     c.QueuedRequests,
			BodyBytes:          c.BodyBytes,
		},
	}
}

// Format returns the entries as a catalogue file that Parse reads back to equal
// entries, except for their revisions and for values that are empty or zero. These
// are omitted, other than the percentages and durations, and Parse replaces them by
// the defaults of their keys.
func Format(entries []*wirepb.Entry) string {
	var b strings.Builder
	for i, e := range entries {
		if i > 0 {
			b.WriteByte('\n')
		}
		writeEntry(&b, e)
	}
	return b.String()
}

func writeEntry(b *strings.Builder, e *wirepb.Entry) {
	fmt.Fprintf(b, "[%s %s]\n", e.Kind, e.Name)
	writeString(b, "owner", e.Owner)
	writeString(b, "class", e.Class)
	l := e.GetLimits()
	writeNumber(b, "concurrent_requests", uint64(l.GetConcurrentRequests()))
	writeNumber(b, "tokens_per_second", uint64(l.GetTokensPerSecond()))
	writeNumber(b, "queued_requests", uint64(l.GetQueuedRequests()))
	writeNumber(b, "body_bytes", l.GetBodyBytes())
	switch e.Kind {
	case control.KindOrganisation:
		writeString(b, "key_sha256", strings.Join(e.GetOrganisation().GetKeySha256(), ", "))
		writeNumber(b, "weight", uint64(e.GetOrganisation().GetWeight()))
	case control.KindModel:
		writeNumber(b, "layers", uint64(e.GetModel().GetLayers()))
		writeString(b, "version", e.GetModel().GetVersion())
		writeString(b, "adapters", strings.Join(e.GetModel().GetAdapters(), ", "))
		writeNumber(b, "max_tokens", uint64(e.GetModel().GetMaxTokens()))
	case control.KindService:
		writeString(b, "repeatable_methods", strings.Join(e.GetService().GetRepeatableMethods(), ", "))
		writeString(b, "timeout", (time.Duration(e.GetService().GetTimeoutMs()) * time.Millisecond).String())
	case control.KindPolicy:
		p := e.GetPolicy()
		fmt.Fprintf(b, "urgent_percent = %d\nstandard_percent = %d\nbatch_percent = %d\n",
			p.GetUrgentPercent(), p.GetStandardPercent(), p.GetBatchPercent())
		writeString(b, "claim_horizon", (time.Duration(p.GetClaimHorizonSeconds()) * time.Second).String())
		writeNumber(b, "concurrent_loads", uint64(p.GetConcurrentLoads()))
	}
}

func writeString(b *strings.Builder, key, value string) {
	if value != "" {
		fmt.Fprintf(b, "%s = %s\n", key, value)
	}
}

func writeNumber(b *strings.Builder, key string, value uint64) {
	if value != 0 {
		fmt.Fprintf(b, "%s = %d\n", key, value)
	}
}
