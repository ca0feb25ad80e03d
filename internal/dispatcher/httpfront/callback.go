package httpfront

import (
	"encoding/json"
	"fmt"
)

// Callback is a runner's report on a job.
type Callback struct {
	ID       string     `json:"id"`   // of the call
	Runner   string     `json:"from"` // UID of the runner
	State    string     `json:"state"`
	Progress float64    `json:"share"`  // completed fraction, 0 to 1
	Result   string     `json:"result"` // the body of the answer, in state done
	Load     LoadReport `json:"load"`
}

// States of a callback. Any other, such as failed, ends the attempt with an error.
const (
	callbackStarted  = "started"
	callbackRunning  = "running"
	callbackDone     = "done"
	callbackReturned = "returned" // the runner rejected the job: it did not run
	callbackLost     = "lost"     // the runner lost the job, which may have run
)

// ParseCallback reads a callback. The states are not checked.
func ParseCallback(body []byte) (Callback, error) {
	var callback Callback
	if err := json.Unmarshal(body, &callback); err != nil {
		return callback, fmt.Errorf("platform: call-back: %w", err)
	}
	if callback.ID == "" || callback.Runner == "" || callback.State == "" {
		return callback, fmt.Errorf("platform: call-back without id, from or state")
	}
	return callback, nil
}

// LoadReport is a load report by the names of its fields.
type LoadReport map[string]float64

// ParseLoadReport reads the header form of a load report. An empty or malformed text is no report: nil.
func ParseLoadReport(text string) LoadReport {
	var report LoadReport
	if text == "" || json.Unmarshal([]byte(text), &report) != nil {
		return nil
	}
	return report
}

// fieldAliases are the short names that runners use for the settings' fields.
var fieldAliases = map[string]string{
	"outstanding":  "inflight",
	"backlog":      "queue",
	"utilization":  "util",
	"recent_ms":    "latency_ms",
	"throughput":   "qps",
	"errors_per_s": "eps",
}

// notReported stands for a field that a load report lacks.
const notReported = -1

// Values returns the report in the order of the settings' fields, notReported (-1) for one that it lacks; nil for no report.
func (r LoadReport) Values(fields []string) []float32 {
	if len(r) == 0 {
		return nil
	}
	values := make([]float32, len(fields))
	for i, name := range fields {
		value, ok := r[name]
		if !ok {
			value, ok = r[fieldAliases[name]]
		}
		if !ok {
			value = notReported
		}
		values[i] = float32(value)
	}
	return values
}
