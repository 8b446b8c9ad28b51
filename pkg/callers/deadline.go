package callers

import (
	"net/http"
	"strconv"
	"time"

	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// MaxDeadline is the largest value accepted in the header Plantain-Deadline-Ms.
const MaxDeadline = time.Hour

// forRank returns the default deadline of a rank.
func (d Deadlines) forRank(rank wirepb.Rank) time.Duration {
	switch rank {
	case wirepb.Rank_RANK_URGENT:
		return d.Urgent
	case wirepb.Rank_RANK_STANDARD:
		return d.Standard
	}
	return d.Batch
}

// deadline returns the deadline from the request header, or the default deadline
// of the request's rank.
func (a *api) deadline(x *exchange, r *http.Request) (time.Time, error) {
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return x.started.Add(a.opts.Deadlines.forRank(x.rank)), nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil || ms == 0 || ms > uint64(MaxDeadline/time.Millisecond) {
		return time.Time{}, invalidField(headerDeadline, "deadline must be a number of milliseconds from 1 to %d", MaxDeadline/time.Millisecond)
	}
	return x.started.Add(time.Duration(ms) * time.Millisecond), nil
}
