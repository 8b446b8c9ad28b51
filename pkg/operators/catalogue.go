package operators

import "math"

// catalogue handles GET /v1/catalogue. With the query parameter "since" the
// response holds only the changes after that revision.
func (a *api) catalogue(r *request) (any, error) {
	since, err := queryUint(r, "since", 0, math.MaxUint64)
	if err != nil {
		return nil, err
	}
	if !r.URL.Query().Has("since") {
		return a.service.Catalogue(r.Context(), nil)
	}
	return a.service.Catalogue(r.Context(), &since)
}
