package dispatch

import (
	"cinderroad/internal/shared/slotmap"
	"cinderroad/loadbalancer"
)

// Timer is a pending callback of a [Clock].
type Timer interface {
	// Stop withdraws the callback. It has no effect once the callback has run.
	Stop()
}

// Clock supplies the time and the timers of a Dispatcher.
type Clock interface {
	// Now returns the time in seconds; it never goes back.
	Now() float64
	// At has callback run at a time, on the Dispatcher's goroutine and never from within At.
	At(at float64, callback func()) Timer
}

// Counts are totals since the start, and what is open now. Their JSON names are part of the log's format.
type Counts struct {
	Requests      uint64                             `json:"Reqs"`
	Served        uint64                             `json:"Served"`
	Rejected      uint64                             `json:"Refused"`
	Failed        uint64                             `json:"Failed"`
	Disconnected  uint64                             `json:"Gone"`     // requests whose client left before the answer
	Attempts      uint64                             `json:"Fetches"`  // all attempts, retries included
	Retries       uint64                             `json:"Repeats"`  // attempts that were not the first of their request
	Cancellations uint64                             `json:"Cancels"`  // attempts that the balancer cancelled
	Probes        uint64                             `json:"Probes"`   // health checks
	Results       [loadbalancer.Withdrawn + 1]uint64 `json:"Results"`  // ends of attempts, by result
	InvalidJobs   uint64                             `json:"Unusable"` // requests failed since two backends called the job itself invalid
	Overdue       uint64                             `json:"Overdue"`  // requests that the balancer lost and the Dispatcher failed
	OpenRequests  int                                `json:"OpenReqs"`
	OpenAttempts  int                                `json:"OpenFetches"`
}

// Dispatcher connects fronts, backends and the balancer. The exported fields are set by the owner; Discovery, Observer
// and Log before Start, AuditMark at any time.
type Dispatcher struct {
	Discovery Discovery // nil: the member list comes by itself
	Observer  Observer  // nil: no records are kept
	AuditMark uint64    // number of the last audit log entry in force, copied into records; 0: there is no audit log
	Log       func(line string)

	clock        Clock
	balancer     *loadbalancer.Balancer
	settings     loadbalancer.Settings
	requests     slotmap.Map[*request]
	attempts     slotmap.Map[*attempt]
	requestsByID map[loadbalancer.RequestID]*request
	lastID       loadbalancer.RequestID // the ID given last

	members      map[loadbalancer.WorkerID]*Member
	workerIDs    map[string]loadbalancer.WorkerID // by the member's name
	exclusions   map[string]Exclusion             // by the member's name
	restrictions map[string]Restriction           // by the member's name
	paused       bool                             // no member gets new attempts
	readyMembers int                              // members that the balancer sees as ready

	events        []func() // in order of arrival; they run once the event at hand has ended
	handlingEvent bool     // handle is running an event
	counts        Counts
	answerRecord  AnswerRecord // reused for each call of the Observer
}

// New returns a Dispatcher. Nothing happens before Start.
func New(settings loadbalancer.Settings, seed uint64, clock Clock) (*Dispatcher, error) {
	d := &Dispatcher{
		clock:        clock,
		requestsByID: map[loadbalancer.RequestID]*request{},
		members:      map[loadbalancer.WorkerID]*Member{},
		workerIDs:    map[string]loadbalancer.WorkerID{},
		exclusions:   map[string]Exclusion{},
		settings:     settings,
		Log:          func(string) {},
	}
	balancer, err := loadbalancer.New(settings, seed, actions{d})
	if err != nil {
		return nil, err
	}
	d.balancer = balancer
	return d, nil
}

// Start starts the balancer.
func (d *Dispatcher) Start() { d.handle(func() { d.balancer.Start(d.clock.Now()) }) }

// Counts returns the totals so far.
func (d *Dispatcher) Counts() Counts {
	counts := d.counts
	counts.OpenRequests = d.requests.Len()
	counts.OpenAttempts = d.attempts.Len()
	return counts
}

// handle runs an event once all earlier ones are done: the balancer handles one at a time. It returns after the event has
// run, unless it is called from within another event: then it returns at once, and the event runs after that one.
func (d *Dispatcher) handle(event func()) {
	d.events = append(d.events, event)
	if d.handlingEvent {
		return
	}
	d.handlingEvent = true
	for len(d.events) > 0 {
		next := d.events[0]
		d.events = d.events[1:]
		next()
	}
	d.events = nil
	d.handlingEvent = false
}

// Snapshot returns what the balancer has learnt, for the process that replaces this one.
func (d *Dispatcher) Snapshot() loadbalancer.Snapshot { return d.balancer.Snapshot() }

// Restore takes over the snapshot of another process. It must be called before the first member list, and not from
// within an event, where its error would be lost. On an error nothing has changed.
func (d *Dispatcher) Restore(snapshot loadbalancer.Snapshot) (err error) {
	d.handle(func() { err = d.balancer.Restore(d.clock.Now(), snapshot) })
	return err
}

// SetInstanceShare sets this instance's share of the workers' capacity among the dispatchers that use them. It
// must not be called from within an event, where its error would be lost. On an error nothing has changed.
func (d *Dispatcher) SetInstanceShare(share loadbalancer.InstanceShare) (err error) {
	d.handle(func() { err = d.balancer.SetInstanceShare(share) })
	return err
}

// WorkerStatus returns what the balancer knows of a worker; false if it knows none of this ID.
func (d *Dispatcher) WorkerStatus(worker loadbalancer.WorkerID) (loadbalancer.WorkerStatus, bool) {
	return d.balancer.WorkerStatus(d.clock.Now(), worker)
}
