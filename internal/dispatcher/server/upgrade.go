package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/dispatcher/handover"
	"cinderroad/internal/dispatcher/httpfront"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/loadbalancer"
)

const (
	stateWait = 1.0 // seconds for the process before this one to tell its state
	spokeWait = 1.0 // and for discovery to say what has changed since: a silent one must not hold the upgrade up
	orderWait = 0.6 // seconds for the other process to carry an order out; the staff are owed an answer within 1
	mostMoves = 16  // sessions under way to the next process: their descriptors count for both
)

// state is what a process tells the one that takes its place.
type state struct {
	Discovery  string                        `json:"discovery"`
	List       httpfront.List                `json:"list"`
	Out        map[string]dispatch.Exclusion `json:"out"`
	Evacuated  float64                       `json:"evacuated"` // since when; 0 is not
	Learnt     loadbalancer.Snapshot         `json:"learnt"`
	Gearman    bool                          `json:"gearman"` // its listening socket comes along
	GearmanFor string                        `json:"gearman_listen"`
	Figures    bool                          `json:"figures,omitempty"` // its totals follow once the newer one has taken the clients
}

// hello is what a newer process says of itself.
type hello struct {
	Figures bool `json:"figures"` // takes totals
}

// upgrade is a process's part in taking the place of the one before it, and in leaving its own to the next.
type upgrade struct {
	Passed, Adopted, Asks uint64

	p        *Server
	path     string
	door     *eventloop.Listener // where the next process comes
	prev     *handover.Link      // the process before this one, while it lives
	next     *handover.Link      // the one that takes this one's place
	heard    bool                // prev has told its state
	took     bool                // next takes the clients
	moves    int                 // sessions on their way to next
	gearman  int                 // listening socket that came along; 0 is none
	figures  bool                // next takes totals
	deadline *eventloop.Timer
}

func newUpgrade(p *Server) *upgrade {
	u := &upgrade{p: p}
	if p.config.inherited > 0 {
		u.path = p.config.file(".upgrade")
	}
	p.front.ForwardCallback = func(body []byte, done func()) bool {
		if !u.ask(handover.CallbackQuery, body, nil, func(bool) { done() }) {
			return false
		}
		u.Asks++
		return true
	}
	return u
}

// begin looks for a process whose place this one takes; false where there can be none. What it finds goes on by itself.
func (u *upgrade) begin() bool {
	if u.path == "" {
		return false
	}
	u.prev = handover.Connect(u.p.loop, u.path, u)
	u.deadline = u.p.loop.At(u.p.loop.Now()+stateWait, func() {
		u.prev.Close()
		u.HandleDown(u.prev, fmt.Errorf("program: no state within %.0f s", stateWait))
	})
	return true
}

// two says whether there are two processes now.
func (u *upgrade) two() bool { return u.prev != nil && u.heard || u.next != nil }

// left says whether the clients are the next process's.
func (u *upgrade) left() bool { return u.took }

// done says whether nothing is owed to the other processes.
func (u *upgrade) done() bool {
	if u.took && !u.p.reporting.handedOver() {
		return false
	}
	return (u.prev == nil || u.prev.Idle()) && (u.next == nil || u.next.Idle()) && (!u.took || u.moves == 0 && u.p.front.SessionCount() == 0)
}

// HandleUp implements handover.Owner.
func (u *upgrade) HandleUp(l *handover.Link) {
	_ = l.Send(handover.Hello, hello{Figures: u.p.reporting.delivers()})
}

// HandleDown implements handover.Owner. Whichever process is left has everything again.
func (u *upgrade) HandleDown(l *handover.Link, err error) {
	switch l {
	case u.prev:
		u.prev = nil
		u.p.log.Info("program: the process before has gone", zap.Bool("told", u.heard), zap.Error(err))
		if !u.heard {
			u.deadline.Stop()
			u.open(u.p.alone())
			break
		}
		u.p.reporting.predecessorLost()
	case u.next:
		u.next = nil
		if !u.took {
			u.p.log.Warn("program: the next process has gone before it took over", zap.Error(err))
			break
		}
		u.p.log.Warn("program: the next process has gone, taking back", zap.Error(err))
		u.took, u.moves = false, 0
		u.p.front.SetSuccessor(nil)
		u.p.listener.SetSuspended(false)
		u.p.reporting.resume()
		u.p.resumeFleet()
		if u.p.gearman != nil {
			u.p.gearman.SetRetired(false)
		}
		if u.p.stopping {
			u.p.loop.At(u.p.loop.Now()+lingerTime, u.p.drain)
		} else {
			u.listen()
		}
	default:
		return
	}
	u.p.limit()
}

