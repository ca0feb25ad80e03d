package httpfront

import (
	"net/netip"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/admission"
	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/slotmap"
	"cinderroad/loadbalancer"
)

// Parameters of the front, in seconds unless noted.
const (
	budgetMargin      = 0.005   // the budget runs from the client's send, some time before the request is read here
	idleTimeout       = 120.0   // a client session without requests is closed
	badInputLogPeriod = 1.0     // between two log lines of one kind of bad input
	idlePeriod        = 0.1     // without input from any client before the process may end
	maxPipelined      = MaxHead // bytes that a client may send ahead of its turn; the system's buffers hold the rest
	maxCallID         = 128     // bytes
	maxSlots          = 256     // of a job: no machine has more, and its rejection by all would be no evidence of load
	defaultRetryAfter = 0.5     // for rejections that the balancer had no part in

	// An evacuation. The load balancer in front of the dispatchers reacts to a failed health check within 0.2 s. 4 s after
	// the call no session may be idle here, and no job may be younger than 2 s.
	evacuationGrace  = 0.5  // serving as before
	evacuationCutoff = 1.8  // after which no new job is accepted
	sweepInterval    = 0.05 // between two closings of idle sessions

	forwardTimeout    = 3.0 // for the other process to answer for a callback
	firstRequestGrace = 0.6 // during an evacuation, for the first request of a new connection

	frontName = "platform" // in records
)

// Front serves the clients' side of the platform's protocol, and the runners' callbacks at the same port.
type Front struct {
	Malformed        uint64 // requests answered 4xx
	BadCallbacks     uint64
	SessionsAccepted uint64
	TimedOut         uint64 // sessions whose request was not complete in time

	// ForwardCallback asks the dispatcher's other process about a callback for a call that is not known here, and calls
	// done once it has answered. It returns false if there is no other process. nil: there never is.
	ForwardCallback func(body []byte, done func()) bool

	loop               *eventloop.Loop
	log                *zap.Logger
	dispatcher         *dispatch.Dispatcher
	pool               *Pool
	limiter            *admission.Limiter
	classes            map[string]class
	sessions           slotmap.Map[*session]
	openCalls          map[string]bool // by ID
	requestingSessions int             // sessions that have made a client's request
	draining           bool            // sessions end with their next answer
	evacuatedSince     float64         // 0: not evacuated
	closingIdle        bool            // evacuated, and past the grace
	rejecting          bool            // new jobs are rejected
	sweepTimer         *eventloop.Timer
	idleCounter        uint64             // numbers the transitions of sessions to idle
	lastInput          float64            // from any session
	lastLogged         map[string]float64 // by kind of bad input
	successor          func(SessionState, *eventloop.Conn) bool
	retryAfterHeader   string  // of rejections that the balancer had no part in; empty: none
	retryAfter         float64 // the same in seconds
}

// class is what the front needs of a class of the settings.
type class struct {
	index    int     // in the settings
	deadline float64 // seconds that its clients wait at most
}

// NewFront returns a Front. The owner passes new connections to Accept.
func NewFront(
	loop *eventloop.Loop,
	log *zap.Logger,
	dispatcher *dispatch.Dispatcher,
	pool *Pool,
	limiter *admission.Limiter,
	settings *loadbalancer.Settings,
) *Front {
	f := &Front{
		loop:       loop,
		log:        log,
		dispatcher: dispatcher,
		pool:       pool,
		limiter:    limiter,
		classes:    map[string]class{},
		openCalls:  map[string]bool{},
		lastLogged: map[string]float64{},
	}
	for i, classSettings := range settings.Classes {
		f.classes[classSettings.Name] = class{i, classSettings.Deadline}
	}
	if retryAfter := min(defaultRetryAfter, settings.MaxRetryAfter); settings.MayRetryAfter && retryAfter > 0 {
		f.retryAfterHeader = retryAfterLine(retryAfter)
		f.retryAfter = retryAfter
	}
	return f
}

// Accept returns the handler of a new connection. Without capacity a session that can better be spared is closed for it.
func (f *Front) Accept(conn *eventloop.Conn) eventloop.Handler {
	f.SessionsAccepted++
	s := &session{front: f, conn: conn, source: conn.Peer().Addr().Unmap(), acceptedAt: f.loop.Now()}
	s.fromBackend = f.pool.hasBackendAt(s.source)
	s.handle = f.sessions.Insert(s)
	s.awaitRequest()
	if !f.limiter.Admit(s.source, func(mayEvict func(netip.Addr) bool) bool {
		return f.evict(func(other *session) bool { return other != s && mayEvict(other.source) })
	}) && !s.fromBackend { // callbacks are never turned away: some attempts can end only by them
		s.turnAway("too many connections")
	}
	return s
}

// SetRejecting has new jobs rejected, with a Retry-After, and the health check fail. Unlike Evacuate it closes no
// session: open jobs end here, and clients learn from the health check to go elsewhere.
func (f *Front) SetRejecting(rejecting bool) { f.rejecting = rejecting }

// Idle reports whether no client waits for an answer or for the rest of one, and none has sent anything for a moment: a
// request may just be arriving.
func (f *Front) Idle() bool {
	idle := f.loop.Now() >= f.lastInput+idlePeriod
	f.sessions.Each(func(_ slotmap.Handle, s *session) {
		idle = idle && (s.idle() || !s.hasRequested && s.callID == "" && !s.awaitingForward)
	})
	return idle
}

// mayLog reports whether a kind of event may be logged again: bad input must not flood the log.
func (f *Front) mayLog(event string) bool {
	if now := f.loop.Now(); now >= f.lastLogged[event]+badInputLogPeriod {
		f.lastLogged[event] = now
		return true
	}
	return false
}

// HandleForwardedCallback handles a callback that the other process received; false if the call is not known here.
func (f *Front) HandleForwardedCallback(body []byte) bool {
	callback, err := ParseCallback(body)
	if err != nil || !f.pool.Knows(&callback) {
		return false
	}
	f.pool.HandleCallback(callback)
	return true
}
