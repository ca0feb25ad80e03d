package dispatch

import "cinderroad/loadbalancer"

// Reason is why a request was not served.
type Reason uint8

// The reasons. ReasonEvacuated and the ones after it come from fronts that answer by themselves.
const (
	ReasonNone             Reason = iota
	ReasonNoReadyMember           // no member was ready
	ReasonNoCapacity              // no member had capacity in time
	ReasonRejected                // the last attempt was rejected by the backend
	ReasonUnreachable             // the last attempt found no connection
	ReasonWithdrawn               // the last attempt was withdrawn before its first byte
	ReasonDeadlineExceeded        // the deadline had passed
	ReasonBackendError            // the last attempt failed at the backend
	ReasonConnectionLost          // the last attempt's connection broke
	ReasonTimeout                 // the last attempt was never answered
	ReasonCancelled               // the last attempt was cancelled
	ReasonInvalidJob              // backends called the job itself invalid
	ReasonUnknownClass            // the class has no settings: whether a retry is safe is unknown
	ReasonOverdue                 // the balancer had lost the request
	ReasonEvacuated               // the front is evacuated
	ReasonNoMemory                // there was no memory for the body
	ReasonLeaseExpired            // this dispatcher is out of its lease
	ReasonCount                   // the number of reasons
)

// reasonNames are the names in metrics and logs.
var reasonNames = [ReasonCount]string{
	ReasonNone:             "",
	ReasonNoReadyMember:    "no_member",
	ReasonNoCapacity:       "no_room",
	ReasonRejected:         "full",
	ReasonUnreachable:      "unreachable",
	ReasonWithdrawn:        "withdrawn",
	ReasonDeadlineExceeded: "too_late",
	ReasonBackendError:     "backend_error",
	ReasonConnectionLost:   "broken",
	ReasonTimeout:          "silent",
	ReasonCancelled:        "cancelled",
	ReasonInvalidJob:       "unusable",
	ReasonUnknownClass:     "unknown_class",
	ReasonOverdue:          "overdue",
	ReasonEvacuated:        "evacuated",
	ReasonNoMemory:         "no_memory",
	ReasonLeaseExpired:     "out_of_lease",
}

// String returns the reason's name in metrics and logs; it is empty for ReasonNone.
func (r Reason) String() string { return reasonNames[r] }

// deadlineMarginTicks is how many of the settings' ticks before its deadline a request counts as too late. The balancer
// gives a request up two ticks before its deadline, which must be within the margin.
const deadlineMarginTicks = 3

// reasonNotServed derives why the balancer rejected or failed a request, which it does not say: from the end of the last
// attempt if there was one, otherwise from the state of the request and of the members.
func (d *Dispatcher) reasonNotServed(request *request) Reason {
	if !d.hasClass(request.job.Class) {
		return ReasonUnknownClass
	}
	margin := deadlineMarginTicks * max(d.settings.Tick, overdueGrace)
	deadlinePassed := d.clock.Now() >= request.job.Deadline-margin
	if n := len(request.attempts); n > 0 && !(deadlinePassed && request.running > 0) {
		last := request.attempts[n-1]
		if reason := attemptReasons[last.result]; last.ended && reason != ReasonNone {
			return reason
		}
	}
	switch {
	case deadlinePassed:
		return ReasonDeadlineExceeded
	case d.readyMembers == 0:
		return ReasonNoReadyMember
	}
	return ReasonNoCapacity
}

// attemptReasons are the reasons that follow from the result of the last attempt.
var attemptReasons = [loadbalancer.Withdrawn + 1]Reason{
	loadbalancer.Error:         ReasonBackendError,
	loadbalancer.Rejected:      ReasonRejected,
	loadbalancer.Timeout:       ReasonTimeout,
	loadbalancer.ConnectFailed: ReasonUnreachable,
	loadbalancer.Reset:         ReasonConnectionLost,
	loadbalancer.Cancelled:     ReasonCancelled,
	loadbalancer.Withdrawn:     ReasonWithdrawn,
}
