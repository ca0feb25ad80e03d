package loadbalancer

import (
	"math"
	"testing"
)

// Under overload a worker without reports has the others' mean spare capacity, far below 0; rejections must see that.
func TestQueueIsSeenOnWorkersWithoutReports(t *testing.T) {
	r := newRecorder(t, testSettings(), 1)
	r.list(ListFull, ready(2)...)
	for i := 0; i < 2; i++ {
		r.request(RequestID(i+1), 0, 0.5)
		r.runTo(r.now + 0.5)
		r.start(RequestID(i+1), 0)
		r.runTo(r.now + 0.5)
		r.outcome(RequestID(i+1), 0, OK, 0, 0, 4)
	}
	w := r.balancer.workers[0]
	r.balancer.learnReport(r.now, r.balancer.workers[1], []float32{60, 1, 0})
	r.balancer.workers[1].otherJobs = 60
	w.reported = false
	r.balancer.rebuildPlan(r.now)
	if r.request(9, 0, 0.5); !r.rejected[9] {
		t.Errorf("no rejection though what is known is a queue of 60: spare slots %.1f and %.1f",
			w.spareSlots, r.balancer.workers[1].spareSlots)
	}
}

// Guards against a report of a full worker that keeps it without spare capacity for good where reports come with answers only.
func TestOldReportDoesNotExcludeWorker(t *testing.T) {
	r := newRecorder(t, testSettings(), 1)
	r.list(ListFull, ready(2)...)
	hit := map[WorkerID]int{}
	for id := RequestID(1); id <= 200; id++ {
		r.request(id, 0, 0.05)
		r.runTo(r.now + 0.05)
		for n := range r.attempts[id] {
			if !r.attempts[id][n].inFlight {
				continue
			}
			w := r.attempts[id][n].worker
			hit[w]++
			r.start(id, n)
			if w == 1 && hit[w] == 1 {
				r.outcome(id, n, OK, 9, 1, 0)
			} else {
				r.outcome(id, n, OK, 1, 0.2, float32(3-id%2))
			}
		}
	}
	if hit[1] < 10 {
		t.Errorf("worker 1 got %d of 200 jobs after one report of being full", hit[1])
	}
}

// Guards against a worker polled once in ten seconds whose report counts for forty, and attracts every job meanwhile.
func TestRarelyPolledReportExpires(t *testing.T) {
	s := testSettings()
	s.MayProbe = true
	s.ReportsByProbe = true
	r := newRecorder(t, s, 1)
	r.list(ListFull, ready(2)...)
	was := r.balancer.reportPeriod
	for i := 0; i < 10; i++ {
		r.runTo(r.now + 10)
		r.balancer.HandleProbeResult(r.now, 1, OK, []float32{float32(i), 0.1 * float32(i), 9})
	}
	if r.balancer.reportPeriod > was {
		t.Errorf("period of reports went from %.2f to %.2f though none was seen twice", was, r.balancer.reportPeriod)
	}
	for i := 0; i < 20; i++ { // each seen twice: now the time between new ones is known
		r.runTo(r.now + 1)
		for j := 0; j < 2; j++ {
			r.balancer.HandleProbeResult(r.now, 1, OK, []float32{float32(i % 7), 0.1 * float32(i%7), 9})
		}
	}
	if r.balancer.reportPeriod < 0.9 || r.balancer.reportPeriod > 1.1 {
		t.Errorf("period of reports is %.2f, reports come each second", r.balancer.reportPeriod)
	}
}

func TestWaitingJobMarksWorkerFull(t *testing.T) {
	r := newRecorder(t, testSettings(), 1)
	r.list(ListFull, ready(2)...)
	for i := 0; i < 2; i++ { // both reported four slots and no load
		r.request(RequestID(i+1), 0, 0.05)
		r.runTo(r.now + 0.02)
		r.start(RequestID(i+1), 0)
		r.outcome(RequestID(i+1), 0, OK, 0, 0, 4)
	}
	r.request(3, 2, 1)
	stuck := r.attempts[3][0].worker
	r.runTo(r.now + 0.2)
	for id := RequestID(4); id < 8; id++ {
		r.request(id, 2, 1)
		if w := r.attempts[id][0].worker; w == stuck {
			t.Errorf("request %d went to the worker where a job has been waiting", id)
		}
		r.start(id, 0)
	}
}

// Guards against a queue behind a wide job that makes a worker of four slots look as if it had 28, and attracts jobs.
func TestQueueBehindWideJobDoesNotCountAsSlots(t *testing.T) {
	r := newRecorder(t, testSettings(), 1)
	r.list(ListFull, ready(1)...)
	w := r.balancer.workersByID[1]
	r.balancer.learnReport(r.now, w, []float32{1, 0.2, 3})
	r.balancer.learnReport(r.now, w, []float32{27, 0.8, 1})
	if w.slots != 4 {
		t.Errorf("%.0f slots", w.slots)
	}
}

// Guards against idle workers that count as slow for good after the progress updates of one long job.
func TestOneLongJobDoesNotMarkWorkerSlow(t *testing.T) {
	r := newRecorder(t, testSettings(), 1)
	r.list(ListFull, ready(1)...)
	r.balancer.meanWork[2] = 0.1
	r.request(1, 2, 0)
	r.start(1, 0)
	for i := 1; i < 9; i++ {
		r.runTo(r.now + 0.5)
		r.balancer.HandleProgress(r.now, &ProgressUpdate{Request: 1, Fraction: float64(i) / 10})
	}
	if pace := r.balancer.workersByID[1].pace; pace > peerFactor*r.balancer.meanPace {
		t.Errorf("pace %.2f against %.2f of all", pace, r.balancer.meanPace)
	}
	r.outcome(1, 0, OK)
	slow := r.balancer.workersByID[1].pace
	r.runTo(r.now + 30)
	if pace := r.balancer.workersByID[1].pace; math.Abs(pace-r.balancer.meanPace) > 0.2*math.Abs(slow-r.balancer.meanPace) {
		t.Errorf("pace %.2f is not forgotten, was %.2f, all have %.2f", pace, slow, r.balancer.meanPace)
	}
}
