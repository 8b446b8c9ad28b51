package operators

// audit handles GET /v1/audit?after=&limit=.
func (a *api) audit(r *request) (any, error) {
	after, limit, err := pageParameters(r)
	if err != nil {
		return nil, err
	}
	return a.service.Audit(r.Context(), after, limit)
}
