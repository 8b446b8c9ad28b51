package wire_test

import (
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const (
	benchSession     = "0190a5b2-7c3d-7e4f-8a5b-0123456789ab"
	benchHost        = "host-10234"
	benchAddress     = "10.12.134.21:7401"
	benchTimeUnixMs  = 1_700_000_000_000
	frameHeaderBytes = 4
)

// discardConn discards writes.
type discardConn struct{ net.Conn }

func (discardConn) Write(b []byte) (int, error)      { return len(b), nil }
func (discardConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (discardConn) SetWriteDeadline(time.Time) error { return nil }

func benchmarkWrite(b *testing.B, name string, f *wirepb.Frame) {
	b.Run(name, func(b *testing.B) {
		s := wire.NewStream(discardConn{}, 0)
		for b.Loop() {
			assert.NilError(b, s.Write(f))
		}
		b.ReportMetric(float64(frameHeaderBytes+proto.Size(f)), "wire-B")
	})
}

func benchStages(n int) []*wirepb.StageRef {
	out := make([]*wirepb.StageRef, n)
	for i := range out {
		out[i] = &wirepb.StageRef{Host: benchHost, Address: benchAddress, Incarnation: benchTimeUnixMs * 1_000_000, FirstLayer: 27, LastLayer: 53}
	}
	return out
}

func benchAnnouncement(models int) *wirepb.Announcement {
	a := &wirepb.Announcement{Host: benchHost, DataCentre: "dc-11", Region: "region-3", AgentAddress: benchAddress,
		Incarnation: benchTimeUnixMs * 1_000_000, Kind: "engine", Accelerator: "kind-7", Slots: 52, KvTokens: 2_000_000,
		ChecksFencing: true, OrderEpoch: 1234, State: "serving"}
	for range models {
		a.Models = append(a.Models, &wirepb.ModelHeld{Model: "model-27-instruct", Version: "2026-11-03", FirstLayer: 27, LastLayer: 53, Adapters: []string{"defects-v4"}})
	}
	return a
}

func benchLoadReport(prefixes, links int) *wirepb.LoadReport {
	r := &wirepb.LoadReport{Sequence: 123_456, Host: benchHost, Incarnation: benchTimeUnixMs * 1_000_000, Slots: 52, Running: 47,
		TokensPerSecond: 1454.5, FirstTokenMsP50: 180, InterTokenUsP50: 31_000, Revision: 1_234_567,
		EngineRunning: 47, EngineQueued: 3, EngineKvFreeTokens: 812_345, EngineAgeMs: 240}
	for rank := range 3 {
		r.Ranks = append(r.Ranks, &wirepb.RankLoad{Rank: wirepb.Rank(rank + 1), Queued: 12, QueuedTokens: 4_321, Running: 15, EstimatedWaitMs: 240})
	}
	for i := range prefixes {
		r.Prefixes = append(r.Prefixes, uint64(i+1)*0x9E3779B97F4A7C15)
	}
	for range links {
		r.Links = append(r.Links, &wirepb.PeerLink{Host: benchHost, RoundTripUs: 350})
	}
	return r
}

func benchOrganisations(n int) []*wirepb.Entry {
	out := make([]*wirepb.Entry, n)
	for i := range out {
		out[i] = &wirepb.Entry{Kind: "organisation", Name: "organisation-2345", Owner: "platform-team", Class: "standard", Revision: 1_234_567,
			Limits:       &wirepb.Limits{ConcurrentRequests: 100, TokensPerSecond: 10_000, QueuedRequests: 50, BodyBytes: 1 << 20},
			Organisation: &wirepb.OrganisationSpec{KeySha256: []string{fmt.Sprintf("%064x", 2*i), fmt.Sprintf("%064x", 2*i+1)}, Weight: 10}}
	}
	return out
}

func benchClaim() *wirepb.ClaimRequest {
	return &wirepb.ClaimRequest{Organisation: "organisation-2345", Service: "certificate-filing", Key: benchSession,
		KeyCreatedUnixMs: benchTimeUnixMs, Attempt: benchSession, RequestDigest: make([]byte, 32), Host: benchHost}
}

// benchFixedSize returns one frame of each message kind whose size varies little,
// by the name of its benchmark.
func benchFixedSize() map[string]*wirepb.Frame {
	claim := benchClaim()
	call := &wirepb.CallRequest{RequestId: benchSession, Organisation: "organisation-2345", Rank: 2, DeadlineMs: 2000, Service: "certificate-filing",
		Method: "POST", Path: "/filings", Headers: []*wirepb.Header{{Name: "Content-Type", Value: "application/json"}}, Body: make([]byte, 500),
		IdempotencyKey: benchSession, KeyCreatedUnixMs: benchTimeUnixMs, Revision: 1_234_567, Weight: 10}
	response := &wirepb.CallResponse{RequestId: benchSession, Status: 200, Headers: call.Headers, Body: make([]byte, 400)}
	result := &wirepb.CommandResult{Index: 123_456_789, Claim: &wirepb.ClaimReply{Status: "won", Attempt: benchSession}}
	command := &wirepb.Command{RequestId: benchSession, TimeUnixMs: benchTimeUnixMs, Body: &wirepb.Command_Claim{Claim: claim}}
	fault := &wirepb.Error{Kind: "unavailable", Message: "stage 2 of 3 ended its stream", Outcome: 2, RetryAfterMs: 100, FailedStage: 2, Position: 17}
	return map[string]*wirepb.Frame{
		"hello":         {Body: &wirepb.Frame_Hello{Hello: &wirepb.Hello{MinVersion: 1, MaxVersion: 1, Role: "entry", Host: benchHost, DataCentre: "dc-11", Incarnation: benchTimeUnixMs * 1_000_000, Nonce: make([]byte, 32), KeyId: "2026-11"}}},
		"hello_reply":   {Body: &wirepb.Frame_HelloReply{HelloReply: &wirepb.HelloReply{Version: 1, Role: "agent", Host: benchHost, DataCentre: "dc-11", Incarnation: benchTimeUnixMs * 1_000_000, Nonce: make([]byte, 32), Mac: make([]byte, 32)}}},
		"hello_confirm": {Body: &wirepb.Frame_HelloConfirm{HelloConfirm: &wirepb.HelloConfirm{Mac: make([]byte, 32)}}},
		"error":         {Body: &wirepb.Frame_Error{Error: fault}},
		"cancel":        {Body: &wirepb.Frame_Cancel{Cancel: &wirepb.Cancel{}}},
		"stage_open": {Body: &wirepb.Frame_StageOpen{StageOpen: &wirepb.StageOpen{Session: benchSession, Epoch: 1, Organisation: "organisation-2345", Rank: 2, DeadlineMs: 380,
			Model: "model-27-instruct", Version: "2026-11-03", Seed: benchTimeUnixMs, Index: 1, Stages: benchStages(2), Weight: 10, CostTokens: 1100, Prefixes: benchLoadReport(50, 0).Prefixes}}},
		"stage_ready":     {Body: &wirepb.Frame_StageReady{StageReady: &wirepb.StageReady{CachedTokens: 400}}},
		"call":            {Body: &wirepb.Frame_Call{Call: call}},
		"call_response":   {Body: &wirepb.Frame_CallResponse{CallResponse: response}},
		"load_watch":      {Body: &wirepb.Frame_LoadWatch{LoadWatch: &wirepb.LoadWatch{IntervalMs: 100}}},
		"watch":           {Body: &wirepb.Frame_Watch{Watch: &wirepb.WatchRequest{Role: "entry", Host: benchHost, Revision: 1_234_567, Upstreams: true}}},
		"leave":           {Body: &wirepb.Frame_Leave{Leave: &wirepb.Leave{Reason: "shutdown"}}},
		"order_result":    {Body: &wirepb.Frame_OrderResult{OrderResult: &wirepb.OrderResult{Id: benchSession, Epoch: 1234}}},
		"claim_release":   {Body: &wirepb.Frame_ClaimRelease{ClaimRelease: &wirepb.ClaimRelease{Claim: claim}}},
		"claim_read":      {Body: &wirepb.Frame_ClaimRead{ClaimRead: &wirepb.ClaimRead{Claim: claim, WaitMs: 2000}}},
		"forward":         {Body: &wirepb.Frame_Forward{Forward: &wirepb.Forward{Command: command}}},
		"forward_reply":   {Body: &wirepb.Frame_ForwardReply{ForwardReply: &wirepb.ForwardReply{Result: result}}},
		"token":           {Body: &wirepb.Frame_Token{Token: &wirepb.Token{Session: benchSession, Epoch: 1, Position: 300, Id: 3_123_456_789}}},
		"generate_done":   {Body: &wirepb.Frame_GenerateDone{GenerateDone: &wirepb.GenerateDone{FinishReason: "length", PromptTokens: 800, CachedTokens: 400, CompletionTokens: 239, QueuedMs: 20}}},
		"stage_result":    {Body: &wirepb.Frame_StageResult{StageResult: &wirepb.StageResult{Epoch: 1, Position: 1100, Token: 3_123_456_789}}},
		"ping":            {Body: &wirepb.Frame_Ping{Ping: &wirepb.Ping{Sequence: 123_456, AppliedRevision: 1_234_567}}},
		"current":         {Body: &wirepb.Frame_Current{Current: &wirepb.Current{Sequence: 123_456, Revision: 1_234_567, LiveEntries: 2100}}},
		"heartbeat":       {Body: &wirepb.Frame_Heartbeat{Heartbeat: &wirepb.Heartbeat{Sequence: 123_456, Revision: 1_234_567}}},
		"heartbeat_reply": {Body: &wirepb.Frame_HeartbeatReply{HeartbeatReply: &wirepb.HeartbeatReply{Sequence: 123_456, LiveEntries: 2100, OrderEpoch: 1234, OrderEpochRead: true}}},
		"claim":           {Body: &wirepb.Frame_Claim{Claim: claim}},
		"claim_reply":     {Body: &wirepb.Frame_ClaimReply{ClaimReply: &wirepb.ClaimReply{Status: "won", Attempt: benchSession}}},
		"order":           {Body: &wirepb.Frame_Order{Order: &wirepb.Order{Epoch: 1234, Id: benchSession, Action: "load_model", Model: "model-27-instruct", Version: "2026-11-03", FirstLayer: 27, LastLayer: 53}}},
	}
}

// BenchmarkMessage measures the encoding time of each message kind and its size
// on the stream, with the frame header and without the headers of lower layers.
func BenchmarkMessage(b *testing.B) {
	fixed := benchFixedSize()
	for _, name := range slices.Sorted(maps.Keys(fixed)) {
		benchmarkWrite(b, name, fixed[name])
	}
	for _, n := range []int{100, 800, 4000} {
		prompt := make([]uint32, n)
		for i := range prompt {
			prompt[i] = uint32(i+1) * 2_654_435_761
		}
		benchmarkWrite(b, fmt.Sprintf("generate/prompt=%d", n), &wirepb.Frame{Body: &wirepb.Frame_Generate{Generate: &wirepb.GenerateRequest{
			Session: benchSession, Epoch: 1, Organisation: "organisation-2345", Rank: 2, DeadlineMs: 380, Model: "model-27-instruct",
			Version: "2026-11-03", Prompt: prompt, MaxTokens: 400, Seed: benchTimeUnixMs, Stages: benchStages(3), Revision: 1_234_567, Weight: 10}}})
	}
	for _, n := range []int{1, 8, 32, 64} {
		hidden := make([][]byte, n)
		for i := range hidden {
			hidden[i] = make([]byte, 8)
		}
		benchmarkWrite(b, fmt.Sprintf("stage_step/positions=%d", n), &wirepb.Frame{Body: &wirepb.Frame_StageStep{StageStep: &wirepb.StageStep{Epoch: 1, Position: 1100, Hidden: hidden}}})
		benchmarkWrite(b, fmt.Sprintf("load_report/prefixes=%d", n), &wirepb.Frame{Body: &wirepb.Frame_LoadReport{LoadReport: benchLoadReport(n, 8)}})
		benchmarkWrite(b, fmt.Sprintf("load_report/links=%d", n), &wirepb.Frame{Body: &wirepb.Frame_LoadReport{LoadReport: benchLoadReport(0, n)}})
	}
	for _, n := range []int{1, 4, 16} {
		benchmarkWrite(b, fmt.Sprintf("announcement/models=%d", n), &wirepb.Frame{Body: &wirepb.Frame_Register{Register: &wirepb.Register{Announcement: benchAnnouncement(n), Role: "agent"}}})
		benchmarkWrite(b, fmt.Sprintf("watch_event/organisations=%d", n), &wirepb.Frame{Body: &wirepb.Frame_WatchEvent{WatchEvent: &wirepb.WatchEvent{Revision: 1_234_567, Entries: benchOrganisations(n), LiveEntries: 2100}}})
	}
	claim := benchClaim()
	encoded, err := proto.Marshal(&wirepb.Command{RequestId: benchSession, TimeUnixMs: benchTimeUnixMs, Body: &wirepb.Command_Claim{Claim: claim}})
	assert.NilError(b, err)
	for _, n := range []int{0, 8, 64} {
		message := &wirepb.RaftMessage{Type: 3, From: 1, To: 2, Term: 12, LogIndex: 123_456_789, LogTerm: 12, Commit: 123_456_780, Member: benchTimeUnixMs << 20, Cluster: benchTimeUnixMs << 20}
		for i := range n {
			entry := &wirepb.LogEntry{Index: uint64(123_456_790 + i), Term: 12, Data: encoded}
			message.Entries = append(message.Entries, entry)
		}
		benchmarkWrite(b, fmt.Sprintf("raft/entries=%d", n), &wirepb.Frame{Body: &wirepb.Frame_Raft{Raft: message}})
	}
	for _, n := range []int{7, 70, 700} {
		status := &wirepb.PeerStatus{From: 1, Watchers: 4367, ConfirmedRevision: 1_234_567, Revision: 1_234_567, Entries: slices.Repeat([]string{benchHost}, n)}
		benchmarkWrite(b, fmt.Sprintf("peer_status/hosts=%d", n), &wirepb.Frame{Body: &wirepb.Frame_PeerStatus{PeerStatus: status}})
	}
	for _, n := range []int{1 << 10, 16 << 10, 256 << 10} {
		chunk := &wirepb.SnapshotChunk{Meta: &wirepb.SnapshotMeta{Index: 123_456_789, Term: 12, Size: 1 << 30}, From: 1, Term: 12, Offset: 1 << 28, Data: make([]byte, n)}
		benchmarkWrite(b, fmt.Sprintf("snapshot_chunk/data=%d", n), &wirepb.Frame{Body: &wirepb.Frame_SnapshotChunk{SnapshotChunk: chunk}})
	}
	for _, n := range []int{0, 1000, 16_000} {
		response := &wirepb.CallResponse{RequestId: benchSession, Status: 200, Body: make([]byte, n), Headers: []*wirepb.Header{{Name: "Content-Type", Value: "application/json"}}}
		benchmarkWrite(b, fmt.Sprintf("claim_resolve/body=%d", n), &wirepb.Frame{Body: &wirepb.Frame_ClaimResolve{ClaimResolve: &wirepb.ClaimResolve{Claim: claim, Response: response}}})
	}
}
