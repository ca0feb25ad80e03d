package spool

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/dispatcher/telemetry"
	"cinderroad/loadbalancer"
)

func failOnError(t *testing.T) func(error) { return func(err error) { t.Error(err) } }

// incarnation is a dispatcher's metrics and spool.
type incarnation struct {
	t     *testing.T
	set   *telemetry.Set
	spool *Spool
	found *Recovered
	stamp int64
}

func openIncarnation(t *testing.T, dir string, maxBytes int64) *incarnation {
	t.Helper()
	s, found, err := Open(dir, "n0", maxBytes, failOnError(t))
	if err != nil {
		t.Fatal(err)
	}
	l := &incarnation{
		t:     t,
		set:   telemetry.New(telemetry.Options{Classes: []string{"score"}, Zones: []string{"m"}, Kinds: []string{"k"}, MaxNodes: 9}),
		spool: s,
		found: found,
	}
	l.set.AddTotals(found.Totals)
	l.set.RestoreSlots(found.SlotAssignments)
	if n := len(found.Periods); n > 0 {
		l.stamp = found.Periods[n-1].Timestamp
	}
	return l
}

// appendPeriod closes a period in which a new node was listed and a job was answered.
func (l *incarnation) appendPeriod() {
	l.stamp++
	l.set.ObserveMembers(loadbalancer.ListFull, []dispatch.Member{{
		Name:   fmt.Sprint("node-", l.stamp),
		Worker: loadbalancer.Worker{ID: loadbalancer.WorkerID(l.stamp), State: loadbalancer.Ready},
	}})
	l.set.ObserveAnswer(&dispatch.AnswerRecord{Verdict: dispatch.Served, WinningAttempt: -1})
	l.spool.AppendPeriod(l.set.ClosePeriod(l.stamp, 10), l.set.SlotAssignments(), func() {})
}

const answers = "classes.score.answers.in_time"

// TestRecoveryAcrossIncarnations checks totals, slots, periods and acknowledgements.
func TestRecoveryAcrossIncarnations(t *testing.T) {
	dir := t.TempDir()
	for n := range 3 {
		l := openIncarnation(t, dir, 1<<20)
		if got := len(l.found.Periods); got != 4*n || l.found.Totals[answers] != float64(4*n) {
			t.Fatalf("life %d: %d periods, total %v", n, got, l.found.Totals[answers])
		}
		if want := map[string]int64{"there": int64(4 * n)}; n > 0 && !cmp.Equal(want, l.found.Acknowledged) {
			t.Error(l.found.Acknowledged)
		}
		if n > 0 && (len(l.found.SlotAssignments) != 1 || l.found.SlotAssignments[0].Node != fmt.Sprint("node-", 4*n)) {
			t.Error(l.found.SlotAssignments)
		}
		for range 4 {
			l.appendPeriod()
		}
		l.spool.AppendAcknowledged(map[string]int64{"there": l.stamp})
		l.spool.Close()
	}
}

