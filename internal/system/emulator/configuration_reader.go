package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"cinderroad/internal/system/retry"
)

// readInterval is the time between two reads of the configuration.
const readInterval = 150 * time.Millisecond

// configurationReader reads the configuration at one control machine after the other. A machine may not answer, but never with
// an older version or one that must not be in force.
type configurationReader struct {
	emulation *emulation
	operator  *operator
	answers   int
}

func newConfigurationReader(e *emulation) *configurationReader {
	return &configurationReader{emulation: e, operator: e.deployment.operator()}
}

// run implements workload.
func (r *configurationReader) run(ctx context.Context) {
	for retry.Sleep(ctx, readInterval) {
		r.read(ctx)
		r.operator.attempts++
	}
}

// read reads once at the next control machine.
func (r *configurationReader) read(ctx context.Context) {
	sentAt := time.Now()
	text, status, err := r.operator.sendOnce(ctx, http.MethodGet, readPath, 0, nil)
	if err != nil || status != http.StatusOK {
		return
	}
	var read configurationDocument
	err = json.Unmarshal(text, &read)
	if err == nil {
		r.answers++
		err = r.emulation.storm.history.checkRead(&read, sentAt, milliseconds(defaultTiming.ConfigWithinMS))
	}
	r.emulation.reportMismatch("read during the storm", err)
}

// finish implements workload.
func (r *configurationReader) finish(context.Context) {
	r.emulation.logEvent("configuration reads", "answered", r.answers)
}
