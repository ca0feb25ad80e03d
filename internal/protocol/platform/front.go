package platform

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"cinderroad/internal/routing"
	"cinderroad/internal/slots"
	"cinderroad/internal/transport"
)

const (
	budgetMargin = 0.005 // the budget runs from the client's send, some time before the request is read here
	headTimeout  = 10.0  // a request that has begun must be whole within this
	idleTimeout  = 120.0 // a client session without requests is closed
	quietTime    = 0.1   // without a word from any client before the program may end
	mostPipeline = MaxHead + MaxBody
)

// Front serves the clients' side of the platform's protocol, and the runners' call-backs at the same port.
type Front struct {
	Malformed, BadNews, Sessions uint64

	loop     *transport.Loop
	log      *zap.Logger
	core     *routing.Core
	pool     *Pool
	classes  map[string]int
	sessions slots.Table[*session]
	calls    map[string]bool // ids of calls that are open
	closing  bool
	rests    uint64
	lastNews float64            // when bytes last came from any session
	noted    map[string]float64 // when a kind of bad input was last logged
}

// NewFront makes the front of the named classes.
func NewFront(loop *transport.Loop, log *zap.Logger, core *routing.Core, pool *Pool, classes []string) *Front {
	f := &Front{loop: loop, log: log, core: core, pool: pool, classes: map[string]int{}, calls: map[string]bool{},
		noted: map[string]float64{}}
	for i, name := range classes {
		f.classes[name] = i
	}
	return f
}

// Accept owns a new connection.
func (f *Front) Accept(c *transport.Conn) transport.Handler {
	f.Sessions++
	s := &session{f: f, conn: c}
	s.h = f.sessions.Put(s)
	s.rest()
	return s
}

// ShedIdle closes the client session that has been idle longest; false when none is idle.
func (f *Front) ShedIdle() bool {
	var oldest *session
	f.sessions.Each(func(_ slots.Handle, s *session) {
		if s.idle() && (oldest == nil || s.since < oldest.since) && s.conn.Alive() {
			oldest = s
		}
	})
	if oldest != nil {
		oldest.end()
	}
	return oldest != nil
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

// Quiet says whether no client waits for an answer or for the rest of one, and none has spoken for a moment:
// a request that is just arriving counts as taken.
func (f *Front) Quiet() bool {
	quiet := f.loop.Now() >= f.lastNews+quietTime
	f.sessions.Each(func(_ slots.Handle, s *session) { quiet = quiet && (s.idle() || !s.asked && s.call == "") })
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
	last    bool   // closes after the answer
	asked   bool   // has carried a client's request
	since   uint64 // its place in the order in which sessions came to rest; times tie within a turn
	timeout *transport.Deadline
}

func (s *session) idle() bool {
	return s.call == "" && len(s.conn.Bytes()) == 0 && s.conn.Unsent() == 0
}

// rest waits for the next request.
func (s *session) rest() {
	s.f.rests++
	s.since = s.f.rests
	s.expect(idleTimeout, s.end)
}

func (s *session) expect(wait float64, do func()) {
	s.timeout.Stop()
	s.timeout = s.f.loop.At(s.f.loop.Now()+wait, do)
}

func (s *session) end() {
	s.leave()
	s.conn.Close()
}

func (s *session) leave() {
	s.timeout.Stop()
	s.f.sessions.Drop(s.h)
	delete(s.f.calls, s.call)
	s.call = ""
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
	if s.call != "" { // the next request, sent early, waits for its turn
		if len(c.Bytes()) > mostPipeline {
			s.Closed(c, nil)
			c.Close()
		}
		return
	}
	s.read()
}

// read takes requests until one is open or no whole one is left.
func (s *session) read() {
	for s.call == "" {
		if len(s.conn.Bytes()) == 0 {
			return
		}
		q, n, err := ParseRequest(s.conn.Bytes())
		if errors.Is(err, ErrMore) {
			if AwaitsContinue(s.conn.Bytes()) {
				s.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
			s.expect(headTimeout, func() { s.reject(408, "request not whole in time") })
			return
		}
		if err != nil {
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
		s.last = q.Close
		h := s.h
		s.serve(&q)
		if _, open := s.f.sessions.Get(h); !open {
			return
		}
	}
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
	last := s.last || s.f.closing && s.asked
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
		s.reply(200, "", []byte("ok\n"))
	case path == "/_jobs/news":
		s.news(q)
	case q.Method != "POST":
		s.reply(405, "Allow: POST\r\n", nil)
	default:
		s.take(q)
	}
}

// news takes a call-back; whatever it says it has been heard, so that the runner does not try again.
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
	s.reply(204, "", nil)
	s.f.pool.News(n)
}

// take hands a client's job to the core.
func (s *session) take(q *Request) {
	s.asked = true
	id, budget := q.Header.Get("X-Call-Id"), q.Header.Get("X-Budget-Ms")
	name := q.Header.Get("X-Call-Class")
	if name == "" {
		name, _, _ = strings.Cut(strings.TrimPrefix(q.Target, "/"), "/")
	}
	ms, err := strconv.ParseFloat(budget, 64)
	if id == "" || err != nil || math.IsNaN(ms) || ms < 0 {
		s.reject(400, "X-Call-Id or X-Budget-Ms missing or bad")
		return
	}
	class, known := s.f.classes[name]
	if !known { // what a repeat of it may do is not known either: never served
		s.reply(404, "", []byte("unknown class\n"))
		return
	}
	if s.f.calls[id] { // its call-backs could not be told apart
		s.reply(409, "", []byte("call id in use\n"))
		return
	}
	info := parseInfo(q.Header.Get("X-Call-Info"))
	pick := func(names ...string) float64 {
		for _, name := range names {
			if v, ok := info[name]; ok {
				return v
			}
		}
		return 0
	}
	hint, _ := strconv.ParseFloat(q.Header.Get("X-Call-Cost"), 64)
	s.call = id
	s.f.calls[id] = true
	s.req = s.f.core.Take(routing.Job{Class: class, Slots: pick("coresNeeded", "slots"), Memory: pick("memory"), Work: hint / 1000,
		Deadline: s.f.loop.Now() + ms/1000 - budgetMargin,
		Load: &Call{ID: id, Class: name, Method: q.Method, Target: q.Target,
			IdempotencyKey: q.Header.Get("Idempotency-Key"), Body: q.Body}}, &asker{s: s, call: id})
}

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
	delete(s.f.calls, s.call)
	s.call = ""
	h := s.h
	switch answer.Verdict {
	case routing.Served:
		s.reply(200, "", answer.Body)
	case routing.Refused:
		extra := ""
		if answer.Wait > 0 {
			extra = fmt.Sprintf("Retry-After: %.3f\r\n", answer.Wait)
		}
		s.reply(503, extra, nil)
	default:
		s.reply(500, "", nil)
	}
	if _, open := s.f.sessions.Get(h); open { // a request sent early has its turn
		s.f.loop.Later(func() {
			if _, open := s.f.sessions.Get(h); open && s.call == "" {
				s.read()
			}
		})
	}
}
