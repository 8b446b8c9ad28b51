package upstreams

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Paths of the protocol.
const (
	PathUpstream = "/v1/upstream"
	PathLoad     = "/v1/upstream/load"
	PathCache    = "/v1/upstream/cache"
	PathGenerate = "/v1/generate"
	PathStage    = "/v1/stage"
	PathSessions = "/v1/sessions/"
	PathOrders   = "/v1/orders"
)

// Headers of the protocol.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOrganisation   = "Plantain-Organisation"
	HeaderFencingEpoch   = "Fencing-Epoch"
)

// Kinds of upstreams.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Bounds on what an upstream may announce.
const (
	maxName     = 256
	maxHeld     = 256
	maxAdapters = 1024
	maxServices = 256
	maxSlots    = 1 << 16
	maxLayers   = 1 << 16
	maxPrefixes = 1 << 16
)

// Announcement is the body of PUT /v1/upstream.
type Announcement struct {
	Name          string       `json:"name"`
	Kind          string       `json:"kind"`
	Address       string       `json:"address"` // IP and port of the upstream's HTTP server
	Models        []ModelShard `json:"models,omitempty"`
	Services      []string     `json:"services,omitempty"`
	Accelerator   string       `json:"accelerator,omitempty"`
	Slots         uint32       `json:"slots"`
	KVTokens      uint64       `json:"kv_tokens,omitempty"`
	ChecksFencing bool         `json:"checks_fencing,omitempty"`
	// Instance differs between two starts of the same upstream.
	Instance uint64 `json:"instance,omitempty"`
}

// ModelShard is a layer range of one model version held by an engine.
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
	KVFreeTokens    uint64  `json:"kv_free_tokens"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	AgeMS           uint32  `json:"age_ms"` // age of the figures when they were sent
}

// CacheEvents is the body of POST /v1/upstream/cache. Sequence is that of the
// first event; a jump means that events were lost.
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

// CacheEvent reports one change of the prefix cache.
type CacheEvent struct {
	Action string `json:"action"`
	Prefix uint64 `json:"prefix,string,omitempty"`
}

// GenerateRequest is the body of POST /v1/generate.
type GenerateRequest struct {
	Session   string   `json:"session"`
	Epoch     uint64   `json:"epoch"`
	Position  uint32   `json:"position"` // index of the first token to generate
	Model     string   `json:"model"`
	Version   string   `json:"version"`
	Adapter   string   `json:"adapter,omitempty"`
	Rank      string   `json:"rank,omitempty"`
	Prompt    []uint32 `json:"prompt"`
	Emitted   []uint32 `json:"emitted,omitempty"`
	MaxTokens uint32   `json:"max_tokens"` // tokens to generate, not counting Emitted
	Seed      uint64   `json:"seed"`
}

// GenerateLine is one line of the answer to POST /v1/generate: a token, the
// end of the generation, or an error.
type GenerateLine struct {
	Position     uint32 `json:"position"`
	Token        uint32 `json:"token"`
	Last         bool   `json:"last,omitempty"` // no token follows
	Done         bool   `json:"done,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	CachedTokens uint32 `json:"cached_tokens,omitempty"`
	Error        *Error `json:"error,omitempty"`
}

// StageOpen is the first line that an agent sends on POST /v1/stage.
type StageOpen struct {
	Session    string   `json:"session"`
	Epoch      uint64   `json:"epoch"`
	Model      string   `json:"model"`
	Version    string   `json:"version"`
	Adapter    string   `json:"adapter,omitempty"`
	Rank       string   `json:"rank,omitempty"`
	FirstLayer uint32   `json:"first_layer"`
	LastLayer  uint32   `json:"last_layer"`
	Seed       uint64   `json:"seed"`
	Last       bool     `json:"last,omitempty"` // this stage produces the token
	Prefixes   []uint64 `json:"prefixes,omitempty"`
}

// StageStep is every later line that an agent sends. The first stage receives
// tokens, the others one activation for each position.
type StageStep struct {
	Epoch    uint64   `json:"epoch"`
	Position uint32   `json:"position"` // sequence position of the first element
	Tokens   []uint32 `json:"tokens,omitempty"`
	Hidden   [][]byte `json:"hidden,omitempty"`
}

