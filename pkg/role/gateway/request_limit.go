package gateway

import (
	"strconv"

	"github.com/plantainstair/plantainstair/pkg/instances"
	"github.com/plantainstair/plantainstair/pkg/logs"
)

// recordRequestLimit records the limit that an upstream names in a reply.
func (g *Gateway) recordRequestLimit(id string, reply *instances.Reply) {
	limit := reply.Metadata.RequestLimit
	if before := g.load.setRequestLimit(id, limit); before != limit {
		g.log.Info("Request limit changed.", logs.Str("upstream", id), logs.Str("per_second", formatRate(limit)), logs.Str("before", formatRate(before)))
	}
}

func formatRate(perSecond float64) string { return strconv.FormatFloat(perSecond, 'f', 2, 64) }
