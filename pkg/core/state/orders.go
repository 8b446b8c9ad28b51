package state

import (
	"slices"
	"strings"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// maxOrderHosts limits the table of order epochs; the planned size is 11,000 hosts.
const maxOrderHosts = 100_000

// OrderActions are the actions that an order may name.
var OrderActions = []string{"load_model", "unload_model", "load_adapter", "set_role", actionDrain, actionResume}

const (
	actionDrain  = "drain"
	actionResume = "resume"
)

// OrderState is the state that results from the orders to one host.
type OrderState struct {
	OrderEpoch uint64 // of the newest order
	Drained    bool   // whether the newest drain or resume order was a drain
}

// order records an order to a host and raises the order epoch of the host, so that the
// host rejects earlier orders.
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
		return s.errorResult(err)
	}
	next := s.orders[o.GetHost()].withOrder(o.GetOrder().GetAction())
	s.orders[o.GetHost()] = next
	s.record(cmd, record)
	return &wirepb.CommandResult{Revision: s.catalogue.revision, OrderEpoch: next.OrderEpoch}
}

// withOrder returns the state after one more order of the given action.
func (o OrderState) withOrder(action string) OrderState {
	o.OrderEpoch++
	switch action {
	case actionDrain:
		o.Drained = true
	case actionResume:
		o.Drained = false
	}
	return o
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

// LoadOrder is an accepted order to load weights.
type LoadOrder struct {
	Operator, RequestID string
	TimeUnixMs          int64
}

// LoadOrdersSince returns the accepted load orders since the given log time,
// newest first. They are read from the audit trail, which is ordered by time.
func (s *Store) LoadOrdersSince(unixMs int64) []LoadOrder {
	var out []LoadOrder
	for seq := s.audit.sequence; seq >= s.audit.oldest() && seq > 0; seq-- {
		r := s.audit.at(seq)
		if r.TimeUnixMs < unixMs {
			break
		}
		action, _, _ := strings.Cut(r.Comment, " ")
		if r.Action == ActionOrder && r.Accepted && IsLoadAction(action) {
			out = append(out, LoadOrder{r.Operator, r.RequestId, r.TimeUnixMs})
		}
	}
	return out
}

// IsLoadAction reports whether an order with this action loads weights from storage.
func IsLoadAction(action string) bool { return action == "load_model" || action == "load_adapter" }

// OrderState returns the state that results from the orders to the host.
func (s *Store) OrderState(host string) OrderState { return s.orders[host] }

// Drained returns the drained hosts, sorted by name.
func (s *Store) Drained() []string {
	var out []string
	for host, o := range s.orders {
		if o.Drained {
			out = append(out, host)
		}
	}
	slices.Sort(out)
	return out
}
