// Package event defines the numbered log events. Numbers are stable: a number is
// never reused for another meaning. docs/EVENTS.md lists all events.
package event

import (
	"context"
	"log/slog"
)

// ID is the number of a log event.
type ID uint16

// Log events. The thousands group them: 1xxx process, 2xxx jobs, 3xxx
// minions, 4xxx peers, 5xxx control and store, 6xxx HTTP.
const (
	Started           ID = 1001
	StopRequested     ID = 1002
	Stopped           ID = 1003
	StopTimedOut      ID = 1004
	SettingsRefused   ID = 1005
	InvariantBroken   ID = 1006
	RingFull          ID = 1007
	SpanExportFailed  ID = 1008
	TraceRecordFailed ID = 1009
	LogLinesDropped   ID = 1010
	SettingsReloaded  ID = 1011

	JobRefused           ID = 2001
	JobEnded             ID = 2002
	TaskStartRefused     ID = 2003
	TaskStartUnknown     ID = 2004
	AnswerMismatch       ID = 2005
	RetryBudgetExhausted ID = 2006

	MinionAnnounced ID = 3001
	MinionLeft      ID = 3002
	MinionExpired   ID = 3003
	MinionEjected   ID = 3004
	MinionRestored  ID = 3005

	PoolJobEnded          ID = 2101
	PoolStartUnknown      ID = 2102
	PoolStartRefused      ID = 2103
	PoolRunMoved          ID = 2104
	PoolJobQueued         ID = 2105
	PoolTaskStarted       ID = 2106
	PoolRunAdopted        ID = 2107
	PoolRunUnsuccessful   ID = 2108
	EntryJobAccepted      ID = 2110
	EntryJobUnsuccessful  ID = 2111
	EntryJobOffered       ID = 2112
	EntryJobReoffered     ID = 2113
	EntryRequestInvalid   ID = 2114
	EntryJobSucceeded     ID = 2115
	PoolEvacuated         ID = 2130
	PoolJobReturned       ID = 2131
	PoolMinionCold        ID = 2132
	PoolMinionWarm        ID = 2133
	EntryOfferWithdrawn   ID = 2140
	EntryJobNotStarted    ID = 2141
	JobDeleted            ID = 2150
	PoolMinionDraining    ID = 3101
	PoolMinionRestarted   ID = 3102
	PoolMinionUnreachable ID = 3103
	PoolMinionReachable   ID = 3104
	PoolLeaseExpired      ID = 3105
	PoolTokenSuperseded   ID = 3108
	PoolStartOverdue      ID = 3109
	ShardClaimed          ID = 3111
	ShardReleased         ID = 3112
	AnnouncementChanged   ID = 3113
	AnnouncementInvalid   ID = 3114
	MinionAnswerInvalid   ID = 3115
	CellLayoutChanged     ID = 3116
	OfferStale            ID = 3117
	PoolMinionOverloaded  ID = 3118
	InterferenceBegan     ID = 3130
	InterferenceEnded     ID = 3131
	KindSpeedChanged      ID = 3132

	ShardHandOver      ID = 4130
	ShardHandOverEnded ID = 4131
	ShardLayoutPlanned ID = 4132
	ShardLayoutMade    ID = 4133
	ShardFinishing     ID = 4134

	PeerUp         ID = 4001
	PeerDown       ID = 4002
	PeerRejected   ID = 4003
	HostsChanged   ID = 4004
	HostSuspended  ID = 4005
	MessageRefused ID = 4006
	OverloadBegan  ID = 4140
	OverloadEnded  ID = 4141

	ConfigApplied    ID = 5001
	StoreCorrupt     ID = 5002
	StoreWriteError  ID = 5003
	VotingStopped    ID = 5004
	ChangeAccepted   ID = 5005
	PlanConfirmed    ID = 5006
	DiskOpened       ID = 5007
	ConfigUnreadable ID = 5008
	DocumentRefused  ID = 5009
	NoMajority       ID = 5010

	MinionsRestored   ID = 5011
	MinionsUnreadable ID = 5012
	MinionsNotSaved   ID = 5013
	StoreUnreadable   ID = 5014
	StoreRecovered    ID = 5015
	MajorityMissing   ID = 5016

	EvacuationsApplied ID = 5030
	EvacuationOrdered  ID = 5031
	EvacuationRefused  ID = 5032

	RequestPanicked   ID = 6001
	ServerFailed      ID = 6002
	ConnectionRefused ID = 6003
)

