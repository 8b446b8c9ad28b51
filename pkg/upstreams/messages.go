package upstreams

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// URL paths of the protocol.
const (
	PathUpstream = "/v1/upstream"
	PathLoad     = "/v1/upstream/load"
	PathCache    = "/v1/upstream/cache"
	PathGenerate = "/v1/generate"
	PathStage    = "/v1/stage"
	PathSessions = "/v1/sessions/"
	PathOrders   = "/v1/orders"
)

// HTTP headers of the protocol.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOrganisation   = "Plantain-Organisation"
	HeaderFencingEpoch   = "Fencing-Epoch"
	// HeaderLeaving is "1" in the answers of an upstream that leaves. One that asks for
	// time adds Retry-After to a 503.
	HeaderLeaving = "Upstream-Leaving"
)

// Kinds of upstreams.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Limits on the contents of announcements and cache events.
const (
	maxNameBytes   = 256
	maxModels      = 256
	maxAdapters    = 1024
	maxServices    = 256
	maxSlots       = 1 << 16
	maxLayers      = 1 << 16
	maxCacheEvents = 1 << 16
)

// Announcement is the body of PUT /v1/upstream.
type Announcement struct {
	Name          string       `json:"name"`
	Kind          string       `json:"kind"`
	Address       string       `json:"address"` // IP address and port of the upstream's HTTP server
	Models        []ModelShard `json:"models,omitempty"`
	Services      []string     `json:"services,omitempty"`
	Accelerator   string       `json:"accelerator,omitempty"`
	Slots         uint32       `json:"slots"`
	KVTokens      uint64       `json:"kv_tokens,omitempty"`
	ChecksFencing bool         `json:"checks_fencing,omitempty"`
	// RunID identifies one run of the upstream and changes at each restart.
	RunID uint64 `json:"instance,omitempty"`
}

// ModelShard is a contiguous layer range of one model version that an engine
// has loaded.
type ModelShard struct {
	Model      string   `json:"model"`
	Version    string   `json:"version"`
	FirstLayer uint32   `json:"first_layer"`
	LastLayer  uint32   `json:"last_layer"` // inclusive
	Adapters   []string `json:"adapters,omitempty"`
}

// LoadReport is the body of POST /v1/upstream/load.
type LoadReport struct {
	Running         uint32  `json:"running"`
	Queued          uint32  `json:"queued"`
	FreeKVTokens    uint64  `json:"kv_free_tokens"` // tokens of free KV cache
	TokensPerSecond float64 `json:"tokens_per_second"`
	AgeMs           uint32  `json:"age_ms"` // time from measurement to sending
}

// CacheEvents is the body of POST /v1/upstream/cache. Sequence numbers the
// first event of the batch; a gap between batches means that events were lost.
type CacheEvents struct {
	Sequence uint64       `json:"sequence"`
	Events   []CacheEvent `json:"events"`
}

// Actions of a cache event.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
	CacheCleared = "cleared"
)

// CacheEvent is one change of an engine's prefix cache. Prefix is a hash as
// returned by PrefixHashes.
type CacheEvent struct {
	Action string `json:"action"`
	Prefix uint64 `json:"prefix,string,omitempty"`
}

// GenerateRequest is the body of POST /v1/generate.
type GenerateRequest struct {
	Session   string   `json:"session"`
	Epoch     uint64   `json:"epoch"`    // of the session; rises with each attempt
	Position  uint32   `json:"position"` // index of the first token to generate
	Model     string   `json:"model"`
	Version   string   `json:"version"`
	Adapter   string   `json:"adapter,omitempty"`
	Rank      string   `json:"rank,omitempty"`
	Prompt    []uint32 `json:"prompt"`
	Emitted   []uint32 `json:"emitted,omitempty"`
	MaxTokens uint32   `json:"max_tokens"` // tokens to generate, excluding Emitted
	Seed      uint64   `json:"seed"`
}