// open has this process found by the next one.
func (u *upgrade) open(err error) {
	if err != nil {
		u.p.fail(err)
		return
	}
	u.listen()
}

func (u *upgrade) listen() {
	door, err := u.p.loop.ListenUnix(u.path, 2, func() bool { return false }, u.accept)
	if err != nil { // it serves; the next one will be a plain restart
		u.p.log.Error("program: no upgrade will find this process", zap.Error(err))
		return
	}
	u.door = door
}

func (u *upgrade) accept(c *eventloop.Conn) eventloop.Handler {
	l := handover.Accept(c, u)
	if u.took { // it has looked before the next one stood at the path
		l.Close()
		return l
	}
	if u.next != nil {
		u.next.Close()
	}
	u.next = l
	u.p.limit()
	return l
}

// HandleMessage implements handover.Owner.
func (u *upgrade) HandleMessage(l *handover.Link, kind handover.Kind, body []byte) error {
	switch {
	case l == u.next && kind == handover.Hello:
		var h hello
		if err := json.Unmarshal(body, &h); err != nil {
			return fmt.Errorf("program: hello: %w", err)
		}
		u.figures = h.Figures && u.p.reporting.delivers()
		return u.tell()
	case l == u.prev && kind == handover.Metrics && u.heard:
		return u.p.reporting.receive(body)
	case l == u.next && kind == handover.Takeover && !u.took:
		u.leave()
	case l == u.next && kind == handover.SessionReceived && u.took:
		if u.moves--; u.moves <= mostMoves/2 {
			u.p.front.OfferSessions()
		}
	case l == u.prev && kind == handover.State && !u.heard:
		return u.hear(body)
	case l == u.prev && kind == handover.Session && u.heard:
		return u.adopt(body)
	default:
		return fmt.Errorf("program: frame of kind %d out of turn", kind)
	}
	return nil
}

// tell tells the next process all it needs.
func (u *upgrade) tell() error {
	p := u.p
	addr, list := p.director.List()
	s := state{Discovery: addr.String(), List: list, Out: p.core.Exclusions(), Evacuated: p.front.EvacuatedSince(), Learnt: p.core.Snapshot(), Figures: u.figures}
	p.log.Info("program: telling the next process", zap.Int64("rev", list.Revision), zap.Int("members", len(list.Entries)))
	if p.gearman == nil || !p.serving {
		return u.next.Send(handover.State, s)
	}
	fd, err := p.gearman.Listener().Dup()
	if err != nil {
		return err
	}
	s.Gearman, s.GearmanFor = true, p.gearman.Listener().Addr().String()
	return u.next.SendDescriptor(handover.State, s, nil, fd)
}

// leave leaves the clients to the next process.
func (u *upgrade) leave() {
	p := u.p
	p.log.Info("program: the next process takes the clients", zap.Int("sessions", p.front.SessionCount()), zap.Int("open", p.core.Counts().OpenRequests))
	u.took = true
	if u.door != nil { // the path is the next one's
		u.door.Close()
		u.door = nil
	}
	p.listener.SetSuspended(true)
	p.yieldFleet()
	if p.gearman != nil {
		p.gearman.SetRetired(true)
	}
	p.front.SetSuccessor(u.move)
	if u.figures {
		p.reporting.handOver(u.next)
	}
}

// move sends a session that rests to the next process.
func (u *upgrade) move(s httpfront.SessionState, c *eventloop.Conn) bool {
	if u.next == nil || u.moves >= mostMoves {
		return false
	}
	fd, in := c.Detach()
	u.moves++
	u.Passed++
	if err := u.next.SendDescriptor(handover.Session, s, in, fd); err != nil {
		u.p.log.Error("program: a session could not be passed on", zap.Error(err))
	}
	return true
}

// adopt takes a session over.
func (u *upgrade) adopt(body []byte) error {
	var s httpfront.SessionState
	in, fd, err := u.prev.DecodeDescriptorFrame(body, &s)
	if err != nil {
		if fd >= 0 {
			unix.Close(fd)
		}
		return err
	}
	u.Adopted++
	if err := u.p.loop.Adopt(fd, bytes.Clone(in), func(c *eventloop.Conn) eventloop.Handler {
		return u.p.front.Adopt(s, c)
	}); err != nil {
		u.p.log.Warn("program: a session could not be taken over", zap.Error(err))
	}
	return u.prev.Send(handover.SessionReceived, struct{}{})
}