// StageLine is one line of the answer to POST /v1/stage. The first line is the
// answer to StageOpen, each later one the answer to one step.
type StageLine struct {
	Ready        bool     `json:"ready,omitempty"`
	CachedTokens uint32   `json:"cached_tokens,omitempty"`
	Position     uint32   `json:"position"` // next position of the sequence
	Hidden       [][]byte `json:"hidden,omitempty"`
	Token        uint32   `json:"token,omitempty"`
	Stop         bool     `json:"stop,omitempty"` // the token ends the generation
	Error        *Error   `json:"error,omitempty"`
}

// Order is the body of POST /v1/orders. The fencing number is in the header
// Fencing-Epoch and in Epoch.
type Order struct {
	ID         string `json:"id"`
	Epoch      uint64 `json:"epoch"`
	Action     string `json:"action"`
	Model      string `json:"model,omitempty"`
	Version    string `json:"version,omitempty"`
	Adapter    string `json:"adapter,omitempty"`
	Role       string `json:"role,omitempty"`
	FirstLayer uint32 `json:"first_layer,omitempty"`
	LastLayer  uint32 `json:"last_layer,omitempty"`
}

// Error is the error object of the protocol.
type Error struct {
	Kind     string `json:"kind"`
	Message  string `json:"message"`
	Field    string `json:"field,omitempty"`
	Position uint32 `json:"position,omitempty"`
	Epoch    uint64 `json:"epoch,omitempty"` // highest epoch seen, with stale_epoch
}

// ErrorBody is the body of an answer with a status of 400 or more.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Fault converts an error of the protocol. A kind that an upstream may not
// report becomes upstream_failed.
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

// Validate reports the first field of the announcement that is out of range.
func (a *Announcement) Validate() error {
	if err := checkName("name", a.Name); err != nil {
		return err
	}
	if err := checkAddress("address", a.Address); err != nil {
		return err
	}
	if a.Slots == 0 || a.Slots > maxSlots {
		return invalid("slots", "%d is not between 1 and %d", a.Slots, maxSlots)
	}
	switch a.Kind {
	case KindEngine:
		return a.validateModels()
	case KindService:
		return a.validateServices()
	default:
		return invalid("kind", "%.64q is neither %q nor %q", a.Kind, KindEngine, KindService)
	}
}

func (a *Announcement) validateModels() error {
	if len(a.Models) > maxHeld {
		return invalid("models", "%d models are over the limit of %d", len(a.Models), maxHeld)
	}
	for i := range a.Models {
		if err := a.Models[i].validate(i); err != nil {
			return err
		}
	}
	return nil
}

func (m *ModelShard) validate(i int) error {
	if err := checkName(indexed("models", i, "model"), m.Model); err != nil {
		return err
	}
	if err := checkName(indexed("models", i, "version"), m.Version); err != nil {
		return err
	}
	if m.LastLayer < m.FirstLayer || m.LastLayer >= maxLayers {
		return invalid(indexed("models", i, "last_layer"), "%d is below first_layer %d or over %d", m.LastLayer, m.FirstLayer, maxLayers-1)
	}
	if len(m.Adapters) > maxAdapters {
		return invalid(indexed("models", i, "adapters"), "%d adapters are over the limit of %d", len(m.Adapters), maxAdapters)
	}
	for _, adapter := range m.Adapters {
		if err := checkName(indexed("models", i, "adapters"), adapter); err != nil {
			return err
		}
	}
	return nil
}

func (a *Announcement) validateServices() error {
	if len(a.Services) == 0 || len(a.Services) > maxServices {
		return invalid("services", "%d services are not between 1 and %d", len(a.Services), maxServices)
	}
	for _, service := range a.Services {
		if err := checkName("services", service); err != nil {
			return err
		}
	}
	return nil
}

// Validate reports the first field of the load report that is out of range.
func (l *LoadReport) Validate() error {
	if l.TokensPerSecond < 0 {
		return invalid("tokens_per_second", "%g is negative", l.TokensPerSecond)
	}
	return nil
}

// Age returns the age of the figures when they were sent.
func (l *LoadReport) Age() time.Duration { return time.Duration(l.AgeMS) * time.Millisecond }

// Validate reports the first event that is out of range.
func (c *CacheEvents) Validate() error {
	if len(c.Events) > maxPrefixes {
		return invalid("events", "%d events are over the limit of %d", len(c.Events), maxPrefixes)
	}
	for i, e := range c.Events {
		switch e.Action {
		case CacheStored, CacheEvicted, CacheCleared:
		default:
			return invalid(indexed("events", i, "action"), "%.64q is unknown", e.Action)
		}
	}
	return nil
}
