package server

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cinderroad/internal/dispatcher/httpfront"
	"cinderroad/internal/testkit/racedetector"
)

const (
	smallMemoryMB  = 32
	jobBytesMB     = smallMemoryMB * 0.12 // of the bodies of open jobs (package admission)
	memoryJobs     = 96                   // there is memory for 61
	memoryBudgetMS = 4000
)

// TestMemoryNearItsLimit guards against jobs whose bodies exceed the memory limit together: those beyond it are rejected at
// once, those that wait go on, and what they had is free again once they have ended.
func TestMemoryNearItsLimit(t *testing.T) {
	w := startHarness(t, options{memory: smallMemoryMB, single: true}) // no worker: jobs wait until their deadline
	body := strings.Repeat("x", httpfront.MaxBody)
	limitBytes := jobBytesMB * (1 << 20)
	fitting := int(limitBytes) / len(body)
	for round := range 2 {
		waiting, rejected := w.fillMemory(round, body)
		if waiting != fitting || rejected != memoryJobs-fitting {
			t.Errorf("round %d: %d jobs waited and %d were rejected at once, want %d and %d",
				round, waiting, rejected, fitting, memoryJobs-fitting)
		}
		// The race detector needs memory of its own, several times the process's.
		if resident := w.residentMB(); resident > smallMemoryMB && !racedetector.Enabled {
			t.Errorf("round %d: the process has %.1f MB of %d", round, resident, smallMemoryMB)
		}
	}
}

// fillMemory sends jobs of a body, each over a connection of its own, and returns how many waited until their deadline and
// how many were rejected before that. Each answer has to say when to come back.
func (h *harness) fillMemory(round int, body string) (waiting, rejected int) {
	h.t.Helper()
	answered := make(chan time.Duration, memoryJobs)
	began := time.Now()
	for i := range memoryJobs {
		c := h.dial()
		fmt.Fprintf(c, "POST /score/a HTTP/1.1\r\nX-Call-Id: m-%d-%d\r\nX-Budget-Ms: %d\r\nContent-Length: %d\r\n\r\n",
			round, i, memoryBudgetMS, len(body))
		io.WriteString(c, body)
		go func() {
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || response.StatusCode != 503 || response.Header.Get("Retry-After") == "" {
				h.t.Errorf("a job that nobody serves: %v, %v", response, err)
			}
			answered <- time.Since(began)
		}()
	}
	for range memoryJobs {
		if took := <-answered; took < memoryBudgetMS/2*time.Millisecond {
			rejected++
		} else {
			waiting++
		}
	}
	return waiting, rejected
}
