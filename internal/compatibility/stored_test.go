package compatibility_test

import (
	"bytes"
	"database/sql"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	_ "github.com/mattn/go-sqlite3"

	"cinderroad/internal/compatibility"
	"cinderroad/internal/dispatcher/cluster/auditlog"
	"cinderroad/internal/dispatcher/cluster/jobstate"
	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/dispatcher/linelog"
	"cinderroad/internal/dispatcher/requestlog"
	"cinderroad/internal/dispatcher/spool"
	"cinderroad/internal/dispatcher/telemetry"
	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/storage"
	"cinderroad/loadbalancer"
)

// expectEqual fails unless values are equal.
func expectEqual[T any](t *testing.T, what string, got, want T) {
	t.Helper()
	if d := cmp.Diff(want, got, addresses); d != "" {
		t.Errorf("%s: %s", what, d)
	}
}

// must returns a value, or fails the test if there is an error.
func must[T any](value T, err error) func(t *testing.T) T {
	return func(t *testing.T) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
}

var (
	voter    = consensus.Member{ID: 0x8000000000000001, Node: "core-1", Zone: "east-a", Address: "10.0.0.9:7660", Voter: true}
	learner  = consensus.Member{ID: 2, Node: "core-2", Zone: "east-b", Address: "10.0.0.8:7660"}
	outgoing = consensus.Member{ID: 3, Node: "core-3", Zone: "", Address: "10.0.0.7:7660", Outgoing: true}

	group    = consensus.Membership{Members: []consensus.Member{voter, learner, outgoing}}
	command  = consensus.Entry{Index: 300, Term: 5, Kind: consensus.EntryCommand, Data: []byte{1, 3, 0}}
	change   = consensus.Entry{Index: 301, Term: 6, Kind: consensus.EntryMembership, Data: consensus.EncodeMembership(group)}
	snapshot = consensus.Snapshot{Index: 299, Term: 4, Membership: group, Data: []byte("state")}
	hard     = consensus.HardState{Term: 6, Vote: 0x8000000000000001, Commit: 300}
)

// TestReadConsensusState checks the encodings that replicas store and those that are parts of messages.
func TestReadConsensusState(t *testing.T) {
	t.Run("membership", func(t *testing.T) {
		recorded := compatibility.SharedFolder.Check(t, "consensus/membership", consensus.EncodeMembership(group))
		expectEqual(t, "membership", must(consensus.DecodeMembership(recorded))(t), group)
	})
	t.Run("hard state", func(t *testing.T) {
		recorded := compatibility.SharedFolder.Check(t, "consensus/hard-state", consensus.EncodeHardState(hard))
		expectEqual(t, "hard state", must(consensus.DecodeHardState(recorded))(t), hard)
	})
	for name, entry := range map[string]consensus.Entry{"command": command, "change": change, "empty": {Index: 1, Term: 1}} {
		t.Run("entry "+name, func(t *testing.T) {
			recorded := compatibility.SharedFolder.Check(t, "consensus/entry-"+name, consensus.EncodeEntry(entry))
			expectEqual(t, "entry", must(consensus.DecodeEntry(recorded))(t), entry)
		})
	}
	t.Run("snapshot", func(t *testing.T) {
		recorded := compatibility.SharedFolder.Check(t, "consensus/snapshot", consensus.EncodeSnapshot(snapshot))
		expectEqual(t, "snapshot", must(consensus.DecodeSnapshot(recorded))(t), snapshot)
	})
}

