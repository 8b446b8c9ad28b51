package operators

import "math"

const (
	defaultPageSize = 100
	maxPageSize     = 1000
)

// history handles GET /v1/history?after=&limit=.
func (a *api) history(r *request) (any, error) {
	after, limit, err := pageParameters(r)
	if err != nil {
		return nil, err
	}
	return a.service.History(r.Context(), after, limit)
}

func pageParameters(r *request) (after uint64, limit int, err error) {
	if after, err = queryUint(r, "after", 0, math.MaxUint64-1); err != nil {
		return 0, 0, err
	}
	n, err := queryUint(r, "limit", defaultPageSize, maxPageSize)
	return after, int(n), err
}