// Info describes one event.
type Info struct {
	ID      ID
	Level   slog.Level
	Message string
	Advice  string // what an operator should do
}

var table = []Info{
	{Started, slog.LevelInfo, "daemon started", "None."},
	{StopRequested, slog.LevelInfo, "graceful shutdown began", "None."},
	{Stopped, slog.LevelInfo, "daemon stopped", "None."},
	{StopTimedOut, slog.LevelWarn, "graceful shutdown timed out with requests in progress", "Raise stop_timeout_ms, or drain before stopping."},
	{SettingsRefused, slog.LevelError, "settings refused", "Fix what the error names, then start or reload again."},
	{InvariantBroken, slog.LevelError, "invariant broken", "Report it with the log and the trace; the affected job was answered as may have run."},
	{RingFull, slog.LevelWarn, "ring full", "See docs/LIMITS.md for the ring's bound."},
	{SpanExportFailed, slog.LevelWarn, "span export failed", "Check the collector's address and the span file's disk."},
	{TraceRecordFailed, slog.LevelWarn, "trace recording ended", "The file is full or its disk failed; collect the recorded part and name another file."},
	{LogLinesDropped, slog.LevelWarn, "log lines dropped", "None; the event counters include them."},
	{SettingsReloaded, slog.LevelInfo, "settings reloaded", "None."},
	{JobRefused, slog.LevelDebug, "job refused", "See the result code."},
	{JobEnded, slog.LevelDebug, "job ended", "None."},
	{TaskStartRefused, slog.LevelDebug, "minion refused a task before its start", "None; the task is retried under the retry budget."},
	{TaskStartUnknown, slog.LevelWarn, "task start or outcome unknown", "Check the named minion; the job was answered as may have run."},
	{AnswerMismatch, slog.LevelError, "minion answered with another task's identity", "Drain the named minion and report it to its team."},
	{RetryBudgetExhausted, slog.LevelWarn, "retry budget exhausted", "Check the minions that refuse starts."},
	{MinionAnnounced, slog.LevelInfo, "minion announced", "None."},
	{MinionLeft, slog.LevelInfo, "minion left", "None."},
	{MinionExpired, slog.LevelWarn, "minion lease expired", "Check the minion's process and its network."},
	{MinionEjected, slog.LevelWarn, "minion ejected for failures or slowness", "Check the minion; it is probed with single tasks."},
	{MinionRestored, slog.LevelInfo, "ejected minion restored", "None."},
	{PoolJobEnded, slog.LevelInfo, "dispatched job ended", "The reason names the cause; OPERATIONS.md describes how to trace a job."},
	{PoolStartUnknown, slog.LevelWarn, "no answer to a start", "None; a listing under a newer token shows whether the minion carried it out."},
	{PoolStartRefused, slog.LevelInfo, "minion refused a start", "Check the named minion if it refuses repeatedly."},
	{PoolRunMoved, slog.LevelInfo, "stuck or slow run stopped to repeat it on another minion", "Check the named minion if this recurs."},
	{PoolJobQueued, slog.LevelInfo, "job queued", "None."},
	{PoolTaskStarted, slog.LevelInfo, "task sent to a minion", "None."},
	{PoolRunAdopted, slog.LevelInfo, "run of an earlier dispatcher adopted", "None."},
	{PoolRunUnsuccessful, slog.LevelInfo, "run ended without success", "Check the named minion if this recurs."},
	{EntryJobAccepted, slog.LevelInfo, "caller's request accepted", "None."},
	{EntryJobUnsuccessful, slog.LevelInfo, "job answered without success", "The reason names the cause."},
	{EntryJobOffered, slog.LevelInfo, "job offered to a dispatcher", "None."},
	{EntryJobReoffered, slog.LevelInfo, "job offered to another dispatcher", "None."},
	{EntryRequestInvalid, slog.LevelInfo, "caller's request refused as invalid", "Report the error to the caller's team."},
	{EntryJobSucceeded, slog.LevelInfo, "job answered with success", "None."},
	{PoolEvacuated, slog.LevelInfo, "evacuation of claimed minions changed", "None. Its jobs without a start were returned to their entry hosts."},
	{PoolJobReturned, slog.LevelInfo, "job returned after its runs had ended in an evacuated failure domain", "None; another failure domain continues it."},
	{PoolMinionCold, slog.LevelInfo, "minion is cold after its start", "None; it gets little work until the time that it announces."},
	{PoolMinionWarm, slog.LevelInfo, "minion is no longer cold", "None."},
	{EntryOfferWithdrawn, slog.LevelInfo, "offer withdrawn from a dispatcher", "If frequent, look at the dispatcher's load and link."},
	{EntryJobNotStarted, slog.LevelInfo, "job of an unavailable dispatcher has not started", "None: it is refused or offered elsewhere."},
	{JobDeleted, slog.LevelInfo, "job deleted by its caller", "None."},
	{PoolMinionDraining, slog.LevelInfo, "minion draining", "None."},
	{PoolMinionRestarted, slog.LevelInfo, "minion restarted", "None."},
	{PoolMinionUnreachable, slog.LevelWarn, "minion unreachable", "Check the minion's process and its network."},
	{PoolMinionReachable, slog.LevelInfo, "minion reachable", "None."},
	{PoolLeaseExpired, slog.LevelWarn, "lease of an unreachable minion expired", "None; its tasks run on other minions."},
	{PoolTokenSuperseded, slog.LevelWarn, "minion has accepted a newer fencing token", "None; another host dispatches to it now."},
	{PoolStartOverdue, slog.LevelInfo, "start overdue, minion polled", "None."},
	{ShardClaimed, slog.LevelInfo, "shard claimed", "None."},
	{ShardReleased, slog.LevelInfo, "shard released", "None."},
	{AnnouncementChanged, slog.LevelInfo, "minion's announcement changed", "None."},
	{AnnouncementInvalid, slog.LevelWarn, "announcement refused as invalid", "Check the sender."},
	{MinionAnswerInvalid, slog.LevelWarn, "minion's answer invalid", "Check the minion's release."},
	{CellLayoutChanged, slog.LevelInfo, "cell layout of the failure domain changed", "None."},
	{OfferStale, slog.LevelInfo, "stale job offer not accepted", "None; its sender is told that it has not run, if its age is known. Many at a time: a link or a processor on its way is full."},
	{PoolMinionOverloaded, slog.LevelError, "runs exceed the minion's capacity", "Report it with the logs; OPERATIONS.md describes what its attributes tell."},
	{InterferenceBegan, slog.LevelInfo, "tasks of a queue take longer beside those of another", "None; they are kept apart where that costs nothing. OPERATIONS.md says what follows for the minions' capacity."},
	{InterferenceEnded, slog.LevelInfo, "tasks of a queue no longer take longer beside those of another", "None."},
	{KindSpeedChanged, slog.LevelInfo, "tasks of a queue take another time on a kind of minions", "None; time_pct is the time in percent of that on all minions, and placement follows it. If it is unexpected, look at these minions."},
	{ShardHandOver, slog.LevelInfo, "shard offered to another host", "None; minions and carries tell what this host held and can dispatch for."},
	{ShardHandOverEnded, slog.LevelWarn, "no host has claimed the offered shard", "Check the host that should have: it was without a shard. The shard is offered again after 10 s."},
	{ShardLayoutPlanned, slog.LevelInfo, "new shard layout announced", "None; carries has the number of minions that each host of the cell can dispatch for."},
	{ShardLayoutMade, slog.LevelInfo, "new shard layout made", "Jobs that were in progress then (jobs) are adopted as far as their tasks run on minions of one new shard."},
	{ShardFinishing, slog.LevelInfo, "shard takes no new jobs before a new layout", "None."},
	{PeerUp, slog.LevelInfo, "peer host reachable", "None."},
	{PeerDown, slog.LevelWarn, "peer host unreachable", "Check the host and the network between the two."},
	{PeerRejected, slog.LevelWarn, "peer connection rejected", "Check the peer's settings: name, failure domain and protocol version."},
	{HostsChanged, slog.LevelInfo, "list of hosts changed", "None."},
	{HostSuspended, slog.LevelWarn, "host was suspended or got no processor time", "Check the machine; the host's open jobs were abandoned and its shards released."},
	{MessageRefused, slog.LevelWarn, "message of another host refused", "Compare the releases of the two hosts. The message is dropped, and the connection stays."},
	{OverloadBegan, slog.LevelWarn, "this host is overloaded and refuses work", "If it lasts, look at the host's processor share and link, and at the minions per shard."},
	{OverloadEnded, slog.LevelInfo, "this host is no longer overloaded", "None."},
	{ConfigApplied, slog.LevelInfo, "configuration version applied", "None."},
	{StoreCorrupt, slog.LevelError, "durable file corrupt", "Replace the disk or clear the data folder, then admit the control host again."},
	{StoreWriteError, slog.LevelError, "durable write failed", "Check the disk's space and health."},
	{VotingStopped, slog.LevelError, "control host stopped voting", "After 5003 it votes again once its disk takes writes (5015). Otherwise repair its disk, restart the host and admit it again."},
	{ChangeAccepted, slog.LevelInfo, "configuration change accepted", "None."},
	{PlanConfirmed, slog.LevelInfo, "plan confirmed", "None."},
	{DiskOpened, slog.LevelInfo, "data folder opened", "None; a new disk votes once a configuration change has admitted its identity."},
	{ConfigUnreadable, slog.LevelError, "configuration version unreadable", "Install the release that the other hosts run; the previous version remains applied."},
	{DocumentRefused, slog.LevelInfo, "operator's document refused", "Fix what the error names and send it again."},
	{NoMajority, slog.LevelWarn, "no majority of the control hosts answered in time", "Check the control hosts and the network between them."},
	{MinionsRestored, slog.LevelInfo, "known minions read from the disk", "None."},
	{MinionsUnreadable, slog.LevelWarn, "known minions on the disk can't be read", "None; minions are learned as they announce themselves. Check the disk."},
	{MinionsNotSaved, slog.LevelWarn, "known minions not saved", "Check the disk and its free space; until a write succeeds, minions are learned as they announce themselves after a restart of all control hosts."},
	{StoreUnreadable, slog.LevelError, "durable file can't be read", "Check the disk's health; restart the host once the disk can be read."},
	{StoreRecovered, slog.LevelInfo, "durable write succeeded again", "None."},
	{MajorityMissing, slog.LevelWarn, "too few control hosts confirmed a change or a read", "Look at the hosts that its answers name: no answer, a disk that refuses writes or is not in the group, an older version, or an undecided change."},
	{EvacuationsApplied, slog.LevelInfo, "evacuated failure domains changed", "Compare known_age_ms over all hosts: a host with a high age has lost contact to the control hosts."},
	{EvacuationOrdered, slog.LevelInfo, "order about an evacuation acknowledged", "None."},
	{EvacuationRefused, slog.LevelWarn, "order about an unknown failure domain refused", "Compare the name with the setting failure_domains."},
	{RequestPanicked, slog.LevelError, "request handler panicked", "Report it with the log."},
	{ServerFailed, slog.LevelError, "listener failed", "Check the address in the settings."},
	{ConnectionRefused, slog.LevelWarn, "connection refused, max_connections reached", "Find the clients with many connections, or raise max_connections."},
}

// Key is the key of the attribute that holds an event's number. Log writes it as
// the first attribute of a line.
const Key = "event"

var byID = indexTable()

func indexTable() map[ID]*Info {
	m := make(map[ID]*Info, len(table))
	for i := range table {
		m[table[i].ID] = &table[i]
	}
	return m
}

// Table returns all events, in the order of docs/EVENTS.md.
func Table() []Info { return append([]Info(nil), table...) }

// Log writes event id with its level and message from the table. An event that is
// missing from the table is logged as an error.
func Log(ctx context.Context, l *slog.Logger, id ID, attrs ...slog.Attr) {
	info, ok := byID[id]
	if !ok {
		info = &Info{ID: id, Level: slog.LevelError, Message: "event missing from the table"}
	}
	if !l.Enabled(ctx, info.Level) {
		return
	}
	all := make([]slog.Attr, 0, len(attrs)+1)
	all = append(all, slog.Uint64(Key, uint64(id)))
	all = append(all, attrs...)
	l.LogAttrs(ctx, info.Level, info.Message, all...)
}
