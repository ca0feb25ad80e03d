package httpfront

import (
	"cmp"
	"net/netip"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/admission"
	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/httpwire"
	"cinderroad/internal/shared/slotmap"
	"cinderroad/loadbalancer"
)

const (
	budgetMargin      = 0.005   // the budget runs from the client's send, some time before the request is read here
	idleTimeout       = 120.0   // a client session without requests is closed
	idlePeriod        = 0.1     // without a word from any client before the program may end
	maxPipelined      = MaxHead // bytes that a client may send ahead of its turn; the system's buffers hold the rest
	maxCallID         = 128     // bytes of a call's id
	maxSlots          = 256     // of a job: no machine has more, and what all turn away says nothing of them
	defaultRetryAfter = 0.5     // seconds after which one refused without the decisions' part may come back

	// An evacuation: the front that spreads clients looks away within 0.2 s of a no, and 4 s after the call nobody may
	// rest here or have a job that is younger than 2 s.
	evacuationGrace  = 0.5  // seconds of serving on as if nothing had been said
	evacuationCutoff = 1.8  // after which no new job is taken
	sweepInterval    = 0.05 // closing what has come to rest
	forwardTimeout   = 3.0  // seconds that a call-back may wait for the other process

	frontName = "platform" // in the books

	firstRequestGrace = 0.6 // for the first request of a connection that came while the front still looked
)

// Front serves the clients' side of the platform's protocol, and the runners' call-backs at the same port.
type Front struct {
	Malformed, BadCallbacks, SessionsAccepted, TimedOut uint64

	// ForwardCallback asks the dispatcher's other process about a call-back that is not known here; false when there is none.
	ForwardCallback func(body []byte, done func()) bool

	loop               *eventloop.Loop
	log                *zap.Logger
	dispatcher         *dispatch.Dispatcher
	pool               *Pool
	limiter            *admission.Limiter
	classes            map[string]class
	sessions           slotmap.Map[*session]
	openCalls          map[string]bool // ids of calls that are open
	requestingSessions int             // sessions that have carried a client's request
	draining           bool
	evacuatedSince     float64 // when an evacuation began; 0 is none
	closingIdle        bool    // and its sessions are closed
	rejecting          bool    // no new job is taken
	sweepTimer         *eventloop.Timer
	idleCounter        uint64
	lastInput          float64            // when bytes last came from any session
	lastLogged         map[string]float64 // when a kind of bad input was last logged
	successor          func(SessionState, *eventloop.Conn) bool
	retryAfterHeader   string // of a refusal that the decisions had no part in

	retryAfter float64 // the same, in seconds
}

// class is a class of the settings: its place there, and the longest that its clients wait.
type class struct {
	index    int
	deadline float64
}

// NewFront makes the front.
func NewFront(loop *eventloop.Loop, log *zap.Logger, dispatcher *dispatch.Dispatcher, pool *Pool, limiter *admission.Limiter, settings *loadbalancer.Settings) *Front {
	f := &Front{loop: loop, log: log, dispatcher: dispatcher, pool: pool, limiter: limiter, classes: map[string]class{}, openCalls: map[string]bool{},
		lastLogged: map[string]float64{}}
	for i, classSettings := range settings.Classes {
		f.classes[classSettings.Name] = class{i, classSettings.Deadline}
	}
	if retryAfter := min(defaultRetryAfter, settings.MaxRetryAfter); settings.MayRetryAfter && retryAfter > 0 {
		f.retryAfterHeader, f.retryAfter = appendRetryAfter(retryAfter), retryAfter
	}
	return f
}

// Accept owns a new connection. One for which there is no room takes the place of a session that has shown less.
func (f *Front) Accept(conn *eventloop.Conn) eventloop.Handler {
	f.SessionsAccepted++
	s := &session{front: f, conn: conn, source: conn.Peer().Addr().Unmap(), acceptedAt: f.loop.Now()}
	s.fromBackend = f.pool.hasBackendAt(s.source)
	s.handle = f.sessions.Insert(s)
	s.awaitRequest()
	if !f.limiter.Admit(s.source, func(may func(netip.Addr) bool) bool {
		return f.evict(func(other *session) bool { return other != s && may(other.source) })
	}) && !s.fromBackend { // what is out can end by call-backs alone: they are never turned away
		s.turnAway("too many connections")
	}
	return s
}

// EvictIdle closes the client session that can best be spared; false when there is none.
func (f *Front) EvictIdle() bool { return f.evict(func(*session) bool { return true }) }

// evict closes one of the sessions that may be closed: first one that has never handed in anything, then one that
// never came to the end of its first request, and only then one that rests between requests, those with call-backs
// last. Within each the one that has stood longest goes: a flood of silent connections must not push out those who
// work here.
func (f *Front) evict(mayEvict func(*session) bool) bool {
	var best *session
	bestRank := 0
	f.sessions.Each(func(_ slotmap.Handle, s *session) {
		rank := s.evictionRank()
		if rank == 0 || !mayEvict(s) || best != nil && (rank < bestRank || rank == bestRank && s.idleOrder > best.idleOrder) {
			return
		}
		if rank == rankIncomplete || s.conn.Alive() { // else a request has come that was not read yet, or the peer has left
			best, bestRank = s, rank
		}
	})
	switch {
	case best == nil:
		return false
	case bestRank == rankIncomplete: // its request has begun: it is told that a repeat is harmless
		best.turnAway("no room to wait for the rest")
	default:
		// Nothing has come. A word written here would lie in wait: a client that opened ahead and comes to use the
		// connection takes it for the answer to its request, while a close has it open another.
		best.end()
	}
	return true
}