// TestTruncatedFile checks that a file truncated at any byte yields the complete periods, and that the next incarnation
// continues after them.
func TestTruncatedFile(t *testing.T) {
	dir := t.TempDir()
	l := openIncarnation(t, dir, 1<<20)
	for range 3 {
		l.appendPeriod()
	}
	l.spool.Close()
	path := filepath.Join(dir, "n0.1")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	last := 0
	for cut := range len(text) {
		torn := t.TempDir()
		if err := os.WriteFile(filepath.Join(torn, "n0.1"), text[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		found, _, err := recoverFiles(torn, "n0", 1<<20)
		if err != nil {
			t.Fatal(cut, err)
		}
		n := len(found.Periods)
		if n < last || n > 3 || found.Totals[answers] != float64(n) || found.UnknownFiles > 0 {
			t.Fatalf("cut at %d: %d periods, total %v, %d strange", cut, n, found.Totals[answers], found.UnknownFiles)
		}
		last = n
	}
	if last < 2 {
		t.Errorf("%d periods before the last byte", last)
	}
	if err := os.WriteFile(path, text[:len(text)-3], 0o600); err != nil {
		t.Fatal(err)
	}
	next := openIncarnation(t, dir, 1<<20)
	if next.found.TornFiles != 1 || len(next.found.Periods) != 2 {
		t.Errorf("%d torn, %d periods", next.found.TornFiles, len(next.found.Periods))
	}
	next.appendPeriod()
	next.spool.Close()
	after := openIncarnation(t, dir, 1<<20)
	defer after.spool.Close()
	if len(after.found.Periods) != 3 || after.found.Totals[answers] != 3 {
		t.Errorf("%d periods, total %v", len(after.found.Periods), after.found.Totals[answers])
	}
}

// TestCorruptedBytes checks that every changed byte is detected.
func TestCorruptedBytes(t *testing.T) {
	dir := t.TempDir()
	l := openIncarnation(t, dir, 1<<20)
	for range 2 {
		l.appendPeriod()
	}
	l.spool.Close()
	text, err := os.ReadFile(filepath.Join(dir, "n0.1"))
	if err != nil {
		t.Fatal(err)
	}
	for at := len(magic); at < len(text); at++ {
		b := bytes.Clone(text)
		b[at] ^= 0x40
		f := &Recovered{Totals: map[string]float64{}, Acknowledged: map[string]int64{}}
		if f.readRecords(b[len(magic):]) {
			t.Fatalf("changed byte %d was not detected", at)
		}
	}
}

// TestUnknownFilesAndUnusableFolders checks that a file of another version is renamed and kept, and that Open fails for a
// directory that can't be written.
func TestUnknownFilesAndUnusableFolders(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "n0.7"), []byte("CRSPOOL9 of the future"), 0o600); err != nil {
		t.Fatal(err)
	}
	l := openIncarnation(t, dir, 1<<20)
	l.appendPeriod()
	l.spool.Close()
	if l.found.UnknownFiles != 1 {
		t.Error(l.found.UnknownFiles)
	}
	for _, name := range []string{"n0.7.strange", "n0.8"} {
		if _, err := os.Stat(filepath.Join(dir, name)); err != nil {
			t.Error(err)
		}
	}
	for _, path := range []string{filepath.Join(dir, "none"), filepath.Join(dir, "n0.8")} {
		if _, _, err := Open(path, "n0", 1<<20, failOnError(t)); err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v", path, err)
		}
	}
}

// TestMaxBytes checks that the oldest files are removed at the limit, and that the last totals are always recovered.
func TestMaxBytes(t *testing.T) {
	dir := t.TempDir()
	const most = 64 << 10
	l := openIncarnation(t, dir, most)
	for range 2000 {
		l.appendPeriod()
		if l.stamp%50 == 0 { // no faster than the disk
			l.spool.Close()
			size := int64(0)
			all, err := listFiles(dir, "n0")
			if err != nil {
				t.Fatal(err)
			}
			for _, f := range all {
				size += f.size
			}
			if size > most+most/maxFiles+40<<10 {
				t.Fatalf("%d bytes", size)
			}
			l = openIncarnation(t, dir, most)
			if got := l.found.Totals[answers]; got != float64(l.stamp) {
				t.Fatalf("total %v after %d", got, l.stamp)
			}
		}
	}
	l.spool.Close()
}

// TestFullDisk checks that a partial write is truncated, so that later records can be read.
func TestFullDisk(t *testing.T) {
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	if err != nil {
		t.Skip(err)
	}
	defer full.Close()
	s := &Spool{file: full, size: 8}
	if err := s.write([]record{{kind: kindPeriod, body: make([]byte, 100)}}); !errors.Is(err, unix.ENOSPC) || s.size != 8 {
		t.Error(err, s.size)
	}
}

// TestSlowDisk checks that periods are dropped and counted without blocking, and that the next one starts a file that can
// be read on its own.
func TestSlowDisk(t *testing.T) {
	s := &Spool{maxBytes: 1 << 20, queue: make(chan []record, 1), reportError: failOnError(t)}
	set := telemetry.New(telemetry.Options{Classes: []string{"score"}})
	told := 0
	for i := range 5 {
		s.AppendPeriod(set.ClosePeriod(int64(i+1), 1), nil, func() { told++ })
	}
	if s.Dropped() != 4 || told != 4 {
		t.Errorf("%d lost, %d told", s.Dropped(), told)
	}
	<-s.queue
	s.AppendPeriod(set.ClosePeriod(9, 1), nil, func() {})
	if out := <-s.queue; !out[0].newFile || out[1].kind != kindNames {
		t.Error("the next period depends on names that are not on disk")
	}
}

func FuzzRead(f *testing.F) {
	f.Add(appendRecord(appendRecord(nil, kindNames, []byte(`{"from":0,"series":[{"Name":"a"}]}`)), kindPeriod, make([]byte, 20)))
	f.Fuzz(func(t *testing.T, b []byte) {
		found := &Recovered{Acknowledged: map[string]int64{}}
		found.readRecords(b)
		for _, p := range found.Periods {
			_, _ = p.Totals()
		}
	})
}
