package entry

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/callers"
	"github.com/plantainstair/plantainstair/pkg/config"
)

// Settings holds the settings of an entry.
type Settings struct {
	config.Process
	config.Security

	Listen           string   `ini:"callers.listen" required:"true" format:"address" help:"Address of the API towards callers."`
	HealthListen     string   `ini:"platform.listen" required:"true" format:"address" help:"Address of health, readiness and metrics."`
	ControlAddresses []string `ini:"control.addresses" required:"true" format:"address" help:"Peer addresses of control replicas to start from."`

	MaxBodyBytes          int           `ini:"callers.max_body_bytes" default:"1048576" min:"1024" max:"1048576" help:"Largest request body; the limit of an organisation takes precedence. A request must also fit in one frame of 1 MiB."`
	BodyMemoryMB          int           `ini:"callers.body_memory_mb" default:"256" min:"2" max:"1048576" help:"Memory for the request bodies that are being received, and held for service calls, apart from the first 4 KiB of each, in MB. More is refused with 503."`
	MaxConcurrentRequests int           `ini:"callers.max_in_progress" default:"20000" min:"10" max:"1000000" help:"Largest number of chat requests and service calls in progress; about 60 kB each."`
	ReadTimeout           time.Duration `ini:"callers.read_timeout" default:"10s" min:"100ms" max:"5m" help:"Time to receive the body of a request."`
	WriteTimeout          time.Duration `ini:"callers.write_timeout" default:"10s" min:"1s" max:"5m" help:"Time for one write to a caller that does not read."`
	UrgentDeadline        time.Duration `ini:"deadline.urgent" default:"15s" min:"10ms" max:"1h" help:"Deadline of urgent requests that name none."`
	StandardDeadline      time.Duration `ini:"deadline.standard" default:"1m" min:"10ms" max:"1h" help:"Deadline of standard requests that name none."`
	BatchDeadline         time.Duration `ini:"deadline.batch" default:"10m" min:"10ms" max:"1h" help:"Deadline of batch requests that name none."`
	StallTimeout          time.Duration `ini:"streams.stall_timeout" default:"4s" min:"100ms" max:"5m" help:"Longest time between two tokens before the stream is repaired; longer than agents take to report a failed stage."`
	ReplayTimeout         time.Duration `ini:"streams.replay_timeout" default:"10s" min:"100ms" max:"5m" help:"Longest time to the first token of a repaired stream."`
	RequeueWait           time.Duration `ini:"streams.requeue_wait" default:"2m" min:"1s" max:"1h" help:"Longest wait for a new slot of a stream that lost its slot to other work."`
	RepairWait            time.Duration `ini:"streams.repair_wait" default:"5s" min:"0s" max:"5m" help:"How long a broken stream waits for a chain to become available."`
	MaxRepairs            int           `ini:"streams.max_repairs" default:"4" min:"0" max:"20" help:"Largest number of repairs of one stream, including retries before its first token."`
	MaxAttempts           int           `ini:"services.max_attempts" default:"3" min:"1" max:"10" help:"Largest number of attempts of one service call."`

	MaxConfigAge time.Duration `ini:"control.config_grace" default:"4s" min:"1s" max:"1m" help:"How long the entry takes work without confirming that its configuration is current."`
	DrainDelay   time.Duration `ini:"drain.delay" default:"2s" min:"0s" max:"5m" help:"Time between turning readiness off and refusing requests, for the balancer to notice."`
	DrainTimeout time.Duration `ini:"drain.timeout" default:"2h" min:"1s" max:"24h" help:"Longest wait for requests in progress at a shutdown."`

	// RoundRobin is for measurements only.
	RoundRobin bool `ini:"baseline.round_robin" default:"false" help:"For measurements only: choose upstreams in turn, regardless of load and health."`
}

// LoadSettings reads the settings from an INI file.
func LoadSettings(path string) (Settings, error) {
	var s Settings
	err := config.Load(path, &s)
	return s, err
}

// ParseSettings parses settings from data. Errors name the source as name.
func ParseSettings(name string, data []byte) (Settings, error) {
	var s Settings
	err := config.Parse(name, data, &s)
	return s, err
}

func (s Settings) deadlines() callers.Deadlines {
	return callers.Deadlines{Urgent: s.UrgentDeadline, Standard: s.StandardDeadline, Batch: s.BatchDeadline}
}