// GenerateLine is one NDJSON line of the response to POST /v1/generate: a
// token, the end of the generation, or an error.
type GenerateLine struct {
	Position     uint32 `json:"position"`
	Token        uint32 `json:"token"`
	Last         bool   `json:"last,omitempty"` // no token follows
	Done         bool   `json:"done,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	CachedTokens uint32 `json:"cached_tokens,omitempty"`
	Error        *Error `json:"error,omitempty"`
}

// StageOpen is the first NDJSON line of the request body of POST /v1/stage.
type StageOpen struct {
	Session    string   `json:"session"`
	Epoch      uint64   `json:"epoch"` // of the session; rises with each attempt
	Model      string   `json:"model"`
	Version    string   `json:"version"`
	Adapter    string   `json:"adapter,omitempty"`
	Rank       string   `json:"rank,omitempty"`
	FirstLayer uint32   `json:"first_layer"`
	LastLayer  uint32   `json:"last_layer"` // inclusive
	Seed       uint64   `json:"seed"`
	Last       bool     `json:"last,omitempty"` // this stage samples the token
	Prefixes   []uint64 `json:"prefixes,omitempty"`
}

// StageStep is each later line of the request body of POST /v1/stage. The first
// stage of a pipeline receives Tokens; the others receive in Hidden one
// activation for each position.
type StageStep struct {
	Epoch    uint64   `json:"epoch"`    // of the session; rises with each attempt
	Position uint32   `json:"position"` // sequence position of the first element
	Tokens   []uint32 `json:"tokens,omitempty"`
	Hidden   [][]byte `json:"hidden,omitempty"`
}

// StageLine is one line of the response to POST /v1/stage. The first line
// responds to StageOpen, each later line to one StageStep.
type StageLine struct {
	Ready        bool     `json:"ready,omitempty"`
	CachedTokens uint32   `json:"cached_tokens,omitempty"`
	Position     uint32   `json:"position"` // sequence position after the step
	Hidden       [][]byte `json:"hidden,omitempty"`
	Token        uint32   `json:"token,omitempty"`
	Stop         bool     `json:"stop,omitempty"` // the token ends the generation
	Error        *Error   `json:"error,omitempty"`
}

// Order is the body of POST /v1/orders, a command to the engine such as loading
// a model. The order epoch is sent in OrderEpoch and in the header
// Fencing-Epoch.
type Order struct {
	ID         string `json:"id"`
	OrderEpoch uint64 `json:"epoch"`
	Action     string `json:"action"`
	Model      string `json:"model,omitempty"`
	Version    string `json:"version,omitempty"`
	Adapter    string `json:"adapter,omitempty"`
	Role       string `json:"role,omitempty"`
	FirstLayer uint32 `json:"first_layer,omitempty"`
	LastLayer  uint32 `json:"last_layer,omitempty"` // inclusive
}

// Error is the error object in error responses and in stream lines.
type Error struct {
	Kind     string `json:"kind"`
	Message  string `json:"message"`
	Field    string `json:"field,omitempty"`
	Position uint32 `json:"position,omitempty"`
	Epoch    uint64 `json:"epoch,omitempty"` // highest epoch that the engine has seen; set for stale_epoch
}

// ErrorBody is the body of a response with a status of 400 or more.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Fault converts e to a fault.Error. A kind that upstreams may not report
// becomes fault.Upstream.
func (e *Error) Fault() *fault.Error {
	kind := fault.Kind(e.Kind)
	switch kind {
	case fault.Invalid, fault.NotFound, fault.StaleEpoch, fault.OutOfOrder, fault.Overloaded, fault.Unavailable, fault.Cancelled:
	default:
		kind = fault.Upstream
	}
	f := fault.New(kind, "upstream: %.512s", e.Message).WithField(e.Field)
	f.Position = e.Position
	return f
}

// Validate returns an error for the first invalid field.
func (a *Announcement) Validate() error {
	if err := checkName("name", a.Name); err != nil {
		return err
	}
	if err := checkAddress("address", a.Address); err != nil {
		return err
	}
	if a.Slots == 0 || a.Slots > maxSlots {
		return invalidField("slots", "%d is not between 1 and %d", a.Slots, maxSlots)
	}
	switch a.Kind {
	case KindEngine:
		return a.validateModels()
	case KindService:
		return a.validateServices()
	default:
		return invalidField("kind", "%.64q is neither %q nor %q", a.Kind, KindEngine, KindService)
	}
}

func (a *Announcement) validateModels() error {
	if len(a.Models) > maxModels {
		return invalidField("models", "%d models are over the limit of %d", len(a.Models), maxModels)
	}
	for i := range a.Models {
		if err := a.Models[i].validate(i); err != nil {
			return err
		}
	}
	return nil
}

func (m *ModelShard) validate(i int) error {
	if err := checkName(indexedField("models", i, "model"), m.Model); err != nil {
		return err
	}
	if err := checkName(indexedField("models", i, "version"), m.Version); err != nil {
		return err
	}
	if m.LastLayer < m.FirstLayer || m.LastLayer >= maxLayers {
		return invalidField(indexedField("models", i, "last_layer"), "%d is below first_layer %d or over %d", m.LastLayer, m.FirstLayer, maxLayers-1)
	}
	if len(m.Adapters) > maxAdapters {
		return invalidField(indexedField("models", i, "adapters"), "%d adapters are over the limit of %d", len(m.Adapters), maxAdapters)
	}
	for _, adapter := range m.Adapters {
		if err := checkName(indexedField("models", i, "adapters"), adapter); err != nil {
			return err
		}
	}
	return nil
}

func (a *Announcement) validateServices() error {
	if len(a.Services) == 0 || len(a.Services) > maxServices {
		return invalidField("services", "%d services are not between 1 and %d", len(a.Services), maxServices)
	}
	for _, service := range a.Services {
		if err := checkName("services", service); err != nil {
			return err
		}
	}
	return nil
}

// Validate returns an error if a figure is out of range.
func (l *LoadReport) Validate() error {
	if l.TokensPerSecond < 0 {
		return invalidField("tokens_per_second", "%g is negative", l.TokensPerSecond)
	}
	return nil
}

// Age returns the time that had passed since the measurement when the report
// was sent.
func (l *LoadReport) Age() time.Duration { return time.Duration(l.AgeMs) * time.Millisecond }

// Validate returns an error for too many events or for the first unknown
// action.
func (c *CacheEvents) Validate() error {
	if len(c.Events) > maxCacheEvents {
		return invalidField("events", "%d events are over the limit of %d", len(c.Events), maxCacheEvents)
	}
	for i, e := range c.Events {
		switch e.Action {
		case CacheStored, CacheEvicted, CacheCleared:
		default:
			return invalidField(indexedField("events", i, "action"), "%.64q is unknown", e.Action)
		}
	}
	return nil
}
