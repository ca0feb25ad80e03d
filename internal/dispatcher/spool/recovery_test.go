package spool

import (
	"os"
	"path/filepath"
	"testing"
)

// TestRecoveryAfterLowerLimit checks that the newest periods and the totals are recovered, and that a new file can be
// started, when the files exceed a limit that was lowered since.
func TestRecoveryAfterLowerLimit(t *testing.T) {
	dir := t.TempDir()
	var last int64
	for range 3 {
		l := openIncarnation(t, dir, 1<<20)
		for range 4 {
			l.appendPeriod()
		}
		l.spool.Close()
		last = l.stamp
	}
	// A sparse file that is older than the others exceeds any limit.
	older := filepath.Join(dir, "n0.1")
	if err := os.Truncate(older, maxBodyBytes+1<<20); err != nil {
		t.Fatal(err)
	}
	l := openIncarnation(t, dir, 1<<10)
	if l.found.Totals[answers] != float64(last) || l.stamp != last {
		t.Errorf("total %v, last period %d; want %d", l.found.Totals[answers], l.stamp, last)
	}
	if len(l.found.Periods) != 8 {
		t.Errorf("%d periods, want those of the two newest files", len(l.found.Periods))
	}
	l.appendPeriod()
	l.spool.Close()
	if _, err := os.Stat(filepath.Join(dir, "n0.4")); err != nil {
		t.Error(err)
	}
}

// TestRecoveryGoesBackToTotals checks that files without a period do not end the search for the totals, however large they
// are.
func TestRecoveryGoesBackToTotals(t *testing.T) {
	dir := t.TempDir()
	l := openIncarnation(t, dir, 1<<20)
	l.appendPeriod()
	l.spool.Close()
	empty := filepath.Join(dir, "n0.2")
	if err := os.WriteFile(empty, []byte(magic), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Truncate(empty, maxBodyBytes+1<<20); err != nil {
		t.Fatal(err)
	}
	found, lastFile, err := recoverFiles(dir, "n0", 1<<10)
	if err != nil {
		t.Fatal(err)
	}
	if lastFile != 2 || found.Totals[answers] != 1 || len(found.Periods) != 1 {
		t.Errorf("file %d, total %v, %d periods", lastFile, found.Totals[answers], len(found.Periods))
	}
}
