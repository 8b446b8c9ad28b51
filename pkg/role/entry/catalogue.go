package entry

import (
	"maps"
	"slices"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Authenticate returns the organisation that owns an API key, given the digest
// of the key. A known key is accepted even if the view is not confirmed as
// current; Generate and Call then refuse the request.
func (e *Entry) Authenticate(digest string) (*wirepb.Entry, error) {
	s := e.snapshot.Load()
	if s == nil {
		return nil, e.staleConfigError("configuration was not received yet")
	}
	org, ok := s.view.OrganisationsByKey[digest]
	if !ok {
		if _, err := e.confirmedSnapshot(); err != nil {
			return nil, err // a stale view may lack a new key
		}
		return nil, fault.New(fault.Unauthenticated, "API key is not known").WithField("Authorization")
	}
	return org, nil
}

// Model returns the catalogue entry of a model.
func (e *Entry) Model(name string) (*wirepb.Entry, bool) {
	m, ok := e.snapshot.Load().view.Models[name]
	return m, ok
}

// Models returns all models, sorted by name.
func (e *Entry) Models() []*wirepb.Entry {
	models := e.snapshot.Load().view.Models
	list := make([]*wirepb.Entry, 0, len(models))
	for _, name := range slices.Sorted(maps.Keys(models)) {
		list = append(list, models[name])
	}
	return list
}

// Service returns the catalogue entry of a service.
func (e *Entry) Service(name string) (*wirepb.Entry, bool) {
	s, ok := e.snapshot.Load().view.Services[name]
	return s, ok
}
