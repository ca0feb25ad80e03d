package platform

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"cinderroad/brain"
	"cinderroad/internal/httpwire"
	"cinderroad/internal/protocol/door"
	"cinderroad/internal/routing"
	"cinderroad/internal/slots"
	"cinderroad/internal/transport"
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
	Malformed, BadNews, Sessions, Slow uint64

	// Elsewhere asks the dispatcher's other process about a call-back that is not known here; false when there is none.
	Elsewhere func(body []byte, done func()) bool

	loop     *transport.Loop
	log      *zap.Logger
	core     *routing.Core
	pool     *Pool
	door     *door.Door
	classes  map[string]class
	sessions slots.Table[*session]
	calls    map[string]bool // ids of calls that are open
	asking   int             // sessions that have carried a client's request
	closing  bool
	leaving  float64 // when an evacuation began; 0 is none
	emptying bool    // and its sessions are closed
	shut     bool    // no new job is taken
	sweeping *transport.Deadline
	rests    uint64
	lastNews float64            // when bytes last came from any session
	noted    map[string]float64 // when a kind of bad input was last logged
	heir     func(State, *transport.Conn) bool
	comeBack string // of a refusal that the decisions had no part in

	comeBackIn float64 // the same, in seconds
}

// class is a class of the settings: its place there, and the longest that its clients wait.
type class struct {
	place    int
	deadline float64
}