// hear takes the state of the process before this one, and waits for discovery to say what has changed since.
func (u *upgrade) hear(body []byte) error {
	p := u.p
	var s state
	if err := u.read(body, &s); err != nil {
		return err
	}
	u.deadline.Stop()
	u.heard = true
	p.limit()
	p.core.ApplyExclusions(s.Out)
	p.log.Info("program: told by the process before", zap.Int64("rev", s.List.Revision), zap.Int("members_out", p.core.ExcludedCount()))
	if s.Evacuated > 0 {
		p.evacuate(true, min(s.Evacuated, p.loop.Now()))
	}
	p.reporting.awaitPredecessor(s.Figures)
	if err := p.core.Restore(s.Learnt); err != nil {
		p.log.Warn("program: what the process before has learnt is of no use", zap.Error(err))
	}
	if p.config.discovery.IsValid() {
		addr, _ := netip.ParseAddrPort(s.Discovery)
		p.director.OnFirstContact = u.take
		u.deadline = p.loop.At(p.loop.Now()+spokeWait, u.take)
		p.director.StartWithList(addr, s.List)
		return nil
	}
	u.take()
	return nil
}

// read reads a state and checks it.
func (u *upgrade) read(body []byte, s *state) error {
	err := json.Unmarshal(body, s)
	if err != nil { // with a descriptor, it has the other form
		var fd int
		if _, fd, err = u.prev.DecodeDescriptorFrame(body, s); err == nil && s.Gearman && u.p.gearman != nil && s.GearmanFor == u.p.config.gearman.Listen {
			u.gearman = fd
		} else if fd >= 0 {
			unix.Close(fd)
		}
	}
	if err != nil {
		return fmt.Errorf("program: state: %w", err)
	}
	if err := s.List.Validate(); err != nil {
		return fmt.Errorf("program: state: %w", err)
	}
	text, err := json.Marshal(kept{keptVersion, s.Out})
	if err != nil {
		return fmt.Errorf("program: state: %w", err)
	}
	_, err = parseKept(text)
	return err
}

// take takes the clients: the list, the exclusions and what was learnt are here.
func (u *upgrade) take() {
	u.deadline.Stop()
	if u.p.serving || u.p.stopping {
		return
	}
	u.open(u.p.serve(u.gearman))
	if u.prev != nil && u.p.serving {
		_ = u.prev.Send(handover.Takeover, struct{}{})
	}
}

// HandleQuery implements handover.Owner.
func (u *upgrade) HandleQuery(l *handover.Link, kind handover.Kind, body []byte, answer func(yes bool)) {
	body = bytes.Clone(body)
	switch kind {
	case handover.CallbackQuery:
		if u.p.front.HandleForwardedCallback(body) {
			answer(true)
		} else if !u.ask(handover.CallbackQuery, body, l, answer) {
			answer(false)
		}
	case handover.Order:
		var o order
		err := json.Unmarshal(body, &o)
		if err == nil {
			err = u.p.obey(o)
		}
		if err != nil {
			u.p.log.Error("program: order of the other process not carried out", zap.Error(err))
			answer(false)
			return
		}
		u.order(o, l, func() { answer(true) })
	}
}

// ask asks the other processes, but for the one that asks itself; done hears yes from the first that says it, else no
// once all have answered or gone. False when there is nobody to ask.
func (u *upgrade) ask(kind handover.Kind, body []byte, but *handover.Link, done func(yes bool)) bool {
	waits, over := 0, false
	for _, l := range []*handover.Link{u.prev, u.next} {
		if l == nil || l == but || l == u.prev && !u.heard || l == u.next && kind == handover.CallbackQuery && !u.took {
			continue
		}
		if l.Query(kind, body, func(yes bool) {
			if waits--; !over && (yes && kind == handover.CallbackQuery || waits == 0) {
				over = true
				done(yes)
			}
		}) {
			waits++
		}
	}
	return waits > 0
}

// order has the other processes carry out an order; done hears when they have, or cannot be waited for.
func (u *upgrade) order(o order, but *handover.Link, done func()) {
	body, err := json.Marshal(o)
	if err != nil {
		u.p.log.Error("program: order", zap.Error(err))
		done()
		return
	}
	over := false
	finish := func() {
		if !over {
			over = true
			done()
		}
	}
	if !u.ask(handover.Order, body, but, func(bool) { finish() }) {
		finish()
		return
	}
	u.p.loop.At(u.p.loop.Now()+orderWait, finish)
}
