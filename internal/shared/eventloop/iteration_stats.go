package eventloop

// IterationStats are statistics of the loop's iterations. While one runs, everything else waits.
type IterationStats struct {
	Count   uint64
	Longest float64 // in seconds, since the statistics were last taken
}

// TakeIterationStats returns the statistics and restarts the measurement of the longest iteration.
func (l *Loop) TakeIterationStats() IterationStats {
	stats := l.iterations
	l.iterations.Longest = 0
	return stats
}

// endIteration records the duration of an iteration, which began at a time of the loop's clock: Now may have advanced
// since, with a datagram.
func (l *Loop) endIteration(began float64) {
	l.updateTime()
	l.iterations.Count++
	l.iterations.Longest = max(l.iterations.Longest, l.now-began)
}
