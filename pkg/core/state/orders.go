package state

import (
	"slices"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// maxOrderHosts bounds the table of order epochs; the planned size is 11,000
// hosts.
const maxOrderHosts = 100_000

// OrderActions are the actions that an order may name.
var OrderActions = []string{"load_model", "unload_model", "load_adapter", "set_role", "drain", "resume"}

// order raises the epoch of the upstream, so that a later order fences it off.
func (s *Store) order(cmd *wirepb.Command, o *wirepb.OrderChange) *wirepb.CommandResult {
	err := s.checkOrder(o)
	record := &wirepb.AuditRecord{
		Action:   ActionOrder,
		Accepted: err == nil,
		Entries:  appendName(nil, "upstream", o.GetHost()),
		Comment:  truncate(describeOrder(o.GetOrder()), maxCommentLength),
	}
	if err != nil {
		record.Reason = truncate(err.Error(), maxCommentLength)
		s.record(cmd, record)
		return s.refuse(err)
	}
	s.orders[o.GetHost()]++
	s.record(cmd, record)
	return &wirepb.CommandResult{Revision: s.catalogue.revision, OrderEpoch: s.orders[o.GetHost()]}
}

func (s *Store) checkOrder(o *wirepb.OrderChange) *fault.Error {
	if err := validateName("host", o.GetHost()); err != nil {
		return err
	}
	if !slices.Contains(OrderActions, o.GetOrder().GetAction()) {
		return invalid("order.action", "%q is not an action", truncate(o.GetOrder().GetAction(), maxNameLength))
	}
	if _, known := s.orders[o.GetHost()]; !known && len(s.orders) >= maxOrderHosts {
		return fault.New(fault.Overloaded, "orders were given to %d hosts, which is the limit", maxOrderHosts)
	}
	return nil
}

func describeOrder(o *wirepb.Order) string {
	text := truncate(o.GetAction(), maxNameLength)
	for _, part := range []string{o.GetModel(), o.GetVersion(), o.GetAdapter(), o.GetRole()} {
		if part != "" {
			text += " " + part
		}
	}
	return text
}

// OrderEpoch returns the epoch of the newest order to the host.
func (s *Store) OrderEpoch(host string) uint64 { return s.orders[host] }
