package operators

// status handles GET /v1/status. It works without a quorum.
func (a *api) status(r *request) (any, error) {
	return a.service.Status(r.Context())
}
