// Package dispatch is the core of the dispatcher: it owns every open request and every attempt at one, has package
// loadbalancer decide what happens to them, and carries the decisions out.
//
// It guarantees:
//
//   - Each submitted request gets exactly one final answer, unless its client disconnects first. Should the balancer lose
//     a request, the dispatcher answers it shortly after its deadline.
//   - The balancer gets exactly one outcome for each attempt it started.
//   - The balancer is never re-entered. What a front or a backend causes from within one of the balancer's actions is
//     queued and handled after the event at hand.
//
// The package knows no wire protocol and does no I/O. A front submits jobs and implements [Requester]; a [Backend]
// carries attempts to one worker and reports their progress and outcome; [Discovery] supplies the member list through
// [Dispatcher.UpdateMembers]; an [Observer] keeps records. [Clock] supplies the time and the timers.
//
// Concurrency: a Dispatcher belongs to one goroutine, or its owner holds a lock around every call. All callbacks run
// on the goroutine of the call that caused them. Times are seconds of the Clock.
package dispatch
