package server

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// cpuSeconds returns the processor time that the process has used, in seconds.
func (h *harness) cpuSeconds() float64 { return cpuOf(h.t, h.cmd.Process.Pid) }

// cpuOf returns the processor time that a process has used, in seconds (proc(5), fields 14 and 15, in hundredths).
func cpuOf(t *testing.T, pid int) (sum float64) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	f := bytes.Fields(text[bytes.LastIndexByte(text, ')')+2:])
	for _, b := range f[11:13] {
		v, err := strconv.ParseFloat(string(b), 64)
		if err != nil {
			t.Fatal(err)
		}
		sum += v / 100
	}
	return sum
}

// residentMB returns the resident memory of the process, in MB (proc(5), field 24, in pages).
func (h *harness) residentMB() float64 {
	h.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.cmd.Process.Pid))
	if err != nil {
		h.t.Fatal(err)
	}
	pages, err := strconv.Atoi(string(bytes.Fields(text[bytes.LastIndexByte(text, ')')+2:])[21]))
	if err != nil {
		h.t.Fatal(err)
	}
	return float64(pages*os.Getpagesize()) / (1 << 20)
}

// latencies requests jobs, some at a time, and returns how long each took, sorted.
func (g *workerGroup) latencies(jobs, together int) []float64 {
	var mu sync.Mutex
	var all []float64
	runConcurrently(jobs, together, func(int64) {
		began := time.Now()
		g.harness.requestJob("score", 4000)
		took := time.Since(began).Seconds()
		mu.Lock()
		all = append(all, took)
		mu.Unlock()
	})
	slices.Sort(all)
	return all
}

// TestCost measures, where COST is set, what all reporting costs a job compared with none, and what a stalled receiver
// does to the slowest jobs. It asserts nothing: processes take turns on the same machine, and the medians of their turns
// are printed with the least and the greatest.
func TestCost(t *testing.T) {
	rounds, err := strconv.Atoi(os.Getenv("COST"))
	if err != nil {
		t.Skip("set COST to the number of rounds")
	}
	s := newTelemetryHarness(t, false)
	stalled := newTelemetryHarness(t, false)
	groups := map[string]*workerGroup{}
	names := []string{"off", "on", "stalled"}
	for _, name := range names {
		c := newWorkerGroup(t, 4, name)
		o := options{cold: 0.001, memory: 32, sockets: 256}
		switch name {
		case "on":
			o.args = []string{"-operator", s.file("on"), "-metrics-every", "1"}
		case "stalled":
			o.args = []string{"-operator", stalled.file("stalled"), "-metrics-every", "1"}
		}
		c.harness = startHarness(t, o, c.targets()...)
		c.harness.client = newPooledClient()
		c.latencies(2000, 6)
		groups[name] = c
	}
	stalled.carbon.SetStalled(true)
	stalled.collectd.SetStalled(true)
	const jobs = 6000
	cpuMicroseconds := map[string][]float64{} // a job, by dispatcher, for each of its turns
	p99Milliseconds := map[string][]float64{} // of the jobs' latencies
	for range rounds {
		for _, name := range names {
			c := groups[name]
			before := c.harness.cpuSeconds()
			spans := c.latencies(jobs, 6)
			cpuMicroseconds[name] = append(cpuMicroseconds[name], 1e6*(c.harness.cpuSeconds()-before)/jobs)
			p99Milliseconds[name] = append(p99Milliseconds[name], 1e3*spans[len(spans)*99/100])
		}
	}
	stalled.carbon.SetStalled(false)
	stalled.collectd.SetStalled(false)
	var b strings.Builder
	for _, name := range names {
		cpu, p99 := cpuMicroseconds[name], p99Milliseconds[name]
		slices.Sort(cpu)
		slices.Sort(p99)
		fmt.Fprintf(&b, "\n%-8s CPU a job %.1f µs (%.1f to %.1f), p99 %.2f ms (%.2f to %.2f), %.1f MB",
			name,
			cpu[len(cpu)/2], cpu[0], cpu[len(cpu)-1],
			p99[len(p99)/2], p99[0], p99[len(p99)-1],
			groups[name].harness.residentMB())
	}
	t.Log(b.String())
}
