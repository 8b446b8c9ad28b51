package coordinators

import (
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against instances that remain in the view although the leader has sent all
// others, and against instances that are dropped while the leader still sends them.
func TestMergeInstances_FullUpdateDropsInstancesThatWereNotSent(t *testing.T) {
	update := func(full bool, ids ...string) *wirepb.FleetUpdate {
		u := &wirepb.FleetUpdate{Full: full}
		for _, id := range ids {
			u.Instances = append(u.Instances, &wirepb.Instance{Id: id})
		}
		return u
	}
	sentIDs := make(map[string]bool)
	view := mergeInstances(nil, update(true, "gone", "a", "b"), map[string]bool{})
	view = mergeInstances(view, update(false, "a"), sentIDs)
	assert.Equal(t, len(view), 3)
	view = mergeInstances(view, &wirepb.FleetUpdate{Removed: []string{"a"}}, sentIDs)
	view = mergeInstances(view, update(true, "c", "b"), sentIDs)
	assert.DeepEqual(t, slices.Sorted(maps.Keys(view)), []string{"b", "c"})
}
