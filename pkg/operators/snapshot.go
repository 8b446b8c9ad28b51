package operators

// snapshot handles POST /v1/snapshot, which makes the receiving replica
// write a snapshot.
func (a *api) snapshot(r *request) (any, error) {
	return a.service.Snapshot(r.Context())
}
