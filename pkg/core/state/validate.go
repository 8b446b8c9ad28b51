package state

import (
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Limits of a change and of its entries.
const (
	maxNameLength    = 128
	maxRequestLength = 256
	maxCommentLength = 1024
	maxEdits         = 1000
	maxChangeBytes   = 480 << 10 // leaves room for the envelope in a proposal of 512 KiB
	maxKeys          = 64
	maxAdapters      = 256
	maxMethods       = 16
	maxWeight        = 1000
	maxLayers        = 4096
	maxTokens        = 16 << 20
	maxTimeoutMs     = 24 * 3600 * 1000
	minHorizonSecs   = 60
	maxHorizonSecs   = 30 * 24 * 3600
	maxLoads         = 10_000
	percentTotal     = 100
	sha256HexLength  = 64
)

var (
	classes = []string{"", "urgent", "standard", "batch"}
	methods = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"}
)

// validateChange makes the checks that do not depend on the state.
func validateChange(ch *wirepb.Change) *fault.Error {
	edits := len(ch.GetPut()) + len(ch.GetRemove())
	if edits == 0 {
		return invalid("put", "change has no edits")
	}
	if edits > maxEdits {
		return invalid("put", "change has %d edits; the limit is %d", edits, maxEdits)
	}
	if len(ch.GetComment()) > maxCommentLength {
		return invalid("comment", "longer than %d bytes", maxCommentLength)
	}
	if size := proto.Size(ch); size > maxChangeBytes {
		return invalid("put", "change has %d bytes; the limit is %d", size, maxChangeBytes)
	}
	return validateEdits(ch)
}

func validateEdits(ch *wirepb.Change) *fault.Error {
	seen := make(map[entryID]bool, len(ch.GetPut())+len(ch.GetRemove()))
	for i, e := range ch.GetPut() {
		if err := ValidateCatalogueEntry(e); err != nil {
			return err.WithField(indexed("put", i, err.Field))
		}
		if seen[idOf(e)] {
			return invalid(indexed("put", i, "name"), "%s %q is edited twice", e.GetKind(), e.GetName())
		}
		seen[idOf(e)] = true
	}
	for i, n := range ch.GetRemove() {
		id := entryID{n.GetKind(), n.GetName()}
		if seen[id] {
			return invalid(indexed("remove", i, "name"), "%s %q is edited twice", id.kind, id.name)
		}
		seen[id] = true
	}
	return nil
}

// ValidateCatalogueEntry returns an error that names the invalid field of an entry, or nil.
func ValidateCatalogueEntry(e *wirepb.Entry) *fault.Error {
	if err := validateName("name", e.GetName()); err != nil {
		return err
	}
	if err := validateName("owner", e.GetOwner()); err != nil {
		return err
	}
	if !slices.Contains(classes, e.GetClass()) {
		return invalid("class", "%q is none of urgent, standard, batch", e.GetClass())
	}
	if err := validateSpecKind(e); err != nil {
		return err
	}
	switch e.GetKind() {
	case KindOrganisation:
		return validateOrganisation(e.GetOrganisation())
	case KindModel:
		return validateModel(e.GetModel())
	case KindService:
		if strings.Contains(e.GetName(), "/") {
			return invalid("name", "the name of a service is one part of a path and has no slash")
		}
		return validateService(e.GetService())
	default:
		return validatePolicy(e)
	}
}

// validateSpecKind requires exactly the spec that belongs to the kind.
func validateSpecKind(e *wirepb.Entry) *fault.Error {
	present := map[string]bool{
		KindOrganisation: e.GetOrganisation() != nil,
		KindModel:        e.GetModel() != nil,
		KindService:      e.GetService() != nil,
		KindPolicy:       e.GetPolicy() != nil,
	}
	has, known := present[e.GetKind()]
	if !known {
		return invalid("kind", "%q is none of organisation, model, service, policy", e.GetKind())
	}
	if !has {
		return invalid(e.GetKind(), "the spec of the %s is missing", e.GetKind())
	}
	for _, kind := range []string{KindOrganisation, KindModel, KindService, KindPolicy} {
		if kind != e.GetKind() && present[kind] {
			return invalid(kind, "the entry is of kind %s", e.GetKind())
		}
	}
	return nil
}

func validateOrganisation(o *wirepb.OrganisationSpec) *fault.Error {
	if len(o.GetKeySha256()) > maxKeys {
		return invalid("organisation.key_sha256", "more than %d keys", maxKeys)
	}
	for i, key := range o.GetKeySha256() {
		if !isSHA256(key) {
			return invalid(indexed("organisation.key_sha256", i, ""), "not a lower-case hexadecimal SHA-256")
		}
	}
	return atMost("organisation.weight", o.GetWeight(), maxWeight)
}

func validateModel(m *wirepb.ModelSpec) *fault.Error {
	if m.GetLayers() == 0 {
		return invalid("model.layers", "a model has at least one layer")
	}
	if err := atMost("model.layers", m.GetLayers(), maxLayers); err != nil {
		return err
	}
	if err := validateName("model.version", m.GetVersion()); err != nil {
		return err
	}
	if err := validateNames("model.adapters", m.GetAdapters(), maxAdapters); err != nil {
		return err
	}
	return atMost("model.max_tokens", m.GetMaxTokens(), maxTokens)
}

func validateService(s *wirepb.ServiceSpec) *fault.Error {
	if err := validateNames("service.repeatable_methods", s.GetRepeatableMethods(), maxMethods); err != nil {
		return err
	}
	for i, m := range s.GetRepeatableMethods() {
		if !slices.Contains(methods, m) {
			return invalid(indexed("service.repeatable_methods", i, ""), "%q is not an HTTP method", m)
		}
	}
	return atMost("service.timeout_ms", s.GetTimeoutMs(), maxTimeoutMs)
}

func validatePolicy(e *wirepb.Entry) *fault.Error {
	p := e.GetPolicy()
	if e.GetName() != PolicyName {
		return invalid("name", "the only policy is named %q", PolicyName)
	}
	total := uint64(p.GetUrgentPercent()) + uint64(p.GetStandardPercent()) + uint64(p.GetBatchPercent())
	if total != 0 && total != percentTotal {
		return invalid("policy.urgent_percent", "the shares of the ranks add up to %d percent", total)
	}
	if h := p.GetClaimHorizonSeconds(); h != 0 && (h < minHorizonSecs || h > maxHorizonSecs) {
		return invalid("policy.claim_horizon_seconds", "%d is outside %d to %d", h, minHorizonSecs, maxHorizonSecs)
	}
	return atMost("policy.concurrent_loads", p.GetConcurrentLoads(), maxLoads)
}

func validateNames(field string, names []string, limit int) *fault.Error {
	if len(names) > limit {
		return invalid(field, "more than %d items", limit)
	}
	seen := make(map[string]bool, len(names))
	for i, n := range names {
		if err := validateName(indexed(field, i, ""), n); err != nil {
			return err
		}
		if seen[n] {
			return invalid(indexed(field, i, ""), "%q is listed twice", n)
		}
		seen[n] = true
	}
	return nil
}

// validateName accepts names that are safe in paths, logs and metric labels.
func validateName(field, name string) *fault.Error {
	if name == "" {
		return invalid(field, "missing")
	}
	if len(name) > maxNameLength {
		return invalid(field, "longer than %d bytes", maxNameLength)
	}
	if name == "." || name == ".." {
		return invalid(field, "%q has a meaning in paths", name)
	}
	for _, r := range name {
		if !isNameRune(r) {
			return invalid(field, "%q has characters other than letters, digits and . _ - / : @", name)
		}
	}
	return nil
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '.' || r == '_' || r == '-' || r == '/' || r == ':' || r == '@'
}

func isSHA256(s string) bool {
	if len(s) != sha256HexLength {
		return false
	}
	for _, r := range s {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') {
			return false
		}
	}
	return true
}

func atMost(field string, value, limit uint32) *fault.Error {
	if value > limit {
		return invalid(field, "%d is over the limit of %d", value, limit)
	}
	return nil
}

func invalid(field, format string, args ...any) *fault.Error {
	return fault.New(fault.Invalid, format, args...).WithField(field)
}

// indexed joins a list field, an index and a field of the item.
func indexed(list string, i int, field string) string {
	name := list + "[" + strconv.Itoa(i) + "]"
	if field == "" {
		return name
	}
	return name + "." + field
}

func utoa(v uint64) string { return strconv.FormatUint(v, 10) }