// TestReadConsensusMessages checks a message of each kind.
func TestReadConsensusMessages(t *testing.T) {
	for name, message := range map[string]consensus.Message{
		"pre-vote":       {Kind: consensus.MessagePreVote, From: 1, To: 2, Term: 7, Index: 300, LogTerm: 6},
		"pre-vote-reply": {Kind: consensus.MessagePreVoteReply, From: 2, To: 1, Term: 7, Reject: true},
		"vote":           {Kind: consensus.MessageVote, From: 1, To: 2, Term: 7, Index: 300, LogTerm: 6, Force: true},
		"vote-reply":     {Kind: consensus.MessageVoteReply, From: 2, To: 1, Term: 7},
		"append": {
			Kind:    consensus.MessageAppend,
			From:    1,
			To:      2,
			Term:    7,
			Index:   299,
			LogTerm: 4,
			Commit:  298,
			Round:   9,
			Entries: []consensus.Entry{command, change},
		},
		"append-reply": {
			Kind:       consensus.MessageAppendReply,
			From:       2,
			To:         1,
			Term:       7,
			Index:      299,
			RejectHint: 250,
			Round:      9,
			Reject:     true,
		},
		"install-snapshot": {Kind: consensus.MessageInstallSnapshot, From: 1, To: 0x8000000000000001, Term: 7, Snapshot: &snapshot},
		"snapshot-reply":   {Kind: consensus.MessageInstallSnapshotReply, From: 2, To: 1, Term: 7, Index: 299},
		"timeout-now":      {Kind: consensus.MessageTimeoutNow, From: 1, To: 2, Term: 7},
	} {
		t.Run(name, func(t *testing.T) {
			recorded := compatibility.SharedFolder.Check(t, "consensus/message-"+name, consensus.EncodeMessage(message))
			expectEqual(t, name, must(consensus.DecodeMessage(recorded))(t), message)
		})
	}
}

