package registry

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

func usableInstance() *wirepb.Instance {
	return &wirepb.Instance{Id: "i-1", BornUnixMs: start.UnixMilli(), Sequence: 1, Service: "llm", Address: "10.0.0.1:80", DataCentre: "kl-a",
		Accelerator: "big", Slots: 4, Layers: &wirepb.LayerRange{From: 0, To: 8}, Models: []string{"m"}}
}

// Guards against entries of other writers that reach the state of the fleet, and against
// sound ones that are refused.
func TestCheck_NamesUnusableField(t *testing.T) {
	assert.NilError(t, Check(start, usableInstance()))
	tests := map[string]struct {
		field  string
		change func(*wirepb.Instance)
	}{
		"id that is not UTF-8":      {"id", func(in *wirepb.Instance) { in.Id = "\xff\xfe" }},
		"id with a line break":      {"id", func(in *wirepb.Instance) { in.Id = "a\nb" }},
		"no id":                     {"id", func(in *wirepb.Instance) { in.Id = "" }},
		"endless id":                {"id", func(in *wirepb.Instance) { in.Id = strings.Repeat("a", maxNameBytes+1) }},
		"endless service":           {"service", func(in *wirepb.Instance) { in.Service = strings.Repeat("a", maxNameBytes+1) }},
		"no data centre":            {"data centre", func(in *wirepb.Instance) { in.DataCentre = "" }},
		"kind that is not UTF-8":    {"accelerator", func(in *wirepb.Instance) { in.Accelerator = "\xc0" }},
		"port out of range":         {"address", func(in *wirepb.Instance) { in.Address = "10.0.0.1:70000" }},
		"port zero":                 {"address", func(in *wirepb.Instance) { in.Address = "10.0.0.1:0" }},
		"address of all hosts":      {"address", func(in *wirepb.Instance) { in.Address = "0.0.0.0:80" }},
		"address with a zone":       {"address", func(in *wirepb.Instance) { in.Address = "[fe80::1%eth0]:80" }},
		"host name":                 {"address", func(in *wirepb.Instance) { in.Address = "a.example:80" }},
		"start before 1970":         {"start time", func(in *wirepb.Instance) { in.BornUnixMs = -1 }},
		"start far in the future":   {"start time", func(in *wirepb.Instance) { in.BornUnixMs = 1 << 53 }},
		"sequence over all":         {"sequence", func(in *wirepb.Instance) { in.Sequence = math.MaxUint64 }},
		"slots over all":            {"slots", func(in *wirepb.Instance) { in.Slots = math.MaxUint32 }},
		"layers over all":           {"layers", func(in *wirepb.Instance) { in.Layers.To = math.MaxUint32 }},
		"layers in the wrong order": {"layers", func(in *wirepb.Instance) { in.Layers.From = 9 }},
		"too many models":           {"models", func(in *wirepb.Instance) { in.Models = make([]string, maxModels+1) }},
		"model that is not UTF-8":   {"models", func(in *wirepb.Instance) { in.Models = []string{"\xff"} }},
		"limit that is no number":   {"request limit", func(in *wirepb.Instance) { in.RequestLimit = math.NaN() }},
	}
	for name, tc := range tests {
		in := usableInstance()
		tc.change(in)
		err := Check(start, in)
		assert.Assert(t, fault.Is(err, fault.Invalid), "%s: %v", name, err)
		assert.Equal(t, fault.As(err).Field, tc.field, name)
	}
}

// Guards against an instance that passes the check and cannot be encoded, whatever is
// announced.
func TestCheck_UsableInstancesCanBeEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := usableInstance()
		text := func(name string) string { return string(rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(t, name)) }
		in.Id, in.Service, in.DataCentre, in.Accelerator = "i"+text("id"), "s"+text("service"), "d"+text("dc"), text("kind")
		in.Models = []string{"m" + text("model")}
		if Check(start, in) == nil {
			_, err := proto.Marshal(in)
			assert.NilError(t, err)
		}
	})
}

// Guards against a poll result of a faulty engine that enters the state of the fleet.
func TestApplyPoll_BoundsWhatEnginesReport(t *testing.T) {
	g := New()
	g.Announce(start, usableInstance())
	g.ApplyPoll(start, "i-1", PollResult{
		Layers: &wirepb.LayerRange{From: 3, To: 1 << 30}, Models: []string{"\xff"}, RequestLimit: math.Inf(1),
		Load: &wirepb.InstanceLoad{Active: math.MaxUint32, KvUsed: math.MaxUint64, KvTotal: math.MaxUint64, Slowdown: math.NaN()},
	})
	in := g.Get("i-1")
	assert.Assert(t, in.GetLayers() == nil && in.GetRequestLimit() == 0)
	assert.Assert(t, in.GetLoad().GetActive() <= maxSlots && in.GetLoad().GetKvTotal() <= maxInteger && in.GetLoad().GetSlowdown() == 0)
	_, err := proto.Marshal(in)
	assert.NilError(t, err)
}

// Guards against a writer that fills the registry with instances that it invents.
func TestCheckRoom_BoundsInstancesOfOneHost(t *testing.T) {
	g := New()
	at := func(host string, i int) *wirepb.Instance {
		in := usableInstance()
		in.Id, in.Address = fmt.Sprintf("%s-%d", host, i), fmt.Sprintf("%s:%d", host, i+1)
		return in
	}
	for i := range maxInstancesPerHost {
		assert.NilError(t, g.CheckRoom(at("10.0.0.1", i)))
		g.Announce(start, at("10.0.0.1", i))
	}
	assert.Assert(t, fault.Is(g.CheckRoom(at("10.0.0.1", maxInstancesPerHost)), fault.Overloaded))
	assert.NilError(t, g.CheckRoom(at("10.0.0.1", 0)), "a known instance is refused")
	assert.NilError(t, g.CheckRoom(at("10.0.0.2", 0)))
	g.Expire(start.Add(time.Hour), time.Minute)
	assert.Equal(t, len(g.perHost), 0)
}

// Guards against one unusable instance of a watcher that keeps its others from a new
// leader.
func TestMerge_LeavesOutUnusableInstances(t *testing.T) {
	g := New()
	odd, sound := usableInstance(), usableInstance()
	odd.Id, odd.Address = "\xff", "10.0.0.9:80"
	sound.Load = &wirepb.InstanceLoad{Slowdown: math.Inf(1)}
	assert.Assert(t, fault.Is(g.Merge(start, []*wirepb.Instance{odd, sound}), fault.Invalid))
	assert.Equal(t, len(g.All()), 1)
	assert.Assert(t, g.Get("i-1") != nil)
}
