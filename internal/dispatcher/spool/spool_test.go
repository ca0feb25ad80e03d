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

func fail(t *testing.T) func(error) { return func(err error) { t.Error(err) } }

// incarnation is a dispatcher's figures with their spool.
type incarnation struct {
	t     *testing.T
	set   *telemetry.Set
	spool *Spool
	found *Recovered
	stamp int64
}

func begin(t *testing.T, dir string, most int64) *incarnation {
	t.Helper()
	s, found, err := Open(dir, "n0", most, fail(t))
	if err != nil {
		t.Fatal(err)
	}
	l := &incarnation{t: t, set: telemetry.New(telemetry.Options{Classes: []string{"score"}, Zones: []string{"m"}, Kinds: []string{"k"}, MaxNodes: 9}), spool: s, found: found}
	l.set.AddTotals(found.Totals)
	l.set.RestoreSlots(found.SlotAssignments)
	if n := len(found.Periods); n > 0 {
		l.stamp = found.Periods[n-1].Timestamp
	}
	return l
}

// period ends one in which a node of its own came and a job was answered.
func (l *incarnation) period() {
	l.stamp++
	l.set.ObserveMembers(loadbalancer.ListFull, []dispatch.Member{{Name: fmt.Sprint("node-", l.stamp), Worker: loadbalancer.Worker{ID: loadbalancer.WorkerID(l.stamp), State: loadbalancer.Ready}}})
	l.set.ObserveAnswer(&dispatch.AnswerRecord{Verdict: dispatch.Served, WinningAttempt: -1})
	l.spool.AppendPeriod(l.set.ClosePeriod(l.stamp, 10), l.set.SlotAssignments(), func() {})
}

const answers = "classes.score.answers.in_time"

// Totals, slots, periods and what receivers have got go on from life to life.
func TestRecoveryAcrossIncarnations(t *testing.T) {
	dir := t.TempDir()
	for n := range 3 {
		l := begin(t, dir, 1<<20)
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
			l.period()
		}
		l.spool.AppendAcknowledged(map[string]int64{"there": l.stamp})
		l.spool.Close()
	}
}

// A file torn at any byte has all periods whose records are whole, and what follows in a life after it is whole again.
func TestTruncatedFile(t *testing.T) {
	dir := t.TempDir()
	l := begin(t, dir, 1<<20)
	for range 3 {
		l.period()
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
	next := begin(t, dir, 1<<20)
	if next.found.TornFiles != 1 || len(next.found.Periods) != 2 {
		t.Errorf("%d torn, %d periods", next.found.TornFiles, len(next.found.Periods))
	}
	next.period()
	next.spool.Close()
	after := begin(t, dir, 1<<20)
	defer after.spool.Close()
	if len(after.found.Periods) != 3 || after.found.Totals[answers] != 3 {
		t.Errorf("%d periods, total %v", len(after.found.Periods), after.found.Totals[answers])
	}
}

// A changed byte anywhere costs what follows in its file, and is never taken for what was written.
func TestCorruptedBytes(t *testing.T) {
	dir := t.TempDir()
	l := begin(t, dir, 1<<20)
	for range 2 {
		l.period()
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
			t.Fatalf("byte %d changed, and nobody saw", at)
		}
	}
}

// A file of another version is put aside whole, and a folder that cannot be written is an error at once.
func TestUnknownFilesAndUnusableFolders(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "n0.7"), []byte("CRSPOOL9 of the future"), 0o600); err != nil {
		t.Fatal(err)
	}
	l := begin(t, dir, 1<<20)
	l.period()
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
		if _, _, err := Open(path, "n0", 1<<20, fail(t)); err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v", path, err)
		}
	}
}

// The folder keeps to its bound, the oldest files going first; the newest totals are always there.
func TestMaxBytes(t *testing.T) {
	dir := t.TempDir()
	const most = 64 << 10
	l := begin(t, dir, most)
	for range 2000 {
		l.period()
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
			l = begin(t, dir, most)
			if got := l.found.Totals[answers]; got != float64(l.stamp) {
				t.Fatalf("total %v after %d", got, l.stamp)
			}
		}
	}
	l.spool.Close()
}

// A full disk takes back what it cut short, so that what is written later can be read.
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

// A disk that is too slow costs periods on disk, counted, and the caller nothing; the next one begins a file that can be
// read alone.
func TestSlowDisk(t *testing.T) {
	s := &Spool{maxBytes: 1 << 20, queue: make(chan []record, 1), reportError: fail(t)}
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
		t.Error("the next one leans on names that are not on disk")
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
