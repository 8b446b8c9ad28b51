package callers

import "github.com/plantainstair/plantainstair/pkg/wire/wirepb"

// checkTier rejects unknown service tiers.
func (q *chatRequest) checkTier() error {
	switch q.ServiceTier {
	case "", "auto", "priority", "default", "flex":
		return nil
	}
	return invalidField("service_tier", "service_tier must be auto, priority, default or flex")
}

// effectiveRank lowers the caller's highest rank to that of the requested tier. A
// requested tier above the highest rank has no effect.
func effectiveRank(maxRank wirepb.Rank, tier string) wirepb.Rank {
	requestedRank := maxRank
	switch tier {
	case "priority":
		requestedRank = wirepb.Rank_RANK_URGENT
	case "default":
		requestedRank = wirepb.Rank_RANK_STANDARD
	case "flex":
		requestedRank = wirepb.Rank_RANK_BATCH
	}
	return max(maxRank, requestedRank) // a larger value is a lower rank
}

// serviceTier returns the service tier that corresponds to a rank.
func serviceTier(r wirepb.Rank) string {
	switch r {
	case wirepb.Rank_RANK_URGENT:
		return "priority"
	case wirepb.Rank_RANK_STANDARD:
		return "default"
	}
	return "flex"
}
