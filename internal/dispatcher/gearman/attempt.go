package gearman

import (
	"strconv"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/loadbalancer"
)

// attempt is one attempt of the dispatcher to run a job at a worker.
type attempt struct {
	id            dispatch.AttemptID
	job           *job
	worker        *worker
	timeLimit     *eventloop.Timer // of CAN_DO_TIMEOUT
	output        []outputPacket   // WORK_DATA and WORK_WARNING so far
	outputBytes   int
	assignmentEnd uint64 // the connection's write offset just after JOB_ASSIGN: below it, the worker cannot have begun
	settled       bool   // the dispatcher has its outcome or cancelled it: report nothing more
}

// handleReport handles a worker's packet about a job that it runs. Status is forwarded at once; data and warnings are
// buffered until the job ends (see outputPacket).
func (a *attempt) handleReport(packet Packet) {
	j := a.job
	switch packet.Kind {
	case WorkStatus:
		if a.settled || j.ended {
			return
		}
		j.numerator = packet.Args[1]
		j.denominator = packet.Args[2]
		j.notify(WorkStatus, j.numerator, j.denominator)
		numerator, numeratorErr := strconv.ParseFloat(j.numerator, 64)
		denominator, denominatorErr := strconv.ParseFloat(j.denominator, 64)
		if numeratorErr == nil && denominatorErr == nil && denominator > 0 && numerator > 0 && numerator <= denominator {
			a.worker.peer.server.dispatcher.HandleProgress(a.id, numerator/denominator)
		}
	case WorkData, WorkWarning:
		a.outputBytes += len(packet.Args[1])
		if a.outputBytes > maxDataBytes {
			a.finish(dispatch.Outcome{Result: loadbalancer.Error, Report: a.worker.load()})
			return
		}
		a.output = append(a.output, outputPacket{packet.Kind, packet.Args[1]})
	case WorkComplete:
		if !j.ended && !a.settled {
			j.output = a.output
		}
		a.finish(dispatch.Outcome{Result: loadbalancer.OK, Body: []byte(packet.Args[1]), Report: a.worker.load()})
	case WorkException:
		if !j.ended && !a.settled {
			j.exception = packet.Args[1]
		}
		a.finish(dispatch.Outcome{Result: loadbalancer.Error, Report: a.worker.load()})
	case WorkFail:
		a.finish(dispatch.Outcome{Result: loadbalancer.Error, Report: a.worker.load()})
	}
}

// finish removes the attempt from the worker and reports the outcome, unless it was cancelled. Only the first call has
// an effect.
func (a *attempt) finish(outcome dispatch.Outcome) {
	if a.worker.running[a.job.handle] != a {
		return
	}
	delete(a.worker.running, a.job.handle)
	a.timeLimit.Stop()
	a.job.running--
	if a.job.running == 0 {
		a.job.function.running--
	}
	if !a.settled {
		a.settled = true
		a.worker.peer.server.dispatcher.HandleOutcome(a.id, outcome)
	}
}

// settle drops all further reports of a cancelled attempt. It stays in worker.running until the worker ends it.
func (a *attempt) settle() { a.settled = true }
