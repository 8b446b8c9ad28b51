package registry

import (
	"math"
	"net/netip"
	"slices"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Bounds on what is said of an instance. Anybody may call the endpoint for announcements,
// and what is recorded is sent to every process of the fleet.
const (
	maxNameBytes = 128 // of an id, a service, a data centre, a kind or a model
	maxModels    = 64
	maxLayers    = 4096
	maxSlots     = 1 << 20
	// maxInteger is the largest integer that every JSON encoder writes exactly.
	maxInteger = 1 << 53
	// maxSlowdown is far above what a working engine reports.
	maxSlowdown = 1000
	// maxClockOffset is how far the clock of a host may be ahead of the one that checks
	// the start time of a process.
	maxClockOffset = 24 * time.Hour
	// maxInstances bounds the registry, at several times the largest planned fleet.
	maxInstances = 1 << 15
	// maxInstancesPerHost bounds what one writer that invents addresses can add.
	maxInstancesPerHost = 1 << 10
)

// CheckID returns an error if id cannot name an instance.
func CheckID(id string) error {
	if !validName(id) {
		return invalidField("id")
	}
	return nil
}

// Check returns an error that names the first field of an announcement that is not
// usable. now is the time of this process.
func Check(now time.Time, in *wirepb.Instance) error {
	switch {
	case !validName(in.GetId()):
		return invalidField("id")
	case !validName(in.GetService()):
		return invalidField("service")
	case !validName(in.GetDataCentre()):
		return invalidField("data centre")
	case in.GetAccelerator() != "" && !validName(in.GetAccelerator()):
		return invalidField("accelerator")
	case !validAddress(in.GetAddress()):
		return invalidField("address")
	case in.GetBornUnixMs() < 0 || in.GetBornUnixMs() > now.Add(maxClockOffset).UnixMilli():
		return invalidField("start time")
	case in.GetSequence() > maxInteger:
		return invalidField("sequence")
	case in.GetSlots() > maxSlots:
		return invalidField("slots")
	case !validLayers(in.GetLayers()):
		return invalidField("layers")
	case len(in.GetModels()) > maxModels:
		return invalidField("models")
	case !ValidRequestLimit(in.GetRequestLimit()):
		return invalidField("request limit")
	case !validNames(in.GetModels()):
		return invalidField("models")
	}
	return nil
}

// ValidRequestLimit reports whether a limit, in requests per second, is a rate or zero.
func ValidRequestLimit(limit float64) bool { return limit >= 0 && !math.IsInf(limit, 0) }

func invalidField(name string) error {
	return fault.New(fault.Invalid, "instance has a missing or invalid %s", name).WithField(name).WithOutcome(fault.NotRun)
}

// validName reports whether a name has a length and characters that every process can
// store, encode and log.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes || !utf8.ValidString(name) {
		return false
	}
	for _, r := range name {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

func validNames(names []string) bool {
	return !slices.ContainsFunc(names, func(name string) bool { return !validName(name) })
}

func validAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() > 0 && a.Addr().Zone() == "" && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

func validLayers(l *wirepb.LayerRange) bool {
	return l == nil || (l.GetFrom() < l.GetTo() && l.GetTo() <= maxLayers)
}

// bounded returns a poll result without the values that are out of bounds.
func (p PollResult) bounded() PollResult {
	if !validLayers(p.Layers) {
		p.Layers = nil
	}
	if len(p.Models) > maxModels {
		p.Models = p.Models[:maxModels]
	}
	if !validNames(p.Models) {
		p.Models = nil
	}
	if !ValidRequestLimit(p.RequestLimit) {
		p.RequestLimit = 0
	}
	if l := p.Load; l != nil {
		p.Load = &wirepb.InstanceLoad{
			Active: min(l.GetActive(), maxSlots), Queued: min(l.GetQueued(), maxSlots),
			KvUsed: min(l.GetKvUsed(), maxInteger), KvTotal: min(l.GetKvTotal(), maxInteger),
		}
		if l.GetSlowdown() > 0 {
			p.Load.Slowdown = min(l.GetSlowdown(), maxSlowdown)
		}
	}
	return p
}
