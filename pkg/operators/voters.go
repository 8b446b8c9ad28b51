package operators

import "github.com/plantainstair/plantainstair/pkg/fault"

// voters handles GET /v1/voters.
func (a *api) voters(r *request) (any, error) {
	return a.service.Voters(r.Context())
}

// changeVoter handles POST /v1/voters.
func (a *api) changeVoter(r *request) (any, error) {
	req := &VoterRequest{}
	if err := decode(r.body, req); err != nil {
		return nil, err
	}
	if err := req.validate(); err != nil {
		return nil, err
	}
	return a.service.ChangeVoter(r.Context(), r.operator, req)
}

func (v *VoterRequest) validate() error {
	if err := checkRequestID(v.RequestID); err != nil {
		return err
	}
	if v.Action != AddVoter && v.Action != RemoveVoter && v.Action != ReplaceVoter {
		return fault.New(fault.Invalid, "%q is none of add, remove, replace", v.Action).WithField("action").WithOutcome(fault.NotRun)
	}
	if v.Voter.Value.GetId() == 0 {
		return missingField("voter.id")
	}
	if v.Action == ReplaceVoter && v.OldID == 0 {
		return missingField("old")
	}
	if v.Action == RemoveVoter {
		return nil
	}
	if v.Voter.Value.GetPeerAddress() == "" {
		return missingField("voter.peer_address")
	}
	if v.Voter.Value.GetAdminAddress() == "" {
		return missingField("voter.admin_address")
	}
	return nil
}
