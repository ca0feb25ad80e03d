package proxy

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// modelRunner is a scripted runner.
type modelRunner struct {
	model   *model
	id      string
	address netip.AddrPort
	peer    *simulatedPeer
	conns   []*modelConn
}

func newModelRunner(m *model, i int) *modelRunner {
	r := &modelRunner{model: m, id: fmt.Sprint("r", i)}
	r.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80)
	r.peer = &simulatedPeer{latency: time.Duration(1+m.random.IntN(12)) * time.Millisecond, accept: r.accept}
	m.network.peers[r.address] = r.peer
	return r
}

// cut has nothing pass the runner's line for a while.
func (r *modelRunner) cut(span time.Duration) {
	now := r.model.network.now
	r.peer.cutUntil = max(r.peer.cutUntil, now+span)
	r.peer.lastCut = r.peer.cutUntil
	r.trouble()
}

// trouble notes that requests at the runner may fail without a fault of the proxy.
func (r *modelRunner) trouble() {
	for _, q := range r.model.referee.requests {
		if !q.final {
			q.troubled = true // it may be on its way here
		}
	}
}

// crash resets all connections of the runner, which refuses new ones for a while.
func (r *modelRunner) crash(span time.Duration) {
	r.trouble()
	for _, c := range r.conns {
		c.lost()
		c.end.abort()
	}
	r.conns = nil
	r.peer.accept = nil
	r.model.network.after(span, func() { r.peer.accept = r.accept })
}

func (r *modelRunner) accept(end *simulatedEnd) {
	c := &modelConn{runner: r, end: end}
	r.conns = append(r.conns, c)
	end.data, end.ended, end.lost = c.data, c.closed, c.lostBytes
	if r.model.chance(40) { // it takes no more connections
		c.drop(end.abort)
	}
}

// modelConn is a connection at a runner.
type modelConn struct {
	runner   *modelRunner
	end      *simulatedEnd
	in       string
	request  *askedRequest // at work, or due
	previous string        // id
	due      string        // bytes of a body that is not whole
	running  bool          // works on the request
	replying bool          // a part of an answer has been sent
	suspect  bool          // an extra answer may come
	early    bool          // the request was answered before its body was whole
	later    func()        // once the body is whole
	step     int           // of the script: a later one makes the earlier void
}

// lost notes that a request at hand fails by the runner.
func (c *modelConn) lost() {
	if c.request != nil {
		c.request.troubled = true
	}
}

// heldUp says whether what comes now could have come sooner, but for the line or for the runner's not reading.
func (c *modelConn) heldUp() bool {
	now, peer := c.runner.model.network.now, c.runner.peer
	return now <= max(peer.lastCut+peer.latency, c.end.heldUntil)+longTurn
}

// drop ends the connection.
func (c *modelConn) drop(how func()) {
	c.lost()
	how()
	c.forget()
}

func (c *modelConn) forget() {
	c.step++
	c.request = nil
	c.runner.conns = slices.DeleteFunc(c.runner.conns, func(o *modelConn) bool { return o == c })
}

// closed takes the proxy's close: the work is dropped.
func (c *modelConn) closed(bool) {
	c.forget()
	c.end.close()
}

// data takes bytes of the proxy.
func (c *modelConn) data(b []byte) {
	c.in += string(b)
	for c.in != "" && !c.end.closed {
		switch {
		case c.due != "":
			n := min(len(c.due), len(c.in))
			if c.in[:n] != c.due[:n] {
				c.runner.model.referee.breaks("UNASKED", "%s gets %.40q where %.40q of %s is due", c.runner.id, c.in, c.due,
					c.request.id)
				c.drop(c.end.abort)
				return
			}
			c.in, c.due = c.in[n:], c.due[n:]
			if c.due == "" {
				c.bodyCame()
			}
		case c.request != nil:
			c.runner.model.referee.breaks("UNASKED", "%s gets %.60q while it works on %s", c.runner.id, c.in, c.request.id)
			c.drop(c.end.abort)
		default:
			if !c.head() {
				return
			}
		}
	}
}

// head takes the head of a request; false: it is not whole.
func (c *modelConn) head() bool {
	got := parseHead(c.in)
	if got == nil {
		return false
	}
	m := c.runner.model
	c.in = c.in[got.bytes:]
	q := m.referee.arrived(c, got)
	if q == nil {
		c.drop(c.end.abort)
		return true
	}
	length, _ := strconv.Atoi(got.header.Get("Content-Length"))
	if length != len(q.body) {
		m.referee.breaks("UNASKED", "%s arrives with %d bytes of %d", q.id, length, len(q.body))
	}
	c.request, c.due, c.early = q, q.body, false
	q.troubled = q.troubled || c.suspect
	if c.due == "" {
		c.work(got)
		return true
	}
	if m.chance(4) {
		c.answerEarly(got)
		return true
	}
	if m.chance(40) {
		c.drop(c.end.abort) // before the request is whole
		return true
	}
	head := *got
	c.whenWhole(func() { c.work(&head) })
	return true
}