// NewFront makes the front.
func NewFront(loop *transport.Loop, log *zap.Logger, core *routing.Core, pool *Pool, door *door.Door, set *brain.Settings) *Front {
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
func (f *Front) Accept(c *transport.Conn) transport.Handler {
	f.Sessions++
	s := &session{f: f, conn: c, from: c.Peer().Addr().Unmap(), entered: f.loop.Now()}
	s.backend = f.pool.at(s.from)
	s.h = f.sessions.Put(s)
	s.rest()
	if !f.door.Enter(s.from, func(may func(netip.Addr) bool) bool {
		return f.shed(func(o *session) bool { return o != s && may(o.from) })
	}) && !s.backend { // what is out can end by call-backs alone: they are never turned away
		s.turn("too many connections")
	}
	return s
}

// ShedIdle closes the client session that can best be spared; false when there is none.
func (f *Front) ShedIdle() bool { return f.shed(func(*session) bool { return true }) }

// shed closes one of the sessions that may be closed: first one that has never handed in anything, then one that
// never came to the end of its first request, and only then one that rests between requests, those with call-backs
// last. Within each the one that has stood longest goes: a flood of silent connections must not push out those who
// work here.
func (f *Front) shed(may func(*session) bool) bool {
	var best *session
	rank := 0
	f.sessions.Each(func(_ slots.Handle, s *session) {
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
	f.sessions.Each(func(_ slots.Handle, s *session) {
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

// Shut has new jobs refused, with when to come back, and fails the check of health; or takes them again. Unlike Evacuate it closes
// no session: what is open ends here, and clients see by the check where else to go.
func (f *Front) Shut(on bool) { f.shut = on }

// Leaving is since when the front is evacuated; 0 is not.
func (f *Front) Leaving() float64 { return f.leaving }

func (f *Front) sweep() {
	f.emptying = true
	now := f.loop.Now()
	f.sessions.Each(func(_ slots.Handle, s *session) {
		switch {
		case !s.idle() || s.told || !s.whole && (s.backend || now < s.entered+freshGrace):
		case s.conn.Alive(): // else a request has come that was not read yet
			s.end()
		}
	})
	f.sweeping = f.loop.At(now+sweepEvery, f.sweep)
}

// Quiet says whether no client waits for an answer or for the rest of one, and none has spoken for a moment:
// a request that is just arriving counts as taken.
func (f *Front) Quiet() bool {
	quiet := f.loop.Now() >= f.lastNews+quietTime
	f.sessions.Each(func(_ slots.Handle, s *session) { quiet = quiet && (s.idle() || !s.asked && s.call == "" && !s.waits) })
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

// session is a client session.
type session struct {
	f       *Front
	h       slots.Handle
	conn    *transport.Conn
	req     routing.ReqID
	call    string // id of the open req, if any
	held    int    // bytes of the open req
	last    bool   // closes after the answer
	asked   bool   // has carried a client's request
	whole   bool   // has carried any request
	told    bool   // has carried call-backs
	waits   bool   // its call-back is asked about elsewhere
	since   uint64 // its place in the order in which sessions came to rest; times tie within a turn
	from    netip.Addr
	backend bool // comes from where a listed backend stands
	entered float64
	began   float64 // when the first bytes came of the request that is not whole yet; 0 is none
	timeout *transport.Deadline
}

func (s *session) idle() bool {
	return s.call == "" && !s.waits && len(s.conn.Bytes()) == 0 && s.conn.Unsent() == 0
}

// How well a session can be spared; 0 is not at all.
const (
	resting = iota + 1 // carried call-backs, rests
	rested             // carried requests, rests
	half               // its first request is not whole
	fresh              // has sent nothing
)

func (s *session) rank() int {
	switch begun := len(s.conn.Bytes()) > 0; {
	case s.call != "" || s.waits || s.conn.Unsent() > 0 || s.whole && begun:
		return 0
	case !s.whole && s.backend: // brings a call-back, which may be all that frees a session
		return 0
	case !s.whole && begun:
		return half
	case !s.whole:
		return fresh
	case s.asked:
		return rested
	}
	return resting
}

// rest waits for the next request. A connection that has not shown what it wants is closed early.
func (s *session) rest() {
	s.f.rests++
	s.since = s.f.rests
	if h := s.h; s.f.heir != nil {
		s.f.loop.Later(func() {
			if _, open := s.f.sessions.Get(h); open {
				s.hand()
			}
		})
	}
	if s.whole {
		s.expect(s.f.loop.Now()+idleTimeout, s.end)
		if s.asked && s.f.asking > s.f.door.Resting() {
			s.f.shed(func(o *session) bool { return o.asked && o != s })
		}
		return
	}
	s.expect(s.entered+door.FreshTime, func() {
		s.f.Slow++
		s.turn("no request came in time")
	})
}

// turn closes a session that has not handed in a whole request. It may be a usual client's, whose first request is
// on its way: that must not meet a silent close but a word that it is harmless to repeat.
func (s *session) turn(reason string) {
	s.last = true
	s.reply(503, s.f.comeBack, []byte(reason+"\n"))
}

func (s *session) expect(at float64, do func()) {
	s.timeout.Stop()
	s.timeout = s.f.loop.At(at, do)
}

func (s *session) end() {
	s.leave()
	s.conn.Close()
}

func (s *session) leave() {
	s.timeout.Stop()
	if s.f.sessions.Drop(s.h) {
		s.f.door.Leave(s.from)
		if s.asked {
			s.f.asking--
		}
	}
	s.free()
}

// free ends the session's call.
func (s *session) free() {
	if s.call != "" {
		delete(s.f.calls, s.call)
		s.f.door.Release(s.held)
		s.call = ""
	}
}

// Opened implements transport.Handler.
func (s *session) Opened(*transport.Conn) {}

// Closed implements transport.Handler: the client has gone away.
func (s *session) Closed(*transport.Conn, error) {
	open := s.call != ""
	s.leave()
	if open {
		s.f.core.Gone(s.req)
	}
}

// Data implements transport.Handler.
func (s *session) Data(c *transport.Conn) {
	s.f.lastNews = s.f.loop.Now()
	if s.call == "" && !s.waits && s.hand() { // the heir reads it
		return
	}
	if s.call != "" || s.waits { // the next request, sent early, waits for its turn
		if len(c.Bytes()) > mostAhead {
			c.Pause(true)
		}
		return
	}
	s.read()
}

// read takes requests until one is open or no whole one is left.
func (s *session) read() {
	for s.call == "" && !s.waits {
		s.conn.Pause(false)
		if len(s.conn.Bytes()) == 0 {
			return
		}
		q, n, err := ParseRequest(s.conn.Bytes())
		switch {
		case errors.Is(err, ErrMore) && s.f.door.Crowded():
			s.reject(503, "no memory to wait for the rest")
			return
		case errors.Is(err, ErrMore):
			s.wait()
			return
		case err != nil:
			status := 400
			var syntax *SyntaxError
			if errors.As(err, &syntax) && syntax.Status < 500 {
				status = syntax.Status
			}
			s.reject(status, err.Error())
			return
		}
		s.conn.Consume(n)
		s.timeout.Stop()
		s.last, s.whole, s.began = q.Close, true, 0
		h := s.h
		s.serve(&q)
		if _, open := s.f.sessions.Get(h); !open {
			return
		}
	}
}

// wait bounds how long the rest of a request may take, from its first byte: bytes that come now and then must
// not hold the session for ever.
func (s *session) wait() {
	if AwaitsContinue(s.conn.Bytes()) {
		s.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if s.began > 0 {
		return
	}
	s.began = s.f.loop.Now()
	ends := s.began + door.WholeTime
	if !s.whole {
		ends = min(ends, s.entered+door.FreshTime)
	}
	s.expect(ends, func() {
		s.f.Slow++
		s.reject(408, "request not whole in time")
	})
}

// reject answers what is no request and closes.
func (s *session) reject(status int, reason string) {
	s.f.Malformed++
	if s.f.rare("malformed") {
		s.f.log.Warn("client session: malformed request", zap.String("reason", reason), zap.Uint64("so_far", s.f.Malformed))
	}
	s.last = true
	s.reply(status, "", []byte(reason+"\n"))
}

// reply writes an answer and waits for the next request, or closes.
func (s *session) reply(status int, extra string, body []byte) {
	last := s.last || s.f.closing && s.asked || s.f.emptying && !s.told
	s.conn.Write(AppendResponse(nil, status, extra, body, last))
	if last {
		s.leave()
		s.conn.CloseWhenSent()
		return
	}
	s.rest()
}

func (s *session) serve(q *Request) {
	path, _, _ := strings.Cut(q.Target, "?")
	switch {
	case path == "/_health" && q.Method == "GET":
		if s.f.leaving > 0 {
			s.reply(503, "", []byte("evacuated\n"))
			return
		}
		if s.f.shut {
			s.reply(503, "", []byte("out of lease\n"))
			return
		}
		s.reply(200, "", []byte("ok\n"))
	case path == "/_jobs/news":
		s.news(q)
	case q.Method != "POST":
		s.reject(405, "POST only")
	default:
		s.take(q)
	}
}

// news takes a call-back; whatever it says it has been heard, so that the runner does not try again. One that is not
// known here may be of a fetch of the other process: it has been heard once that has it, or nobody does.
func (s *session) news(q *Request) {
	n, err := ParseNews(q.Body)
	if err != nil || q.Method != "POST" {
		s.f.BadNews++
		if s.f.rare("news") {
			s.f.log.Warn("backend: bad call-back", zap.Error(err), zap.Uint64("so_far", s.f.BadNews))
		}
		s.reply(400, "", nil)
		return
	}
	s.told = true
	if h := s.h; s.f.Elsewhere != nil && !s.f.pool.Knows(&n) && s.f.Elsewhere(q.Body, func() {
		if _, open := s.f.sessions.Get(h); open && s.waits {
			s.waits = false
			s.reply(204, "", nil)
			s.next()
		}
	}) {
		s.waits = true
		s.expect(s.f.loop.Now()+elsewhereTime, func() { // it will come again
			s.waits, s.last = false, true
			s.reply(503, "", nil)
		})
		return
	}
	s.reply(204, "", nil)
	s.f.pool.News(n)
}

// Told takes a call-back that the other process got; false when nobody here knows it.
func (f *Front) Told(body []byte) bool {
	n, err := ParseNews(body)
	if err != nil || !f.pool.Knows(&n) {
		return false
	}
	f.pool.News(n)
	return true
}

// call reads a client's request; reason says why it is none that can be sent on. What goes on to a backend
// holds visible ASCII alone, and the id nothing that ends a path.
func (f *Front) call(q *Request) (c Call, budget float64, reason string) {
	class, ok1 := q.Header.Once("X-Call-Class")
	id, ok2 := q.Header.Once("X-Call-Id")
	ms, ok3 := q.Header.Once("X-Budget-Ms")
	key, ok4 := q.Header.Once("Idempotency-Key")
	path, _, _ := strings.Cut(strings.TrimPrefix(q.Target, "/"), "?")
	first, _, _ := strings.Cut(path, "/")
	c = Call{ID: id, Class: cmp.Or(class, first), Method: q.Method, Target: q.Target, IdempotencyKey: key, Body: q.Body}
	// Whole milliseconds in digits: ParseFloat would take Inf, hexadecimal and 1e300.
	n, err := strconv.ParseUint(ms, 10, 32)
	switch {
	case !ok1 || !ok2 || !ok3 || !ok4:
		reason = "a field is there twice"
	case id == "" || len(id) > mostID || !httpwire.Visible(id) || strings.ContainsAny(id, `/?#%"\`):
		reason = "X-Call-Id missing or bad"
	case err != nil:
		reason = "X-Budget-Ms missing or bad"
	case !httpwire.Visible(key):
		reason = "Idempotency-Key bad"
	case c.Class != first:
		reason = "X-Call-Class is not the path's"
	}
	return c, float64(n) / 1000, reason
}

// take hands a client's job to the core.
func (s *session) take(q *Request) {
	if !s.asked {
		s.asked = true
		s.f.asking++
	}
	call, budget, reason := s.f.call(q)
	class, known := s.f.classes[call.Class]
	info := parseInfo(q.Header.Get("X-Call-Info"))
	pick := func(names ...string) float64 {
		for _, name := range names {
			if v, ok := info[name]; ok {
				return v
			}
		}
		return 0
	}
	switch {
	case reason != "":
		s.reject(400, reason)
		return
	case !known: // what a repeat of it may do is not known either: never served
		s.reject(404, "unknown class")
		return
	case s.f.calls[call.ID]: // its call-backs could not be told apart
		s.reject(409, "call id in use")
		return
	case pick("coresNeeded", "slots") > mostSlots:
		s.reject(400, "more slots than any machine has")
		return
	case s.f.leaving > 0 && s.f.loop.Now() >= s.f.leaving+lastTake:
		s.last = true
		s.refuse(&call, class, routing.Evacuated, "evacuated\n")
		return
	case s.f.shut:
		s.refuse(&call, class, routing.OutOfLease, "out of lease\n")
		return
	case !s.f.door.Hold(len(call.Body)):
		s.refuse(&call, class, routing.NoMemory, "")
		return
	}
	hint, _ := strconv.ParseFloat(q.Header.Get("X-Call-Cost"), 64)
	if hint = hint / 1000; !(hint > 0 && hint <= class.deadline) {
		hint = 0 // one senseless hint must not spoil the mean of its class
	}
	s.call, s.held = call.ID, len(call.Body)
	s.f.calls[call.ID] = true
	s.req = s.f.core.Take(routing.Job{Class: class.place, Slots: pick("coresNeeded", "slots"), Memory: pick("memory"), Work: hint,
		Deadline: s.f.loop.Now() + min(budget, class.deadline) - budgetMargin, Load: &call, ID: call.ID, Front: frontName},
		&asker{s: s, call: call.ID})
}

// refuse turns a call away without the core, which notes it all the same.
func (s *session) refuse(call *Call, class class, reason routing.Reason, body string) {
	s.f.core.Turn(routing.Job{ID: call.ID, Front: frontName, Class: class.place}, routing.Refused, reason, s.f.comeBackIn)
	s.reply(503, s.f.comeBack, []byte(body))
}

func retryAfter(wait float64) string { return fmt.Sprintf("Retry-After: %.3f\r\n", wait) }

// asker answers one req; a session that has ended, or gone on, is not touched.
type asker struct {
	s    *session
	call string
}

// Answer implements routing.Asker.
func (a *asker) Answer(answer routing.Answer) {
	s := a.s
	if _, open := s.f.sessions.Get(s.h); !open || s.call != a.call {
		return
	}
	s.free()
	h := s.h
	switch answer.Verdict {
	case routing.Served:
		s.reply(200, "", answer.Body)
	case routing.Refused:
		extra := ""
		if answer.Wait > 0 {
			extra = retryAfter(answer.Wait)
		}
		s.reply(503, extra, nil)
	default:
		s.reply(500, "", nil)
	}
	if _, open := s.f.sessions.Get(h); open {
		s.next()
	}
}

// next has a request that was sent early have its turn.
func (s *session) next() {
	h := s.h
	s.f.loop.Later(func() {
		if _, open := s.f.sessions.Get(h); open && s.call == "" && !s.waits {
			s.read()
		}
	})
}
