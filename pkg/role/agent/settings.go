package agent

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/config"
)

// Settings are the settings of the agent process.
type Settings struct {
	config.Process
	config.Security

	Listen           string   `ini:"agent.listen" required:"true" format:"address" help:"Address for entries and other agents."`
	Advertise        string   `ini:"agent.advertise" format:"address" help:"Address that others reach this agent at; empty means the listen address."`
	UpstreamListen   string   `ini:"agent.upstream_listen" required:"true" format:"address" help:"Address for the upstream's announcements; the upstream runs on the same host."`
	HealthListen     string   `ini:"platform.listen" required:"true" format:"address" help:"Address of /healthz, /readyz and /metrics."`
	ControlAddresses []string `ini:"control.addresses" required:"true" format:"address" help:"Control replicas to start from, as IP addresses and ports."`

	MaxThreads             int           `ini:"process.threads" default:"1" min:"0" max:"1024" help:"Threads that run code at the same time; 0 means one for each core."`
	MaxConfigAge           time.Duration `ini:"control.config_grace" default:"4s" min:"500ms" max:"1m" help:"Longest time without confirmation that the configuration is current."`
	HeartbeatTimeout       time.Duration `ini:"agent.upstream_silence" default:"2s" min:"100ms" max:"1m" help:"Longest time without a heartbeat of the upstream."`
	DrainTimeout           time.Duration `ini:"drain.timeout" default:"5m" min:"1s" max:"1h" help:"Longest time for requests in progress at a shutdown."`
	MaxQueued              int           `ini:"queue.max_requests" default:"1024" min:"1" max:"1000000" help:"Queued requests."`
	MaxQueuedBytes         int64         `ini:"queue.max_bytes" default:"33554432" min:"1024" max:"1073741824" help:"Memory of queued requests in bytes."`
	MaxQueueWait           time.Duration `ini:"queue.max_wait" default:"1m" min:"10ms" max:"1h" help:"Longest time in the queue for a request without a deadline."`
	StepTimeout            time.Duration `ini:"engine.step_timeout" default:"1s" min:"10ms" max:"1m" help:"Longest time of an engine for one token."`
	PrefillTimeoutPerToken time.Duration `ini:"engine.prefill_timeout" default:"5ms" max:"1s" help:"Time added to the limit of a step for each prompt token."`
	OpenTimeout            time.Duration `ini:"engine.open_timeout" default:"2s" min:"10ms" max:"1m" help:"Longest time of an engine to open a stage."`
	PrefillChunkTokens     int           `ini:"engine.prefill_chunk" default:"128" min:"1" max:"4096" help:"Prompt tokens in one step of a chain."`
	MaxLine                int           `ini:"engine.max_line" default:"4194304" min:"1024" max:"67108864" help:"Longest line of an engine in bytes."`
	OrderAnswerTimeout     time.Duration `ini:"engine.order_timeout" default:"30s" min:"100ms" max:"1h" help:"Time after which an order without an answer is reported as unknown."`
	OrderConnectionTimeout time.Duration `ini:"engine.order_limit" default:"30m" min:"1s" max:"24h" help:"Time after which the connection of an order is closed."`
	DefaultServiceTimeout  time.Duration `ini:"service.timeout" default:"30s" min:"10ms" max:"1h" help:"Longest time of a service call whose catalogue entry names none."`
	MaxPendingClaims       int           `ini:"service.max_pending" default:"128" min:"1" max:"10000" help:"Claimed calls that are running or not yet recorded."`
	ClaimTimeout           time.Duration `ini:"service.claim_timeout" default:"3s" min:"100ms" max:"1m" help:"Longest time to make or read a claim."`
	UrgentReserve          int           `ini:"queue.urgent_reserve" default:"0" min:"-1" max:"65536" help:"Slots kept for urgent work; 0 derives the number, -1 turns it off."`
	Preemption             bool          `ini:"queue.preemption" default:"true" help:"End generations on lent slots when other work is due those; their streams are queued again and go on."`

	// DisableQueue is for measurements only.
	DisableQueue bool `ini:"baseline.no_queue" default:"false" help:"For measurements only: pass requests on at once in order of arrival, without queue, ranks and fairness."`
}