// whole is what is done when the body has come.
func (c *modelConn) whenWhole(do func()) { c.later = do }

// bodyCame goes on once the body is whole.
func (c *modelConn) bodyCame() {
	if c.early {
		c.rest()
		return
	}
	if do := c.later; do != nil {
		c.later = nil
		do()
	}
}

// rest makes the connection free for the next request.
func (c *modelConn) rest() {
	c.previous, c.request, c.early, c.replying, c.running = c.request.id, nil, false, false, false
	if c.runner.model.chance(15) {
		step := c.step
		c.runner.model.network.after(c.runner.model.upTo(400*time.Millisecond), func() {
			if c.step == step && c.request == nil {
				c.drop(c.end.close)
			}
		})
	}
}

// answerEarly answers before the body has come, and keeps the connection or ends it.
func (c *modelConn) answerEarly(got *parsedHead) {
	m := c.runner.model
	text := notRunText(c.request.id, 503)
	if m.network.now >= c.runner.peer.cutUntil && !m.chance(3) { // one that has begun tells so at once
		made := m.referee.ran(c.request, c.runner.id)
		made.status, made.body = 200, bodyOf(c.request.id)
		text = sealed(made, "", wholeBody(made))
		if c.request.kind == "resumable" || c.request.kind == "stream" {
			text = c.stream(made, got)
		}
	}
	switch m.random.IntN(5) {
	case 0:
		c.end.send(text)
		c.drop(c.end.abort)
	case 1:
		c.request.troubled = true
		c.end.send("\x00\x01 spoilt")
		c.early = true
	default:
		c.early = true
		c.end.send(text)
		if m.chance(2) { // and reads on later
			c.end.stall(true)
			m.network.after(m.upTo(200*time.Millisecond), func() { c.end.stall(false) })
		}
	}
}

// notRunText is an answer that says that nothing ran.
func notRunText(id string, status int) string {
	return fmt.Sprintf("HTTP/1.1 %d No\r\nX-Not-Run: 1\r\nX-Try-Id: %s\r\nContent-Length: 3\r\n\r\nabc", status, id)
}

// sealed is the text of a run's answer, with a framing of its own in rest.
func sealed(made *run, fields, rest string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Try-Id: %s\r\nX-Server-Seal: %s\r\n%s%s", made.status, made.request.id, made.seal,
		fields, rest)
}

func wholeBody(made *run) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(made.body), made.body)
}

