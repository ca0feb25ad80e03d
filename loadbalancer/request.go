package loadbalancer

import (
	"math"

	"cinderroad/internal/shared/capacity"
)

// attemptState is one send of a request.
type attemptState struct {
	worker     *workerState
	sentAt     float64
	startedAt  float64 // 0: no start has been reported
	fraction   float64 // share of the work that is reported done
	load       float64 // of the worker when it was sent, this job included
	inFlight   bool
	mayHaveRun bool // in flight, or ended without proof that it never ran
}

// requestState is the state of a request until it has its answer and all its attempts have ended.
type requestState struct {
	Request
	class           *Class
	arrivedAt       float64
	target          float64 // clock time up to which an answer has the full value
	cost            float64 // expected work in seconds: the hint, or the mean of the class
	slotsNeeded     float64 // Request.Slots, or 1
	attempts        []attemptState
	inFlight        int  // attempts
	answered        bool // the client has its final answer, or has disconnected
	unansweredIndex int  // in Balancer.unanswered
}

// admit adds an arrival; an invalid deadline, hint or size counts as not given.
func (b *Balancer) admit(now float64, arrival *Request) *requestState {
	request := b.newRequest()
	request.Request = *arrival
	request.arrivedAt = now
	request.class = &b.Classes[arrival.Class]
	if !isFinite(request.Deadline) || request.Deadline > now+request.class.Deadline {
		request.Deadline = now + request.class.Deadline
	}
	if !isFinite(request.Work) || request.Work < 0 {
		request.Work = 0
	}
	request.cost = b.meanWork[arrival.Class]
	if request.Work > 0 {
		request.cost = request.Work
		capacity.UpdateMean(&b.meanWork[arrival.Class], request.Work, clusterLearningRate)
	}
	request.slotsNeeded = request.Slots
	if !isFinite(request.slotsNeeded) || request.slotsNeeded <= 0 {
		request.slotsNeeded = 1
	}
	capacity.UpdateMean(&b.slotsPerJob, math.Min(request.slotsNeeded, maxJobSlots), clusterLearningRate)
	request.target = math.Min(now+request.class.Objective+request.class.Stretch*request.cost, request.Deadline)
	b.arrivals++
	b.requests[request.ID] = request
	request.unansweredIndex = len(b.unanswered)
	b.unanswered = append(b.unanswered, request)
	return request
}

// newRequest returns an empty request, a released one if there is any.
func (b *Balancer) newRequest() *requestState {
	if free := len(b.freeRequests); free > 0 {
		recycled := b.freeRequests[free-1]
		b.freeRequests = b.freeRequests[:free-1]
		*recycled = requestState{attempts: recycled.attempts[:0]}
		return recycled
	}
	return &requestState{}
}

// closeRequest removes an answered request from the unanswered ones.
func (b *Balancer) closeRequest(request *requestState) {
	request.answered = true
	last := len(b.unanswered) - 1
	b.unanswered[request.unansweredIndex] = b.unanswered[last]
	b.unanswered[request.unansweredIndex].unansweredIndex = request.unansweredIndex
	b.unanswered = b.unanswered[:last]
}

// release drops a request that is answered and has no attempt in flight.
func (b *Balancer) release(request *requestState) {
	if request.answered && request.inFlight == 0 && b.requests[request.ID] == request {
		delete(b.requests, request.ID)
		b.freeRequests = append(b.freeRequests, request)
	}
}

// findAttempt returns an attempt in flight and its request, or nil.
func (b *Balancer) findAttempt(id RequestID, index int) (*attemptState, *requestState) {
	request := b.requests[id]
	if request == nil || index < 0 || index >= len(request.attempts) || !request.attempts[index].inFlight {
		return nil, nil
	}
	return &request.attempts[index], request
}

// recordSend adds an attempt and reserves its slots.
func (b *Balancer) recordSend(now float64, request *requestState, worker *workerState) {
	b.slowStartSpent(now, worker)
	worker.sentWork[worker.sentSpan&3] += b.slowStartCost(request)
	request.attempts = append(request.attempts, attemptState{
		worker:     worker,
		sentAt:     now,
		inFlight:   true,
		mayHaveRun: true,
		load:       worker.otherJobs*b.slotsPerJob + worker.ownSlots + request.slotsNeeded,
	})
	request.inFlight++
	worker.ownSlots += request.slotsNeeded
	worker.ownJobs++
	worker.spareSlots -= request.slotsNeeded
}

// endAttempt releases the slots of an attempt.
func (r *requestState) endAttempt(attempt *attemptState) {
	attempt.inFlight = false
	r.inFlight--
	worker := attempt.worker
	worker.ownSlots -= r.slotsNeeded
	worker.ownJobs--
	worker.spareSlots += r.slotsNeeded
}

// lastInFlight is the last attempt in flight; if there is none, the first attempt.
func (r *requestState) lastInFlight() *attemptState {
	for i := len(r.attempts) - 1; i > 0; i-- {
		if r.attempts[i].inFlight {
			return &r.attempts[i]
		}
	}
	return &r.attempts[0]
}

// hasTried reports whether an attempt went to the worker.
func (r *requestState) hasTried(worker *workerState) bool {
	for i := range r.attempts {
		if r.attempts[i].worker == worker {
			return true
		}
	}
	return false
}

// mayHaveRun reports whether any attempt may have run.
func (r *requestState) mayHaveRun() bool {
	for i := range r.attempts {
		if r.attempts[i].mayHaveRun {
			return true
		}
	}
	return false
}

// finishRequest records that the client has its answer and cancels what is in flight, except the stream
// that it receives.
func (b *Balancer) finishRequest(request *requestState, stream *attemptState) {
	if request.answered {
		return
	}
	b.closeRequest(request)
	for i := range request.attempts {
		if &request.attempts[i] != stream {
			b.cancel(request, i)
		}
	}
}

// cancel withdraws an attempt that is still in flight, if that is allowed.
func (b *Balancer) cancel(request *requestState, index int) {
	if b.MayCancel && request.attempts[index].inFlight {
		b.actions.Cancel(request.ID, index)
	}
}
