package replica

import "github.com/VictoriaMetrics/metrics"

var (
	metricLogWrite           = metrics.GetOrCreateHistogram("plantain_raft_log_write_seconds")
	metricProposals          = metrics.GetOrCreateCounter("plantain_raft_proposals_total")
	metricLeadershipWon      = metrics.GetOrCreateCounter("plantain_raft_leadership_won_total")
	metricLeadershipLost     = metrics.GetOrCreateCounter("plantain_raft_leadership_lost_total")
	metricSnapshotsTaken     = metrics.GetOrCreateCounter("plantain_raft_snapshots_taken_total")
	metricSnapshotsInstalled = metrics.GetOrCreateCounter("plantain_raft_snapshots_installed_total")
	metricSyncStalls         = metrics.GetOrCreateCounter("plantain_raft_sync_stalls_total")
	metricFailures           = metrics.GetOrCreateCounter("plantain_raft_failures_total")
)
