package placement

import (
	"math"
	"time"

	"cinderroad/internal/shared/capacity"
)

// loadShedding is how long the requests of each rank may take, so that under load less urgent ones are refused first: a long
// deadline does not outlast a more urgent request.
type loadShedding [maxRanks]rankStats

// rankStats are what requests of a rank have shown.
type rankStats struct {
	remaining  float64       // running mean of the time that they have left, in seconds; 0: none came yet
	rejectedAt time.Duration // when one was refused last because of load
	rejected   bool          // refused holds a time
}

// rankOf is the rank of a request, 0 the most urgent.
func rankOf(request *Request) int {
	if request.Route == nil {
		return maxRanks - 1
	}
	return min(max(request.Route.Rank, 0), maxRanks-1)
}

// recordArrival takes the time that a request has left.
func (u *loadShedding) recordArrival(now time.Duration, request *Request) {
	left := (request.Deadline - now).Seconds()
	if left <= 0 || request.Route == nil {
		return
	}
	rank := &u[rankOf(request)]
	if rank.remaining == 0 {
		rank.remaining = left
	}
	capacity.UpdateMean(&rank.remaining, left, fleetLearningRate)
}

// recordRejection notes that a request is refused because of load.
func (u *loadShedding) recordRejection(now time.Duration, request *Request) {
	rank := &u[rankOf(request)]
	rank.rejectedAt, rank.rejected = now, true
}

// maxWait is how long a request may wait before it is refused, in seconds: a part of the time that it has left, and
// less than what requests of a more urgent rank may while some of those are refused.
func (u *loadShedding) maxWait(now time.Duration, request *Request) float64 {
	own := rankOf(request)
	most := maxWaitShare * (request.Deadline - now).Seconds()
	for rank := range own {
		if stats := &u[rank]; stats.recentlyRejected(now) {
			most = math.Min(most, maxWaitShare*stats.remaining*math.Pow(yieldShare, float64(own-rank)))
		}
	}
	return most
}

// mustYield says whether requests of a more urgent rank are refused: less urgent ones then yield, small ones too, which
// would find room where large ones do not.
func (u *loadShedding) mustYield(now time.Duration, request *Request) bool {
	for rank := range rankOf(request) {
		if u[rank].recentlyRejected(now) {
			return true
		}
	}
	return false
}

func (s *rankStats) recentlyRejected(now time.Duration) bool {
	return s.rejected && now-s.rejectedAt <= yieldDuration
}