// stream is the text of a stream from the event that is wanted.
func (c *modelConn) stream(made *run, got *parsedHead) string {
	from := 0
	if c.request.kind == "resumable" {
		_, _ = fmt.Sscan(got.header.Get(fieldLastEvent), &from)
	}
	made.status, made.body = 200, wholeStream(c.request.id)
	var text strings.Builder
	for i := from + 1; i <= chaosEvents; i++ {
		text.WriteString(chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", i, c.request.id)))
	}
	return sealed(made, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", text.String()+lastChunk)
}

// work runs the request, or does not.
func (c *modelConn) work(got *parsedHead) {
	m, q := c.runner.model, c.request
	switch m.random.IntN(20) {
	case 0, 1:
		c.reply(notRunText(q.id, 503), c.rest)
		return
	case 2:
		c.reply(notRunText(q.id, 429), c.rest)
		return
	case 3: // another incarnation has the address
		c.reply("HTTP/1.1 421 No\r\nX-Try-Id: "+q.id+"\r\nContent-Length: 0\r\n\r\nbytes after it", c.rest)
		return
	case 4:
		q.troubled = true // whose it is cannot always be told
		c.reply(notRunAnswer, c.rest)
		return
	}
	made := m.referee.ran(q, c.runner.id)
	c.running = true
	c.later = func() { c.answer(made, got) }
	c.after(c.workTime(got), func() {
		do := c.later
		c.later = nil
		do()
	})
}

// workTime draws how long a request takes; sometimes until its time is just over.
func (c *modelConn) workTime(got *parsedHead) time.Duration {
	m := c.runner.model
	left, _ := strconv.Atoi(got.header.Get(fieldTimeLeft))
	switch m.random.IntN(10) {
	case 0:
		return time.Duration(left)*time.Millisecond - 20*time.Millisecond + m.upTo(30*time.Millisecond)
	case 1:
		return time.Hour // hung
	case 2:
		return m.upTo(2 * time.Second)
	}
	return m.upTo(200 * time.Millisecond)
}

// after does something later, unless the connection has gone on to something else.
func (c *modelConn) after(wait time.Duration, do func()) {
	c.step++
	step := c.step
	c.runner.model.network.after(max(wait, 0), func() {
		if c.step == step && !c.end.closed {
			do()
		}
	})
}

// reply sends a text in pieces, with pauses, and goes on.
func (c *modelConn) reply(text string, then func()) {
	m := c.runner.model
	c.replying = true
	n, pause := len(text), time.Duration(0)
	if n > 1 && m.chance(2) {
		n, pause = min(1+m.random.IntN(len(text)), len(text)), m.upTo(30*time.Millisecond)
	}
	if m.chance(30) {
		pause = m.upTo(time.Second)
	}
	c.end.send(text[:n])
	if n == len(text) {
		then()
		return
	}
	c.after(pause, func() { c.reply(text[n:], then) })
}

// replyAndMore sends a whole answer and bytes that belong to no request.
func (c *modelConn) replyAndMore(text, more string) {
	c.reply(text, func() {
		c.rest()
		c.suspect = true // the bytes may meet the next request
		c.end.send(more)
	})
}

// answer draws an answer to what was run.
func (c *modelConn) answer(made *run, got *parsedHead) {
	m, q := c.runner.model, c.request
	made.status, made.body = 200, bodyOf(q.id)
	text := sealed(made, "", wholeBody(made))
	if q.kind == "stream" || q.kind == "resumable" {
		text = c.stream(made, got)
	}
	closes := func() { c.drop(c.end.close) }
	resets := func() { c.drop(c.end.abort) }
	switch m.random.IntN(22) {
	case 0:
		resets()
	case 1:
		closes()
	case 2:
		made.status, made.body, q.troubled = 500, "oops", true
		c.reply(sealed(made, "", wholeBody(made)), c.rest)
	case 3:
		made.status, made.body, q.troubled = 503, "oops", true
		c.reply(sealed(made, "", wholeBody(made)), c.rest)
	case 4:
		q.troubled = true
		c.reply("\x01\x02 no answer", c.rest)
	case 5:
		c.reply(text[:m.random.IntN(len(text))], resets)
	case 6:
		c.reply(text[:m.random.IntN(len(text))], closes)
	case 7:
		c.replyAndMore(text, served(q.id, "unasked"))
	case 8:
		c.replyAndMore(text, "garbage")
	case 9:
		if c.previous != "" {
			text = served(c.previous, "late") + text
		}
		c.reply(text, c.rest)
	case 10:
		q.troubled = true
		c.reply(served("other", "answer"), c.rest)
	case 11:
		c.reply(strings.Replace(text, "\r\n", "\r\nConnection: close\r\n", 1), closes)
	case 12:
		c.reply("HTTP/1.1 100 Continue\r\n\r\n"+text, c.rest)
	case 13:
		if q.kind == "reads" || q.kind == "writes" {
			text = sealed(made, "", "\r\n"+made.body)
			if m.chance(2) {
				c.reply(text[:m.random.IntN(len(text))], resets)
				return
			}
		}
		c.reply(text, closes)
	case 14:
		c.reply(text, func() {
			c.rest()
			c.suspect = true // the extra answer may meet any later request
			m.network.after(m.upTo(200*time.Millisecond), func() {
				if !c.replying {
					c.end.send(c.lateExtra(q))
				}
			})
		})
	case 15:
		made.status, made.body, q.troubled = 504, "late", true
		c.reply(sealed(made, "", wholeBody(made)), c.rest)
	default:
		c.reply(text, c.rest)
	}
}

// lateExtra draws an answer that comes after the one that counts.
func (c *modelConn) lateExtra(q *askedRequest) string {
	switch c.runner.model.random.IntN(4) {
	case 0:
		return notRunAnswer
	case 1:
		return notRunText(q.id, 503)
	}
	return served(q.id, "late")
}

// lostBytes takes bytes that have come to a connection which the runner has closed.
func (c *modelConn) lostBytes(b []byte) {
	if head := parseHead(string(b)); head != nil {
		if q := c.runner.model.referee.requests[head.header.Get(fieldTryID)]; q != nil {
			q.troubled = true
		}
	}
}
