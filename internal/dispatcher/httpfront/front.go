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
	budgetMargin = 0.005   // the budget runs from the client's send, some time before the request is read here
	idleTimeout  = 120.0   // a client session without requests is closed
	quietTime    = 0.1     // without a word from any client before the program may end
	mostAhead    = MaxHead // bytes that a client may send ahead of its turn; the system's buffers hold the rest
	mostID       = 128     // bytes of a call's id
	mostSlots    = 256     // of a job: no machine has more, and what all turn away says nothing of them
	soon         = 0.5     // seconds after which one refused without the decisions' part may come back

	// An evacuation: the front that spreads clients looks away within 0.2 s of a no, and 4 s after the call nobody may
	// rest here or have a job that is younger than 2 s.
	lookAway      = 0.5  // seconds of serving on as if nothing had been said
	lastTake      = 1.8  // after which no new job is taken
	sweepEvery    = 0.05 // closing what has come to rest
	elsewhereTime = 3.0  // seconds that a call-back may wait for the other process

	frontName = "platform" // in the books

	freshGrace = 0.6 // for the first request of a connection that came while the front still looked
)

// Front serves the clients' side of the platform's protocol, and the runners' call-backs at the same port.
type Front struct {
	Malformed, BadCallbacks, SessionsAccepted, TimedOut uint64

	// ForwardCallback asks the dispatcher's other process about a call-back that is not known here; false when there is none.
	ForwardCallback func(body []byte, done func()) bool

	loop      *eventloop.Loop
	log       *zap.Logger
	core      *dispatch.Dispatcher
	pool      *Pool
	door      *admission.Limiter
	classes   map[string]class
	sessions  slotmap.Map[*session]
	calls     map[string]bool // ids of calls that are open
	asking    int             // sessions that have carried a client's request
	closing   bool
	leaving   float64 // when an evacuation began; 0 is none
	emptying  bool    // and its sessions are closed
	shut      bool    // no new job is taken
	sweeping  *eventloop.Timer
	rests     uint64
	lastNews  float64            // when bytes last came from any session
	noted     map[string]float64 // when a kind of bad input was last logged
	successor func(SessionState, *eventloop.Conn) bool
	comeBack  string // of a refusal that the decisions had no part in

	comeBackIn float64 // the same, in seconds
}

// class is a class of the settings: its place there, and the longest that its clients wait.
type class struct {
	place    int
	deadline float64
}

// NewFront makes the front.
func NewFront(loop *eventloop.Loop, log *zap.Logger, core *dispatch.Dispatcher, pool *Pool, door *admission.Limiter, set *loadbalancer.Settings) *Front {
	f := &Front{loop: loop, log: log, core: core, pool: pool, door: door, classes: map[string]class{}, calls: map[string]bool{},
		noted: map[string]float64{}}
	for i, c := range set.Classes {
		f.classes[c.Name] = class{i, c.Deadline}
	}
	if wait := min(soon, set.MaxRetryAfter); set.MayRetryAfter && wait > 0 {
		f.comeBack, f.comeBackIn = retryAfter(wait), wait
	}
	return f
}

// Accept owns a new connection. One for which there is no room takes the place of a session that has shown less.
func (f *Front) Accept(c *eventloop.Conn) eventloop.Handler {
	f.SessionsAccepted++
	s := &session{f: f, conn: c, from: c.Peer().Addr().Unmap(), entered: f.loop.Now()}
	s.backend = f.pool.at(s.from)
	s.h = f.sessions.Insert(s)
	s.rest()
	if !f.door.Admit(s.from, func(may func(netip.Addr) bool) bool {
		return f.shed(func(o *session) bool { return o != s && may(o.from) })
	}) && !s.backend { // what is out can end by call-backs alone: they are never turned away
		s.turn("too many connections")
	}
	return s
}

// EvictIdle closes the client session that can best be spared; false when there is none.
func (f *Front) EvictIdle() bool { return f.shed(func(*session) bool { return true }) }

