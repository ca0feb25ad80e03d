package spool

import (
	"errors"
	"os"
	"sync/atomic"
	"testing"

	"cinderroad/internal/dispatcher/telemetry"
)

// fakeDisk is a disk whose syncs wait until release is closed, and then fail with syncError.
type fakeDisk struct {
	release   chan struct{}
	syncError error
	syncs     atomic.Int32
}

type fakeFile struct {
	*os.File
	disk *fakeDisk
}

func (f *fakeFile) Sync() error {
	f.disk.syncs.Add(1)
	<-f.disk.release
	return f.disk.syncError
}

// openOnFakeDisk returns a spool with an empty directory on a fake disk.
func openOnFakeDisk(t *testing.T, disk *fakeDisk, reportError func(error)) (s *Spool, dir string) {
	t.Helper()
	dir = t.TempDir()
	s = &Spool{
		dir:         dir,
		name:        "n0",
		maxBytes:    1 << 20,
		queue:       make(chan []record, queueLength),
		done:        make(chan struct{}),
		reportError: reportError,
		createFile: func(path string) (outputFile, error) {
			file, err := os.Create(path)
			return &fakeFile{file, disk}, err
		},
	}
	s.start()
	return s, dir
}

// TestStalledSyncKeepsTotals checks that periods are in the file, and so outlive the process, while the sync of the first
// one stalls: a receiver may have got them meanwhile, and totals must not decrease.
func TestStalledSyncKeepsTotals(t *testing.T) {
	disk := &fakeDisk{release: make(chan struct{})}
	s, dir := openOnFakeDisk(t, disk, failOnError(t))
	set := telemetry.New(telemetry.Options{Classes: []string{"score"}})
	const periods = 5
	var stored atomic.Int32
	for i := range periods {
		s.AppendPeriod(set.ClosePeriod(int64(i+1), 1), nil, func() { stored.Add(1) })
	}
	close(s.queue) // the writing goroutine closes the file once it has written everything, which waits for the syncs
	for {
		found, _, err := recoverFiles(dir, "n0", 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		if len(found.Periods) == periods {
			break
		}
	}
	if stored.Load() != 0 {
		t.Error("a period was reported as stored before its sync")
	}
	close(disk.release)
	<-s.done
	if stored.Load() != periods {
		t.Errorf("%d periods were reported as stored, want %d", stored.Load(), periods)
	}
	if n := disk.syncs.Load(); n > periods {
		t.Errorf("%d syncs", n)
	}
}

// TestFailedSyncIsCounted checks that a failed sync counts for each period, that each is given up, and that nothing is
// added to a file that may lack its names.
func TestFailedSyncIsCounted(t *testing.T) {
	disk := &fakeDisk{release: make(chan struct{}), syncError: errors.New("the disk failed")}
	close(disk.release)
	reports := make(chan error, 16)
	s, _ := openOnFakeDisk(t, disk, func(err error) { reports <- err })
	set := telemetry.New(telemetry.Options{Classes: []string{"score"}})
	given := make(chan struct{})
	for i := range 3 {
		s.AppendPeriod(set.ClosePeriod(int64(i+1), 1), nil, func() { given <- struct{}{} })
		<-given
	}
	s.Close()
	if s.WriteErrors() != 3 || disk.syncs.Load() != 1 {
		t.Errorf("%d errors, %d syncs", s.WriteErrors(), disk.syncs.Load())
	}
	if err := <-reports; !errors.Is(err, disk.syncError) {
		t.Error(err)
	}
}
