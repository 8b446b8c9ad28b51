package state

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// maxRequestIDs limits the table of request IDs. At 33,000 changes a day it holds a
// week. When it is full, new requests are refused: dropping an ID before the horizon
// could execute a repeated request twice.
const maxRequestIDs = 262_144

type requestKey struct{ operator, id string }

type dedupTable struct {
	records     map[requestKey]*wirepb.DedupRecord
	oldestFirst []*wirepb.DedupRecord // ordered by log time
}

func newDedupTable() dedupTable {
	return dedupTable{records: make(map[requestKey]*wirepb.DedupRecord)}
}

func (d *dedupTable) full() bool { return len(d.records) >= maxRequestIDs }

// find returns the recorded outcome of the request, or nil. The same request ID
// with another body is a conflict.
func (d *dedupTable) find(cmd *wirepb.Command) (*wirepb.CommandResult, *fault.Error) {
	r, ok := d.records[requestKey{cmd.GetOperator(), cmd.GetRequestId()}]
	if !ok {
		return nil, nil
	}
	if r.Digest != bodyDigest(cmd) {
		err := fault.New(fault.Conflict, "request id %q was used for another request", cmd.GetRequestId())
		return nil, err.WithField("request_id")
	}
	return r.Result, nil
}

func (d *dedupTable) record(cmd *wirepb.Command, now int64, result *wirepb.CommandResult) {
	d.add(&wirepb.DedupRecord{
		Operator:   cmd.GetOperator(),
		RequestId:  cmd.GetRequestId(),
		TimeUnixMs: now,
		Digest:     bodyDigest(cmd),
		Result:     result,
	})
}

func (d *dedupTable) add(r *wirepb.DedupRecord) {
	d.records[requestKey{r.Operator, r.RequestId}] = r
	d.oldestFirst = append(d.oldestFirst, r)
}

// purge drops outcomes that were recorded before the given log time.
func (d *dedupTable) purge(before int64) {
	for len(d.oldestFirst) > 0 && d.oldestFirst[0].TimeUnixMs < before {
		r := d.oldestFirst[0]
		delete(d.records, requestKey{r.Operator, r.RequestId})
		d.oldestFirst[0] = nil
		d.oldestFirst = d.oldestFirst[1:]
	}
}

// bodyDigest returns a hash of the body of a command, without its proposal time.
// The messages have no map fields, so their encoding is deterministic.
func bodyDigest(cmd *wirepb.Command) uint64 {
	body := &wirepb.Command{Body: cmd.Body}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(body)
	if err != nil {
		return 0 // not reached: the command was decoded from this encoding
	}
	return xxhash.Sum64(b)
}

func cloneResult(r *wirepb.CommandResult) *wirepb.CommandResult { return proto.CloneOf(r) }
