package processcluster

import (
	"errors"
	"os"
	"time"

	"cinderroad/internal/dispatcher/cluster/auditlog"
	"cinderroad/internal/dispatcher/linelog"
)

// AuditFiles returns the audit logs and request logs of all members.
func (c *Cluster) AuditFiles() (files []string) {
	for _, m := range c.Members {
		for _, path := range []string{m.path + ".requests.ledger", m.path + ".requests"} {
			if _, err := os.Stat(path); err == nil {
				files = append(files, path)
			}
		}
	}
	return files
}

// Audit reads what the members have logged so far. It waits for their buffers to be flushed.
func (c *Cluster) Audit() *auditlog.Report {
	time.Sleep(time.Duration(2 * linelog.FlushIntervalSeconds * float64(time.Second)))
	report, err := auditlog.AuditFiles(auditlog.DefaultRules, c.AuditFiles(), func(file string, line int, err error) {
		if line == 0 {
			c.must(err)
		}
		c.Log(file + ": " + err.Error())
	})
	if errors.Is(err, auditlog.ErrNoEntries) {
		return &auditlog.Report{}
	}
	c.must(err)
	return report
}

// checkAudit fails the test if a member acted against a version that it knew.
func (c *Cluster) checkAudit() {
	c.TB.Helper()
	report := c.Audit()
	for _, violation := range report.Violations {
		c.TB.Errorf("audit: %+v", violation)
	}
	for _, straggler := range report.Stragglers {
		c.TB.Logf("audit: late: %+v", straggler)
	}
	if report.Attempts > 0 && report.Judged == 0 {
		c.TB.Errorf("audit: none of %d sends could be judged: %v", report.Attempts, report.Inconclusive)
	}
	c.TB.Logf("audit: %d versions, %d of %d sends judged, %d late",
		len(report.Versions), report.Judged, report.Attempts, len(report.Stragglers))
}
