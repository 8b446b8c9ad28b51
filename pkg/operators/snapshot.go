package operators

// snapshot handles POST /v1/snapshot, which acts on the receiving replica.
func (a *api) snapshot(r *request) (any, error) {
	return a.service.Snapshot(r.Context())
}
