package local

import (
	"fmt"
	"strings"
)

// Credentials of a local deployment. They protect no real data.
const (
	AdminToken = "local-admin-token"
	sharedKey  = "6c6f63616c206465706c6f796d656e74206b6579"
)

// Organisation is an organisation with an API key in a local deployment.
type Organisation struct {
	Name  string
	Key   string
	Class string
}

// Stage is a group of engines that hold the same layers.
type Stage struct {
	FirstLayer, LastLayer uint32 // inclusive
	EngineCount           int
	Accelerator           string
	Args                  []string // additional arguments of the stand-in
	Proxied               bool     // a FaultProxy in front of each agent
}

// Plan describes a local deployment.
type Plan struct {
	Controls        int
	Entries         int
	DataCentres     int
	Model           string
	Version         string
	Layers          uint32
	Stages          []Stage
	Services        []string // names of the services
	ServiceReplicas int      // upstreams of each service; zero means one
	Slots           int      // of each engine
	EngineArgs      []string // arguments of every engine stand-in
	ServiceArgs     []string
	Organisations   []Organisation
	DrainDelay      string // a Go duration
	LogLevel        string
	EntrySettings   []string // additional lines of every entry process's settings file
	AgentSettings   []string // additional lines of every agent's settings file
}

// DefaultPlan returns the deployment of the demonstration: three control replicas,
// two entry processes, two engines for each half of the model's layers, and two upstreams
// of an order service.
func DefaultPlan() Plan {
	return Plan{
		Controls:    3,
		Entries:     2,
		DataCentres: 3,
		Model:       "cartridge",
		Version:     "v1",
		Layers:      4,
		Stages: []Stage{
			{FirstLayer: 0, LastLayer: 1, EngineCount: 2, Accelerator: "a"},
			{FirstLayer: 2, LastLayer: 3, EngineCount: 2, Accelerator: "b"},
		},
		Services:        []string{"orders"},
		ServiceReplicas: 2,
		Slots:           8,
		DrainDelay:      "100ms",
		LogLevel:        "info",
		Organisations: []Organisation{
			{Name: "titiwangsa", Key: "titiwangsa-key", Class: "urgent"},
			{Name: "association", Key: "association-key", Class: "urgent"},
			{Name: "reminders", Key: "reminders-key", Class: "batch"},
		},
	}
}

func (p Plan) dataCentre(i int) string {
	return fmt.Sprintf("dc%d", i%max(1, p.DataCentres)+1)
}

// Catalogue returns the text of the catalogue file of the deployment.
func (p Plan) Catalogue() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[model %s]\nowner = operators\nlayers = %d\nversion = %s\nmax_tokens = 4096\n\n", p.Model, p.Layers, p.Version)
	for _, s := range p.Services {
		fmt.Fprintf(&b, "[service %s]\nowner = operators\nclass = urgent\ntimeout = 5s\n\n", s)
	}
	for _, o := range p.Organisations {
		fmt.Fprintf(&b, "[organisation %s]\nowner = operators\nclass = %s\nkey_sha256 = %s\n\n", o.Name, o.Class, sha256Hex(o.Key))
	}
	b.WriteString("[policy default]\nowner = operators\n")
	return b.String()
}