// TestReadStoredReplicas checks recorded state folders of a process that was stopped and of one that was killed.
func TestReadStoredReplicas(t *testing.T) {
	fresh := filepath.Join(t.TempDir(), "fresh")
	written := writeStateFolder(t, fresh)
	for _, c := range []struct {
		name  string
		files []string
	}{{"stopped", []string{"consensus.db"}}, {"killed", []string{"consensus.db", "consensus.db-wal"}}} {
		t.Run(c.name, func(t *testing.T) {
			old := t.TempDir()
			for _, file := range c.files {
				recorded := compatibility.SharedFolder.Record(t, "storage/"+c.name+"/"+file, written[c.name+"/"+file])
				if err := os.WriteFile(filepath.Join(old, file), recorded, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			checkStoredReplicas(t, old)
			expectEqual(t, "tables", tables(t, filepath.Join(fresh, "consensus.db")), tables(t, filepath.Join(old, "consensus.db")))
		})
	}
}

// checkStoredReplicas reads a state folder that writeStateFolder has written.
func checkStoredReplicas(t *testing.T, folder string) {
	t.Helper()
	store := must(storage.Open(folder))(t)
	defer store.Close()
	if id, has := store.Identity(); !has || id != 0x8000000000000001 || store.HasPredecessor() {
		t.Errorf("replica %x, %v, of another %v", id, has, store.HasPredecessor())
	}
	for partition, want := range map[feed.Partition]consensus.PersistentState{
		0: {HardState: hard, Snapshot: snapshot, Entries: []consensus.Entry{command, change}},
		1: {
			HardState: consensus.HardState{Term: 1, Vote: 2, Commit: 1},
			Snapshot:  consensus.Snapshot{Membership: group},
			Entries:   []consensus.Entry{{Index: 1, Term: 1}},
		},
	} {
		got, found, err := store.Load(partition)
		if err != nil || !found {
			t.Fatalf("partition %d: found %v, %v", partition, found, err)
		}
		expectEqual(t, fmt.Sprint("partition ", partition), got, want)
	}
	if _, found, err := store.Load(2); found || err != nil {
		t.Errorf("partition 2: found %v, %v", found, err)
	}
}

// writeStateFolder makes a state folder and returns its files: as they were while the store was open, and once it was closed.
func writeStateFolder(t *testing.T, folder string) map[string][]byte {
	t.Helper()
	store := must(storage.Open(folder))(t)
	founding := storage.Update{
		Partition:         1,
		InstalledSnapshot: &consensus.Snapshot{Membership: group},
		HardState:         &consensus.HardState{Term: 1, Vote: 2, Commit: 1},
		Entries:           []consensus.Entry{{Index: 1, Term: 1}},
		CommitIndex:       1,
	}
	if err := store.Initialize(0x8000000000000001, founding); err != nil {
		t.Fatal(err)
	}
	if err := store.Write(storage.Update{
		Partition:         0,
		InstalledSnapshot: &snapshot,
		HardState:         &hard,
		Entries:           []consensus.Entry{command, change},
		CommitIndex:       300,
	}); err != nil {
		t.Fatal(err)
	}
	files := map[string][]byte{}
	for _, file := range []string{"consensus.db", "consensus.db-wal"} {
		files["killed/"+file] = must(os.ReadFile(filepath.Join(folder, file)))(t)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	files["stopped/consensus.db"] = must(os.ReadFile(filepath.Join(folder, "consensus.db")))(t)
	return files
}

// tables returns the schema and the rows of a database file as text.
func tables(t *testing.T, path string) []string {
	t.Helper()
	database := must(sql.Open("sqlite3", path))(t)
	defer database.Close()
	var lines []string
	for _, query := range []string{
		"SELECT sql FROM sqlite_master ORDER BY name", "PRAGMA user_version", "SELECT * FROM meta", "SELECT * FROM hard_state",
		"SELECT * FROM entries", "SELECT * FROM snapshots",
	} {
		rows := must(database.Query(query))(t)
		columns := must(rows.Columns())(t)
		lines = append(lines, query+": "+strings.Join(columns, " "))
		for rows.Next() {
			values := make([]any, len(columns))
			for i := range values {
				values[i] = new(any)
			}
			if err := rows.Scan(values...); err != nil {
				t.Fatal(err)
			}
			line := ""
			for _, value := range values {
				line += fmt.Sprintf(" %q", fmt.Sprint(*value.(*any)))
			}
			lines = append(lines, line)
		}
		if err := rows.Err(); err != nil {
			t.Fatal(err)
		}
	}
	return lines
}

func zero() time.Duration { return 0 }

func nothing() {}

// TestReadControlCommands checks the commands in the logs of control replicas, their results, and the snapshots of the
// states that they lead to.
func TestReadControlCommands(t *testing.T) {
	t.Run("configuration", readConfigurationCommands)
	t.Run("runners", readRunnerCommands)
}

func readConfigurationCommands(t *testing.T) {
	commit := state.CommitConfiguration{
		BaseVersion: 0,
		Version:     7,
		Digest:      state.Digest{1, 2, 15: 0xff},
		Writes:      []state.Write{{Key: "limits", Value: []byte(`{"max_body_bytes":1}`)}, {Key: "route/old", Deleted: true}},
	}
	evacuate := state.SetEvacuation{Zone: "east-a", Evacuated: true, ExpectedRevision: 0}
	back := state.SetEvacuation{Zone: "east-a", ExpectedRevision: 11}

	configuration := state.NewConfiguration(zero, nothing)
	for _, step := range []struct {
		name  string
		bytes []byte
		index uint64
		want  state.Result
	}{
		{"commit", commit.Encode(), 10, state.Result{Outcome: state.OutcomeAccepted, Revision: 7}},
		{"commit", commit.Encode(), 10, state.Result{Outcome: state.OutcomeAlreadyAccepted, Revision: 7}},
		{"evacuate", evacuate.Encode(), 11, state.Result{Outcome: state.OutcomeAccepted, Revision: 11}},
		{"evacuate", evacuate.Encode(), 12, state.Result{Outcome: state.OutcomeConflict, Revision: 11}},
		{"unreadable", []byte{0}, 13, state.Result{Outcome: state.OutcomeMalformed}},
	} {
		recorded := compatibility.SharedFolder.Check(t, "control/command-"+step.name, step.bytes)
		result := configuration.Apply(step.index, recorded)
		expectEqual(t, step.name, must(state.DecodeResult(result))(t), step.want)
		compatibility.SharedFolder.Check(t, fmt.Sprintf("control/result-%d-%d", step.want.Outcome, step.want.Revision), result)
	}
	compatibility.SharedFolder.Check(t, "control/command-back", back.Encode())
	forgotten := state.Result{Outcome: state.OutcomeForgotten, Revision: 1 << 40}
	recorded := compatibility.SharedFolder.Check(t, "control/result-forgotten", forgotten.Encode())
	expectEqual(t, "result", must(state.DecodeResult(recorded))(t), forgotten)

	wantItems := []feed.Item{
		{Key: "evacuation/east-a", Index: 11, Value: []byte{}},
		{Key: "limits", Index: 10, Value: []byte(`{"max_body_bytes":1}`)},
		{Key: "version", Index: 10, Value: []byte("7")},
	}
	recorded = compatibility.SharedFolder.Check(t, "control/snapshot-configuration", configuration.Snapshot())
	restored := state.NewConfiguration(zero, nothing)
	if err := restored.Restore(11, recorded); err != nil {
		t.Fatal(err)
	}
	expectEqual(t, "base", restored.View(), state.View{Version: 7, Values: wantItems})
	expectEqual(t, "evacuation", restored.Evacuation("east-a"), state.Evacuation{Evacuated: true, Revision: 11, LastOrder: 11})
	expectEqual(t, "taken", restored.CheckRequest(0, commit.Digest), state.RequestStatus{Verdict: state.VerdictAccepted, Version: 7})
	expectEqual(t, "snapshot again", restored.Snapshot(), recorded)
	result := restored.Apply(14, compatibility.SharedFolder.Read(t, "control/command-back"))
	expectEqual(t, "back", must(state.DecodeResult(result))(t), state.Result{Outcome: state.OutcomeAccepted, Revision: 14})
	expectEqual(t, "zones", len(restored.EvacuatedZones()), 0)
}

func readRunnerCommands(t *testing.T) {
	runners := state.WriteRunners{
		ExpectedRevision: 0,
		Writes:           []state.Write{{Key: "runner/r-1", Value: []byte("one")}, {Key: "runner/r-2", Value: []byte{}}},
	}
	partition := state.NewRunners(1, zero, nothing)
	recorded := compatibility.SharedFolder.Check(t, "control/command-runners", runners.Encode())
	expectEqual(t, "runners", must(state.DecodeResult(partition.Apply(20, recorded)))(t), state.Result{
		Outcome:  state.OutcomeAccepted,
		Revision: 20,
	})
	recorded = compatibility.SharedFolder.Check(t, "control/snapshot-runners", partition.Snapshot())
	partition = state.NewRunners(1, zero, nothing)
	if err := partition.Restore(20, recorded); err != nil {
		t.Fatal(err)
	}
	expectEqual(t, "changed", partition.Revision(), 20)
	expectEqual(t, "batch", partition.Since(0, 0), feed.Batch{
		Partition: 1,
		Snapshot:  true,
		To:        20,
		Items: []feed.Item{
			{Key: "runner/r-1", Index: 20, Value: []byte("one")},
			{Key: "runner/r-2", Index: 20, Value: []byte{}},
		},
	})
}

// TestReadFeedTables checks an encoded table of the feed.
func TestReadFeedTables(t *testing.T) {
	table := feed.NewTable(2)
	table.Put(0, 5, "runner/a", []byte("first"))
	table.Put(time.Second, 6, "runner/b", []byte{})
	table.Delete(2*time.Second, 9, "runner/a")
	recorded := compatibility.SharedFolder.Check(t, "feed/table", table.Encode(3*time.Second))
	read := must(feed.DecodeTable(time.Minute, recorded))(t)
	expectEqual(t, "position", read.Position(), feed.Position{Partition: 2, Index: 9})
	expectEqual(t, "delta", read.BatchSince(time.Minute, 5, 0), feed.Batch{
		Partition: 2,
		From:      5,
		To:        9,
		Items: []feed.Item{
			{Key: "runner/b", Index: 6, Value: []byte{}, Age: 2 * time.Second},
			{Key: "runner/a", Index: 9, Deleted: true, Age: time.Second},
		},
	})
	expectEqual(t, "again", read.Encode(time.Minute), recorded)
}

// TestReadPackedBatches checks that recorded compressed batches are still read. The compressed bytes themselves may differ
// between releases of the compressor.
func TestReadPackedBatches(t *testing.T) {
	batch := feed.Batch{Partition: 1, Snapshot: true, To: 90}
	for i := range 64 {
		batch.Items = append(batch.Items, feed.Item{
			Key:   fmt.Sprintf("runner/r-%02d", i),
			Index: uint64(i + 1),
			Value: bytes.Repeat([]byte{byte(i)}, 40),
			Age:   time.Duration(i) * time.Millisecond,
		})
	}
	batch.Items[7] = feed.Item{Key: "runner/r-07", Index: 8, Deleted: true, Age: 5}
	packed := batch.Pack()
	recorded := compatibility.SharedFolder.Record(t, "feed/packed", packed.Packed)
	for name, bytes := range map[string][]byte{"recorded": recorded, "now": packed.Packed} {
		read := feed.Batch{Partition: 1, Snapshot: true, To: 90, Packed: bytes, PackedAge: time.Second}
		if err := read.Unpack(); err != nil {
			t.Fatal(name, err)
		}
		for i := range read.Items {
			read.Items[i].Age -= time.Second
		}
		expectEqual(t, name, read, batch)
	}
}

// TestReadSpools checks closed periods on disk.
func TestReadSpools(t *testing.T) {
	fail := func(err error) { t.Error(err) }
	table := &telemetry.SeriesTable{}
	table.Append(telemetry.Series{Name: "classes.score.answers.in_time", Kind: telemetry.Counter},
		telemetry.Series{Name: "reqs.open", Kind: telemetry.Gauge}, telemetry.Series{Name: "share", Kind: telemetry.Gauge})
	body := []byte{3, 42, 0, 1, 0, 0, 0, 0x3f} // three values: 40, none, 0.5
	held := []telemetry.SlotAssignment{{Location: "m.k.3", Slot: 1, Node: "node-1"}}
	fresh := t.TempDir()
	written, _, err := spool.Open(fresh, "n0", 1<<20, fail)
	if err != nil {
		t.Fatal(err)
	}
	written.AppendPeriod(&telemetry.Period{Timestamp: 1_700_000_000_000, Interval: 10, Table: table, EncodedValues: body}, held, nothing)
	written.AppendAcknowledged(map[string]int64{"carbon": 1_700_000_000_000})
	written.Close()
	recorded := compatibility.SharedFolder.Check(t, "spool/n0.1", must(os.ReadFile(filepath.Join(fresh, "n0.1")))(t))

	old := t.TempDir()
	if err := os.WriteFile(filepath.Join(old, "n0.1"), recorded, 0o600); err != nil {
		t.Fatal(err)
	}
	again, found, err := spool.Open(old, "n0", 1<<20, fail)
	if err != nil {
		t.Fatal(err)
	}
	again.Close()
	expectEqual(t, "torn and strange", []int{found.TornFiles, found.UnknownFiles}, []int{0, 0})
	expectEqual(t, "held", found.SlotAssignments, held)
	expectEqual(t, "got", found.Acknowledged, map[string]int64{"carbon": 1_700_000_000_000})
	expectEqual(t, "totals", found.Totals, map[string]float64{"classes.score.answers.in_time": 40})
	if len(found.Periods) != 1 {
		t.Fatalf("%d periods", len(found.Periods))
	}
	period := found.Periods[0]
	expectEqual(t, "period", []float64{float64(period.Timestamp), period.Interval}, []float64{1_700_000_000_000, 10})
	reader := period.Read()
	values := map[telemetry.Series]float64{}
	for series, value, ok := reader.Next(); ok; series, value, ok = reader.Next() {
		values[series] = value
	}
	expectEqual(t, "values", values, map[telemetry.Series]float64{
		{Name: "classes.score.answers.in_time", Kind: telemetry.Counter}: 40,
		{Name: "share", Kind: telemetry.Gauge}:                           0.5,
	})
}

// writeRequestLog returns a request log with an answer that took several attempts and one that was rejected.
func writeRequestLog(t *testing.T) []byte {
	t.Helper()
	path := filepath.Join(t.TempDir(), "log")
	log := must(requestlog.Open(requestlog.Options{
		Path:           path,
		DispatcherName: "n0",
		Incarnation:    "k3f",
		Classes:        []string{"score"},
		NodeSlot:       func(w loadbalancer.WorkerID) string { return fmt.Sprintf("m.k.0.%d", w) },
	}))(t)
	log.LogAnswer(&dispatch.AnswerRecord{
		ID:             "x",
		Front:          "platform",
		Verdict:        dispatch.Served,
		ArrivedAt:      100,
		AnsweredAt:     100.25,
		TargetAt:       101,
		StartedAt:      100.1,
		WinningAttempt: 1,
		AuditMark:      12,
		Attempts: []dispatch.AttemptRecord{
			{Worker: 1, MemberName: "a", SentAt: 100, EndedAt: 100.05, Result: loadbalancer.Rejected, AuditMark: 11},
			{Worker: 2, Attempt: 1, MemberName: "b", SentAt: 100.05, StartedAt: 100.1, EndedAt: 100.25, Hedged: true},
			{Worker: 3, Attempt: 2, MemberName: "c", SentAt: 100.2},
		},
	})
	log.LogAnswer(&dispatch.AnswerRecord{
		ID:             "y",
		Front:          "gearman",
		Class:          -1,
		Verdict:        dispatch.Rejected,
		Reason:         dispatch.ReasonNoCapacity,
		ArrivedAt:      100,
		AnsweredAt:     100,
		RetryAfter:     0.5,
		WinningAttempt: -1,
	})
	log.Close()
	return must(os.ReadFile(path))(t)
}

// TestReadRequestLogs checks lines of the request log, with its own reader and with that of the audit log.
func TestReadRequestLogs(t *testing.T) {
	recorded := compatibility.SharedFolder.Check(t, "request-log", writeRequestLog(t))
	var lines []requestlog.Line
	bad := func(n int, err error) { t.Error(n, err) }
	if err := requestlog.Read(bytes.NewReader(recorded), func(l requestlog.Line) { lines = append(lines, l) }, bad); err != nil {
		t.Fatal(err)
	}
	if len(lines) != 2 || len(lines[0].Attempts) != 3 || len(lines[1].Attempts) != 0 {
		t.Fatalf("%+v", lines)
	}
	tries := lines[0].Attempts
	expectEqual(t, "nodes", []string{tries[0].Node, tries[1].Node, tries[2].Node}, []string{"a", "b", "c"})
	expectEqual(t, "slots", []string{tries[0].Slot, tries[1].Slot, tries[2].Slot}, []string{"m.k.0.1", "m.k.0.2", "m.k.0.3"})
	expectEqual(t, "results", []string{tries[0].Result, tries[1].Result, tries[2].Result}, []string{"full", "ok", "out"})
	expectEqual(t, "copies", []bool{tries[0].Hedged, tries[1].Hedged, tries[2].Hedged}, []bool{false, true, false})
	expectEqual(t, "won", []bool{tries[0].Won, tries[1].Won, tries[2].Won}, []bool{false, true, false})
	lines[0].Attempts = nil
	expectEqual(t, "lines", lines, []requestlog.Line{
		{Time: 100.25, Dispatcher: "n0", ID: "x", Class: "score", Front: "platform", Verdict: "in_time", DurationMS: 250},
		{Time: 100, Dispatcher: "n0", ID: "y", Class: "unknown", Front: "gearman", Verdict: "refused", Reason: "no_room"},
	})

	var sent []auditlog.Attempt
	if err := auditlog.Read(bytes.NewReader(recorded), nil, func(s *auditlog.Attempt) { sent = append(sent, *s) }, bad); err != nil {
		t.Fatal(err)
	}
	expectEqual(t, "sent", sent, []auditlog.Attempt{
		{Dispatcher: "n0", Generation: "k3f", ID: "x", Node: "a", At: 100, Mark: 11},
		{Dispatcher: "n0", Generation: "k3f", ID: "x", Node: "b", At: 100.05},
		{Dispatcher: "n0", Generation: "k3f", ID: "x", Node: "c", At: 100.2},
	})
}

// TestReadAuditLogs checks an entry of each kind.
func TestReadAuditLogs(t *testing.T) {
	entries := []auditlog.Entry{
		{Kind: auditlog.Started, Program: "p1", Settings: "s1", Operator: "o1"},
		{
			Kind:           auditlog.ListApplied,
			Source:         "d",
			Epoch:          1,
			Revision:       8,
			Cached:         true,
			Workers:        []auditlog.Worker{{Name: "w", State: "ready", Start: 17, Revision: 7}},
			OmittedWorkers: 2,
		},
		{Kind: auditlog.FactsReceived, From: "n1", Source: "d", Revision: 9, Workers: []auditlog.Worker{{Name: "w", State: "gone"}}},
		{Kind: auditlog.CaughtUp, From: "n1", Revision: 9},
		{Kind: auditlog.NewerKnown, From: "n1", Revision: 10},
		{Kind: auditlog.FactsDoubted, Workers: []auditlog.Worker{{Name: "v", State: "draining"}}},
		{Kind: auditlog.DiscoverySilent, LateSeconds: 3.5},
		{Kind: auditlog.DiscoveryResumed},
		{Kind: auditlog.ClockReceived, From: "n1", PeerClock: 1.7e9 + 0.25},
		{Kind: auditlog.OrderReceived, Member: "n2", Out: true, From: "n1"},
		{Kind: auditlog.LeaseChanged, Out: true, Reason: "no word"},
		{Kind: auditlog.Paused, LateSeconds: 1.25},
		{Kind: auditlog.Resumed},
		{Kind: auditlog.SettingsChanged, Settings: "s2"},
		{Kind: auditlog.ExclusionsChanged, Digest: "d2"},
		{Kind: auditlog.ViewConverged, Digest: "v2", Members: 3},
		{Kind: auditlog.KeepAlive, LostLines: 4},
		{Kind: auditlog.Ended},
	}
	path := filepath.Join(t.TempDir(), "ledger")
	log := must(auditlog.Open(linelog.Options{Path: path}, "n0", auditlog.GenerationName(1_700_000_000)))(t)
	for i, e := range entries {
		log.Append(1_700_000_000+float64(i)/4, e)
	}
	log.Close()
	recorded := compatibility.SharedFolder.Check(t, "ledger", must(os.ReadFile(path))(t))
	var got []auditlog.Entry
	if err := auditlog.Read(bytes.NewReader(recorded), func(e *auditlog.Entry) { got = append(got, *e) }, nil,
		func(n int, err error) { t.Error(n, err) }); err != nil {
		t.Fatal(err)
	}
	for i := range entries {
		entries[i].Time = 1_700_000_000 + float64(i)/4
		entries[i].Dispatcher = "n0"
		entries[i].Generation = "gqll7vatq8"
		entries[i].Number = uint64(i + 1)
	}
	expectEqual(t, "entries", got, entries)
}

// jobCommands are the commands that job replicas agree on, in the order in which they are applied, with the names of their
// recorded files.
var jobCommands = []struct {
	name    string
	command jobstate.Command
}{
	{
		"take",
		jobstate.Command{
			Kind:                  jobstate.CommandSubmit,
			TimeMS:                1000,
			Proposer:              "n0.k3f",
			Tenant:                "t",
			Key:                   "k",
			Class:                 "score",
			Function:              "f",
			Priority:              -1,
			Effect:                jobstate.Keyed,
			DeduplicationWindowMS: 5000,
			Data:                  []byte("job"),
		},
	},
	{"send", jobstate.Command{Kind: jobstate.CommandSend, TimeMS: 1001, Proposer: "n0.k3f", ID: 1, Worker: "w", WorkerGroup: "g"}},
	{
		"end",
		jobstate.Command{
			Kind:         jobstate.CommandEnd,
			TimeMS:       1002,
			Proposer:     "n0.k3f",
			ID:           1,
			FencingToken: 1,
			Data:         []byte("result"),
			Failed:       true,
		},
	},
	{
		"take-other",
		jobstate.Command{
			Kind:     jobstate.CommandSubmit,
			TimeMS:   1003,
			Proposer: "n0.k3f",
			Tenant:   "t",
			Class:    "score",
			Function: "g",
			Effect:   jobstate.Unsafe,
			Data:     []byte{0},
		},
	},
	{"send-other", jobstate.Command{Kind: jobstate.CommandSend, TimeMS: 1004, Proposer: "n0.k3f", ID: 4, Worker: "w"}},
	{"give-up", jobstate.Command{Kind: jobstate.CommandAbandon, TimeMS: 1005, Proposer: "n1.k3g", ID: 4, FencingToken: 1}},
	{"exclude", jobstate.Command{Kind: jobstate.CommandExclude, TimeMS: 1006, Proposer: "n1.k3g", Worker: "w"}},
	{"include", jobstate.Command{Kind: jobstate.CommandInclude, TimeMS: 1007, Proposer: "n1.k3g", Worker: "v"}},
	{"pass", jobstate.Command{Kind: jobstate.CommandAdvanceTime, TimeMS: 2000, Proposer: "n1.k3g"}},
	{"unrun", jobstate.Command{Kind: jobstate.CommandEnd, TimeMS: 2001, Proposer: "n0.k3f", ID: 9, FencingToken: 3, NotRun: true}},
}

// TestReadJobCommands checks the commands that job replicas agree on, and a snapshot of the state that they lead to.
func TestReadJobCommands(t *testing.T) {
	limits := jobstate.Limits{TotalBytes: 1 << 20, TenantBytes: 1 << 20, JobBytes: 1 << 16, ResultRetentionMS: 1 << 40}
	written := jobstate.New(limits)
	for i, step := range jobCommands {
		recorded := compatibility.SharedFolder.Check(t, "promises/"+step.name, step.command.Encode())
		step.command.FormatVersion = 1
		expectEqual(t, step.name, must(jobstate.Decode(recorded))(t), step.command)
		if _, err := written.Apply(uint64(i+1), recorded); err != nil {
			t.Fatal(step.name, err)
		}
	}
	recorded := compatibility.SharedFolder.Check(t, "promises/snapshot", written.Snapshot())
	read := jobstate.New(limits)
	if err := read.Restore(recorded); err != nil {
		t.Fatal(err)
	}
	expectEqual(t, "now", read.NowMS(), 2001)
	expectEqual(t, "digest", read.Digest(), uint64(jobStateDigest))
	expectEqual(t, "excluded", []bool{read.Excluded("w"), read.Excluded("v")}, []bool{true, false})
	expectEqual(t, "found", read.FindByKey("t", "k").ID, 1)
	expectEqual(t, "first", *read.Job(1), jobstate.Job{
		ID:                    1,
		Tenant:                "t",
		Key:                   "k",
		Class:                 "score",
		Function:              "f",
		Priority:              -1,
		Effect:                jobstate.Keyed,
		DeduplicationWindowMS: 5000,
		State:                 jobstate.Failed,
		FencingToken:          1,
		Owner:                 "n0.k3f",
		Worker:                "w",
		WorkerGroup:           "g",
		FirstSentMS:           1001,
		EndedMS:               1002,
		Result:                []byte("result"),
		SubmittedMS:           1000,
		Fingerprint:           jobFingerprint,
	})
	expectEqual(t, "other", read.Job(4).State, jobstate.Unknown)
}

// jobStateDigest and jobFingerprint are hashes of encodings, which replicas of different versions compare.
const (
	jobStateDigest = 15568843465248317590
	jobFingerprint = 18411929237315926485
)
