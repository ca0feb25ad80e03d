package placement

import (
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
)

// urgency is how long the requests of each rank may take, so that under load less urgent ones are refused first: a long
// deadline does not outlast a more urgent request.
type urgency [mostRanks]rankStats

// rankStats are what requests of a rank have shown.
type rankStats struct {
	left    float64       // running mean of the time that they have left, in seconds; 0: none came yet
	refused time.Duration // when one was refused last because of load
	yield   bool          // refused holds a time
}

// rankOf is the rank of a request, 0 the most urgent.
func rankOf(r *Request) int {
	if r.Route == nil {
		return mostRanks - 1
	}
	return min(max(r.Route.Rank, 0), mostRanks-1)
}

// note takes the time that a request has left.
func (u *urgency) note(now time.Duration, r *Request) {
	left := (r.Deadline - now).Seconds()
	if left <= 0 || r.Route == nil {
		return
	}
	rank := &u[rankOf(r)]
	if rank.left == 0 {
		rank.left = left
	}
	capacity.UpdateMean(&rank.left, left, learnSlow)
}

// refuse notes that a request is refused because of load.
func (u *urgency) refuse(now time.Duration, r *Request) {
	rank := &u[rankOf(r)]
	rank.refused, rank.yield = now, true
}

// bearable is how long a request may wait before it is refused, in seconds: a part of the time that it has left, and
// less than what requests of a more urgent rank may while some of those are refused.
func (u *urgency) bearable(now time.Duration, r *Request) float64 {
	own := rankOf(r)
	most := waitedShare * (r.Deadline - now).Seconds()
	for rank := range own {
		if stats := &u[rank]; stats.yields(now) {
			most = math.Min(most, waitedShare*stats.left*math.Pow(yieldShare, float64(own-rank)))
		}
	}
	return most
}

// yields says whether requests of a more urgent rank are refused: less urgent ones then yield, small ones too, which
// would find room where large ones do not.
func (u *urgency) yields(now time.Duration, r *Request) bool {
	for rank := range rankOf(r) {
		if u[rank].yields(now) {
			return true
		}
	}
	return false
}

func (s *rankStats) yields(now time.Duration) bool { return s.yield && now-s.refused <= yieldSpan }
