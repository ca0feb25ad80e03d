package capacity

import "math"

const (
	// LearningRate is the weight of a new sample in a running mean: about the last ten count.
	LearningRate = 0.2
	// EjectionErrorRate is the error rate above which a worker is ejected: two errors in a row suffice.
	EjectionErrorRate = 0.35
	// PeerFactor is the multiple of its peers' error rate that a worker must exceed to be ejected: a fault of
	// all ejects none.
	PeerFactor = 2.0
)

// Ejection is the outlier detection of a worker. The zero value is a worker of which nothing is known.
type Ejection struct {
	ErrorRate    float64 // running mean of the outcomes
	Observed     bool    // an outcome has been recorded
	EjectedUntil float64 // time
	LastDuration float64 // of the last ejection; 0: its attempts have succeeded since
}

// RecordOutcome counts a failure, 1, or a success, 0, and reports whether the worker should be ejected: one
// that fails fast looks empty and would attract all jobs. peerErrorRate is the mean error rate of its peers.
func (e *Ejection) RecordOutcome(failure, peerErrorRate float64) bool {
	UpdateMean(&e.ErrorRate, failure, LearningRate)
	e.Observed = true
	if e.ErrorRate < EjectionErrorRate/2 { // it has recovered: the next ejection is a short one again
		e.LastDuration = 0
	}
	return failure > 0 && e.ErrorRate > EjectionErrorRate && e.ErrorRate > PeerFactor*peerErrorRate
}

// Eject ejects the worker from now on, each time for twice as long, between minDuration and maxDuration. It
// returns false and changes nothing if the worker is ejected already.
func (e *Ejection) Eject(now, minDuration, maxDuration float64) bool {
	if now < e.EjectedUntil {
		return false
	}
	e.LastDuration = math.Min(math.Max(2*e.LastDuration, minDuration), maxDuration)
	e.EjectedUntil = now + e.LastDuration
	return true
}

// IsEjected reports whether the worker is ejected.
func (e *Ejection) IsEjected(now float64) bool { return now < e.EjectedUntil }

// UpdateMean moves a running mean towards a sample by a rate from 0 to 1.
func UpdateMean(mean *float64, sample, rate float64) { *mean += rate * (sample - *mean) }