// shed closes one of the sessions that may be closed: first one that has never handed in anything, then one that
// never came to the end of its first request, and only then one that rests between requests, those with call-backs
// last. Within each the one that has stood longest goes: a flood of silent connections must not push out those who
// work here.
func (f *Front) shed(may func(*session) bool) bool {
	var best *session
	rank := 0
	f.sessions.Each(func(_ slotmap.Handle, s *session) {
		r := s.rank()
		if r == 0 || !may(s) || best != nil && (r < rank || r == rank && s.since > best.since) {
			return
		}
		if r == half || s.conn.Alive() { // else a request has come that was not read yet, or the peer has left
			best, rank = s, r
		}
	})
	switch {
	case best == nil:
		return false
	case rank == half: // its request has begun: it is told that a repeat is harmless
		best.turn("no room to wait for the rest")
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
	f.closing = true
	f.sessions.Each(func(_ slotmap.Handle, s *session) {
		if s.idle() && s.asked && s.conn.Alive() { // else a request has come that was not read yet
			s.end()
		}
	})
}

// Evacuate sends the clients away, or takes them again. Unlike Drain it is undone, and leaves nobody who rests:
// sessions that never asked and those accepted later are closed, too. Call-backs and open jobs go on.
// It counts from began, which the process before this one may have seen.
func (f *Front) Evacuate(on bool, began float64) {
	switch {
	case !on:
		f.leaving, f.emptying = 0, false
		f.sweeping.Stop()
	case f.leaving == 0:
		f.leaving = began
		f.sweeping = f.loop.At(f.leaving+lookAway, f.sweep)
	}
}

// SetRejecting has new jobs refused, with when to come back, and fails the check of health; or takes them again. Unlike Evacuate it closes
// no session: what is open ends here, and clients see by the check where else to go.
func (f *Front) SetRejecting(on bool) { f.shut = on }

// EvacuatedSince is since when the front is evacuated; 0 is not.
func (f *Front) EvacuatedSince() float64 { return f.leaving }

func (f *Front) sweep() {
	f.emptying = true
	now := f.loop.Now()
	f.sessions.Each(func(_ slotmap.Handle, s *session) {
		switch {
		case !s.idle() || s.told || !s.whole && (s.backend || now < s.entered+freshGrace):
		case s.conn.Alive(): // else a request has come that was not read yet
			s.end()
		}
	})
	f.sweeping = f.loop.At(now+sweepEvery, f.sweep)
}

// Idle says whether no client waits for an answer or for the rest of one, and none has spoken for a moment:
// a request that is just arriving counts as taken.
func (f *Front) Idle() bool {
	quiet := f.loop.Now() >= f.lastNews+quietTime
	f.sessions.Each(func(_ slotmap.Handle, s *session) {
		quiet = quiet && (s.idle() || !s.asked && s.call == "" && !s.waits)
	})
	return quiet
}

// rare says whether a kind of event may be logged again: bad input must not flood the log.
func (f *Front) rare(what string) bool {
	if now := f.loop.Now(); now >= f.noted[what]+1 {
		f.noted[what] = now
		return true
	}
	return false
}

// HandleForwardedCallback takes a call-back that the other process got; false when nobody here knows it.
func (f *Front) HandleForwardedCallback(body []byte) bool {
	n, err := ParseCallback(body)
	if err != nil || !f.pool.Knows(&n) {
		return false
	}
	f.pool.HandleCallback(n)
	return true
}

// call reads a client's request; reason says why it is none that can be sent on. What goes on to a backend
// holds visible ASCII alone, and the id nothing that ends a path.
func (f *Front) call(q *Request) (c Call, budget float64, reason string) {
	class, ok1 := q.Header.GetUnique("X-Call-Class")
	id, ok2 := q.Header.GetUnique("X-Call-Id")
	ms, ok3 := q.Header.GetUnique("X-Budget-Ms")
	key, ok4 := q.Header.GetUnique("Idempotency-Key")
	path, _, _ := strings.Cut(strings.TrimPrefix(q.Target, "/"), "?")
	first, _, _ := strings.Cut(path, "/")
	c = Call{ID: id, Class: cmp.Or(class, first), Method: q.Method, Target: q.Target, IdempotencyKey: key, Body: q.Body}
	// Whole milliseconds in digits: ParseFloat would take Inf, hexadecimal and 1e300.
	n, err := strconv.ParseUint(ms, 10, 32)
	switch {
	case !ok1 || !ok2 || !ok3 || !ok4:
		reason = "a field is there twice"
	case id == "" || len(id) > mostID || !httpwire.IsVisibleASCII(id) || strings.ContainsAny(id, `/?#%"\`):
		reason = "X-Call-Id missing or bad"
	case err != nil:
		reason = "X-Budget-Ms missing or bad"
	case !httpwire.IsVisibleASCII(key):
		reason = "Idempotency-Key bad"
	case c.Class != first:
		reason = "X-Call-Class is not the path's"
	}
	return c, float64(n) / 1000, reason
}
