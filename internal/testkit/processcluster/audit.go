package processcluster

import (
	"errors"
	"os"
	"time"

	"cinderroad/internal/dispatcher/cluster/auditlog"
	"cinderroad/internal/dispatcher/linelog"
)

// AuditFiles are the ledgers and request logs of all members.
func (r *Cluster) AuditFiles() (files []string) {
	for _, m := range r.Members {
		for _, path := range []string{m.path + ".requests.ledger", m.path + ".requests"} {
			if _, err := os.Stat(path); err == nil {
				files = append(files, path)
			}
		}
	}
	return files
}

// Audit reads what the members have written so far.
func (r *Cluster) Audit() *auditlog.Report {
	time.Sleep(time.Duration(2 * linelog.FlushEvery * float64(time.Second)))
	report, err := auditlog.AuditFiles(auditlog.DefaultRules, r.AuditFiles(), func(file string, line int, err error) {
		if line == 0 {
			r.must(err)
		}
		r.Log(file + ": " + err.Error())
	})
	if errors.Is(err, auditlog.ErrNoEntries) {
		return &auditlog.Report{}
	}
	r.must(err)
	return report
}

// audit has every test's run audited: no member may have acted against what it knew.
func (r *Cluster) audit() {
	r.TB.Helper()
	report := r.Audit()
	for _, b := range report.Violations {
		r.TB.Errorf("audit: %+v", b)
	}
	for _, s := range report.Stragglers {
		r.TB.Logf("audit: late: %+v", s)
	}
	if report.Attempts > 0 && report.Judged == 0 {
		r.TB.Errorf("audit: none of %d sends could be judged: %v", report.Attempts, report.Inconclusive)
	}
	r.TB.Logf("audit: %d versions, %d of %d sends judged, %d late", len(report.Versions), report.Judged, report.Attempts, len(report.Stragglers))
}