// Drain closes idle client sessions and has the others closed by their next answer. Sessions that carry
// call-backs stay: what is out can end by them alone.
func (f *Front) Drain() {
	f.draining = true
	f.sessions.Each(func(_ slotmap.Handle, s *session) {
		if s.idle() && s.hasRequested && s.conn.Alive() { // else a request has come that was not read yet
			s.end()
		}
	})
}

// Evacuate sends the clients away, or takes them again. Unlike Drain it is undone, and leaves nobody who rests:
// sessions that never asked and those accepted later are closed, too. Call-backs and open jobs go on.
// It counts from began, which the process before this one may have seen.
func (f *Front) Evacuate(evacuated bool, since float64) {
	switch {
	case !evacuated:
		f.evacuatedSince, f.closingIdle = 0, false
		f.sweepTimer.Stop()
	case f.evacuatedSince == 0:
		f.evacuatedSince = since
		f.sweepTimer = f.loop.At(f.evacuatedSince+evacuationGrace, f.closeIdleSessions)
	}
}

// SetRejecting has new jobs refused, with when to come back, and fails the check of health; or takes them again. Unlike Evacuate it closes
// no session: what is open ends here, and clients see by the check where else to go.
func (f *Front) SetRejecting(rejecting bool) { f.rejecting = rejecting }

// EvacuatedSince is since when the front is evacuated; 0 is not.
func (f *Front) EvacuatedSince() float64 { return f.evacuatedSince }

func (f *Front) closeIdleSessions() {
	f.closingIdle = true
	now := f.loop.Now()
	f.sessions.Each(func(_ slotmap.Handle, s *session) {
		switch {
		case !s.idle() || s.hasCallback || !s.hasSent && (s.fromBackend || now < s.acceptedAt+firstRequestGrace):
		case s.conn.Alive(): // else a request has come that was not read yet
			s.end()
		}
	})
	f.sweepTimer = f.loop.At(now+sweepInterval, f.closeIdleSessions)
}

// Idle says whether no client waits for an answer or for the rest of one, and none has spoken for a moment:
// a request that is just arriving counts as taken.
func (f *Front) Idle() bool {
	idle := f.loop.Now() >= f.lastInput+idlePeriod
	f.sessions.Each(func(_ slotmap.Handle, s *session) {
		idle = idle && (s.idle() || !s.hasRequested && s.callID == "" && !s.awaitingForward)
	})
	return idle
}

// mayLog says whether a kind of event may be logged again: bad input must not flood the log.
func (f *Front) mayLog(event string) bool {
	if now := f.loop.Now(); now >= f.lastLogged[event]+1 {
		f.lastLogged[event] = now
		return true
	}
	return false
}

// HandleForwardedCallback takes a call-back that the other process got; false when nobody here knows it.
func (f *Front) HandleForwardedCallback(body []byte) bool {
	callback, err := ParseCallback(body)
	if err != nil || !f.pool.Knows(&callback) {
		return false
	}
	f.pool.HandleCallback(callback)
	return true
}

// parseCall reads a client's request; reason says why it is none that can be sent on. What goes on to a backend
// holds visible ASCII alone, and the id nothing that ends a path.
func (f *Front) parseCall(request *Request) (call Call, budget float64, reason string) {
	class, ok1 := request.Header.GetUnique("X-Call-Class")
	id, ok2 := request.Header.GetUnique("X-Call-Id")
	budgetText, ok3 := request.Header.GetUnique("X-Budget-Ms")
	key, ok4 := request.Header.GetUnique("Idempotency-Key")
	path, _, _ := strings.Cut(strings.TrimPrefix(request.Target, "/"), "?")
	pathClass, _, _ := strings.Cut(path, "/")
	call = Call{ID: id, Class: cmp.Or(class, pathClass), Method: request.Method, Target: request.Target, IdempotencyKey: key, Body: request.Body}
	// Whole milliseconds in digits: ParseFloat would take Inf, hexadecimal and 1e300.
	milliseconds, err := strconv.ParseUint(budgetText, 10, 32)
	switch {
	case !ok1 || !ok2 || !ok3 || !ok4:
		reason = "a field is there twice"
	case id == "" || len(id) > maxCallID || !httpwire.IsVisibleASCII(id) || strings.ContainsAny(id, `/?#%"\`):
		reason = "X-Call-Id missing or bad"
	case err != nil:
		reason = "X-Budget-Ms missing or bad"
	case !httpwire.IsVisibleASCII(key):
		reason = "Idempotency-Key bad"
	case call.Class != pathClass:
		reason = "X-Call-Class is not the path's"
	}
	return call, float64(milliseconds) / 1000, reason
}
