package runner

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cinderroad/internal/testkit/answer"
)

const (
	reportPath = "/-/report" // endpoint of a runner's state report
	maxReports = 64          // that are kept for ReportDelay
)

// report is the state at a time.
type report struct {
	at         time.Duration
	queued     int
	running    int
	memoryUsed int // tokens, as memorySize
	memorySize int
}

// reportBody is a report in JSON.
type reportBody struct {
	Phase       string        `json:"phase"`
	Models      []reportModel `json:"models"`
	IsBusy      bool          `json:"is_busy"`
	CallCount   int           `json:"call_count"`
	Queued      int           `json:"queued"`
	Running     int           `json:"running"`
	CacheUsed   int           `json:"cache_used"`
	CacheSize   int           `json:"cache_size"`
	OpenHandles int           `json:"open_handles"`
}

type reportModel struct {
	Model
	Adapters []string `json:"adapters"`
}

// recordReport records the current state, and drops records that are too old for the report delay.
func (r *Runner) recordReport() {
	s := r.options.Engine.State()
	now := r.now()
	r.reports = append(r.reports, report{
		at:         now,
		queued:     s.Queued,
		running:    s.Running,
		memoryUsed: s.MemoryPinned,
		memorySize: s.MemorySize,
	})
	for len(r.reports) > 1 && r.reports[1].at <= now-r.options.ReportDelay || len(r.reports) > maxReports {
		r.reports = r.reports[1:]
	}
}

func (r *Runner) serveReport(w http.ResponseWriter) {
	r.mutex.Lock()
	r.stats.HealthChecks++
	r.recordReport()
	old := r.reports[0]
	body := reportBody{
		Phase:     "both",
		Models:    []reportModel{},
		Queued:    old.queued,
		Running:   old.running,
		CacheUsed: old.memoryUsed,
		CacheSize: old.memorySize,
	}
	r.mutex.Unlock()
	for _, model := range r.options.Models {
		body.Models = append(body.Models, reportModel{Model: model, Adapters: []string{}})
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(body)
}

func (r *Runner) serveHealth(w http.ResponseWriter) {
	r.mutex.Lock()
	r.stats.HealthChecks++
	s := r.options.Engine.State()
	full := s.Queued > 0 && s.Running+s.Queued >= r.options.MaxConns && r.options.MaxConns > 0
	remaining := r.options.SlowStart.Remaining(r.now())
	draining := r.draining
	r.mutex.Unlock()
	w.Header().Set(answer.HeaderServerID, r.options.ID)
	if remaining > 0 {
		w.Header().Set(answer.HeaderSlowStart, strconv.FormatInt(remaining.Milliseconds(), 10))
	}
	switch {
	case draining:
		w.WriteHeader(http.StatusServiceUnavailable)
	case full:
		r.sendNotExecuted(w, http.StatusServiceUnavailable)
	}
}
