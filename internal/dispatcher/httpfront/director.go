package httpfront

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/loadbalancer"
)

const (
	watchSilence = 5.0 // an empty line comes every 2 s: after this long the watch is dead though it looks open
)

// backoff is how long to wait before the next try: a time drawn evenly from a span that doubles with each failure, since
// those who fail together would else ask together again and again.
type backoff struct{ first, most float64 }

// afterLoss is for a watch that broke or never came up.
var afterLoss = backoff{1, 2}

const (
	askLeast = 2.0  // seconds of the first pause after a refusal, at least
	askShare = 0.08 // and for each dispatcher of the fleet
	askMost  = 8.0  // the longest pause is this many times the first
)

// afterRefusal is for a discovery that answers that it has no room. It works through few questions a second, those of
// all dispatchers together, and one that waits in vain takes the room of another: so the pauses grow with the fleet.
func afterRefusal(fleet int) backoff {
	first := max(askLeast, askShare*float64(fleet))
	return backoff{first, askMost * first}
}

// refusedError is the answer of a discovery that has no room.
type refusedError struct {
	status string
	after  float64 // seconds that it names
}

func (e *refusedError) Error() string { return "platform: discovery answered " + e.status }

// refusal reads an answer that is no list.
func refusal(status string, header Header) error {
	if !strings.HasPrefix(status, "503") && !strings.HasPrefix(status, "429") {
		return fmt.Errorf("platform: discovery answered %q", status)
	}
	after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(after > 0) {
		after = 0
	}
	return &refusedError{status, min(after, retryMost)}
}

const retryMost = 60 // seconds of a Retry-After that are heeded

// DiscoveryClient watches discovery's list for ever and hands every change to the core at once.
type DiscoveryClient struct {
	BadLines       uint64 // lines that made no sense: the old list was kept
	BadEntries     uint64 // entries of a line that made no sense: the rest was taken
	Watches        uint64
	Rejections     uint64                                                             // tries that a discovery without room answered so
	Instances      int                                                                // dispatchers that ask the same discovery
	OnVersion      func(addr netip.AddrPort, rev int64, cached bool, changed []Entry) // a version was taken; nil: nobody asks
	OnContact      func()                                                             // discovery has said something, if only that nothing has changed; nil: nobody asks
	OnFirstContact func()                                                             // discovery has spoken for the first time since the start

	loop  *eventloop.Loop
	log   *zap.Logger
	addr  netip.AddrPort // where discovery is by the latest configuration
	core  *dispatch.Dispatcher
	pool  *Pool
	zones []string
	kinds []string
	rev   int64
	known map[string]Entry // what discovery lists, by uid
	on    *watch           // the one that has told the list held now; nil before there was one, or between two tries
	next  *watch           // one at a new address, which has not spoken yet
	retry *eventloop.Timer
	fails int // in a row
	rng   *rand.Rand
	last  float64 // when discovery last said anything; 0 is not yet
}

// Revision is the version of the list held.
func (d *DiscoveryClient) Revision() int64 { return d.rev }

// LastContact is when discovery last said anything, if only that nothing has changed; 0 is not yet.
func (d *DiscoveryClient) LastContact() float64 { return d.last }

// NewDiscoveryClient makes a director; Start begins the watch.
func NewDiscoveryClient(loop *eventloop.Loop, log *zap.Logger, addr netip.AddrPort, core *dispatch.Dispatcher, pool *Pool, zones, kinds []string, seed uint64) *DiscoveryClient {
	return &DiscoveryClient{loop: loop, log: log, addr: addr, core: core, pool: pool, zones: zones, kinds: kinds,
		known: map[string]Entry{}, rng: rand.New(rand.NewPCG(seed, uint64(os.Getpid())))}
}

// Start hands over the list of an earlier life, which may be out of date, and asks at once: what discovery has to tell
// binds from the start on, and one that bides its time sends to backends that have gone. Where all start together
// discovery takes their questions in turn; those it has no room for draw a pause, as after any refusal.
func (d *DiscoveryClient) Start(known List) { d.StartWithList(d.addr, known) }

// List is the list as it is held now, for the process that takes this one's place.
func (d *DiscoveryClient) List() (addr netip.AddrPort, list List) {
	list = List{Revision: d.rev, Full: true}
	for _, uid := range slices.Sorted(maps.Keys(d.known)) {
		list.Entries = append(list.Entries, d.known[uid])
	}
	return d.addr, list
}

// StartWithList is Start with a list that another process was told by addr.
func (d *DiscoveryClient) StartWithList(addr netip.AddrPort, known List) {
	d.apply(addr, known, loadbalancer.ListCached)
	if addr == d.addr { // at once: the upgrade waits for it
		d.on = d.open(false)
	} else { // its version means nothing here
		d.next = d.open(true)
	}
}

func (d *DiscoveryClient) spoke() {
	if d.OnFirstContact != nil {
		d.OnFirstContact()
		d.OnFirstContact = nil
	}
}

// SetAddress watches another address, at once. The list held, and the watch that told it, stay until the new address
// has spoken: it may never do so, or for a while know of nothing.
func (d *DiscoveryClient) SetAddress(addr netip.AddrPort) {
	if addr == d.addr {
		return
	}
	d.addr, d.fails = addr, 0
	d.retry.Stop()
	if d.next != nil {
		d.next.close()
		d.next = nil
	}
	if d.on == nil || d.on.addr != addr { // else it moves back before the new address has spoken
		d.next = d.open(true)
	}
}

// Watch and Fetch implement routing.Director: the watch runs by itself, for ever.
func (d *DiscoveryClient) Watch(bool) {}

// Fetch asks for nothing more: the watch brings the whole list where it must.
func (d *DiscoveryClient) Fetch() {}

// watch is one connection to discovery.
type watch struct {
	d       *DiscoveryClient
	addr    netip.AddrPort
	conn    *eventloop.Conn
	whole   bool // asks for the whole list first: versions of another address mean nothing here
	head    bool // the head of the stream's answer has come
	line    []byte
	rev     int64 // the last that it told
	silence *eventloop.Timer
}

func (d *DiscoveryClient) open(whole bool) *watch {
	d.Watches++
	w := &watch{d: d, addr: d.addr, whole: whole}
	w.conn = d.loop.Connect(d.addr, w)
	w.conn.ReadFirst()
	w.heard()
	return w
}

func (w *watch) close() {
	w.silence.Stop()
	w.conn.Close()
}

// heard puts off the moment at which the watch counts as dead.
func (w *watch) heard() {
	w.silence.Stop()
	w.silence = w.d.loop.At(w.d.loop.Now()+watchSilence, func() { w.fail(errors.New("silent")) })
}

// fail ends the watch. The next try goes to the address of the latest configuration.
func (w *watch) fail(err error) {
	d := w.d
	w.close()
	d.log.Warn("director: watch ended, asking again", zap.Stringer("discovery", w.addr), zap.Int64("rev", d.rev), zap.Error(err))
	if w == d.on {
		if d.on = nil; d.next != nil || w.addr != d.addr {
			return // the old address has closed; the new one is being asked
		}
	} else {
		d.next = nil
	}
	d.retry.Stop()
	d.retry = d.loop.At(d.loop.Now()+d.pause(err), func() {
		if w.whole {
			d.next = d.open(true)
		} else {
			d.on = d.open(false)
		}
	})
}

// pause is how long to wait after a failure, which is one more.
func (d *DiscoveryClient) pause(err error) float64 {
	back, after := afterLoss, 0.0
	var refused *refusedError
	if errors.As(err, &refused) {
		back, after = afterRefusal(d.Instances), refused.after
		d.Rejections++
	}
	span := min(math.Ldexp(back.first, d.fails), back.most)
	if d.fails < 16 {
		d.fails++
	}
	return after + span*d.rng.Float64()
}

// Opened implements eventloop.Handler.
func (w *watch) Opened(c *eventloop.Conn) { w.ask() }

func (w *watch) ask() {
	query := fmt.Sprintf("?stream=1&index=%d", w.d.rev)
	if w.whole {
		query = ""
	}
	w.conn.Write(fmt.Appendf(nil, "GET /catalog/members%s HTTP/1.1\r\nHost: %s\r\n\r\n", query, w.addr))
}

// Closed implements eventloop.Handler.
func (w *watch) Closed(c *eventloop.Conn, err error) {
	if w.whole && len(c.Bytes()) > 0 && w.list(true) == nil {
		return
	}
	w.fail(err)
}

// Data implements eventloop.Handler.
func (w *watch) Data(*eventloop.Conn) {
	w.heard()
	w.d.last = w.d.loop.Now()
	if w.d.OnContact != nil {
		w.d.OnContact()
	}
	read := w.read
	if w.whole {
		read = func() error { return w.list(false) }
	}
	if err := read(); err != nil {
		w.fail(err)
	}
}

// list reads the whole list, which a new address is asked for first, and goes on to the stream from there.
func (w *watch) list(ended bool) error {
	d := w.d
	r, n, err := parseResponse(w.conn.Bytes(), ended, MaxList)
	if errors.Is(err, ErrIncomplete) && !ended {
		return nil
	}
	if err != nil {
		return err
	}
	if r.Status != 200 {
		return refusal(strconv.Itoa(r.Status), r.Header)
	}
	list, bad, err := ParseList(r.Body)
	if err == nil && !list.Full {
		err = errors.New("platform: list is not whole")
	}
	if err != nil {
		d.BadLines++
		return err
	}
	w.conn.Consume(n)
	if d.on != nil {
		d.on.close()
	}
	d.on, d.next, d.fails = w, nil, 0
	w.whole = false
	d.log.Info("director: moved", zap.Stringer("discovery", w.addr), zap.Int64("rev", list.Revision))
	d.drop(bad)
	d.apply(w.addr, list, loadbalancer.ListFull)
	d.spoke()
	if r.Close || ended {
		w.close()
		d.on = d.open(false)
		return nil
	}
	w.ask()
	return nil
}

func (w *watch) read() error {
	c := w.conn
	if !w.head {
		line, header, n, err := parseHead(c.Bytes())
		if errors.Is(err, ErrIncomplete) {
			return nil
		}
		if err != nil {
			return err
		}
		if status := strings.TrimPrefix(line, "HTTP/1.1 "); !strings.HasPrefix(status, "200") || header.Get("Transfer-Encoding") == "" {
			return refusal(status, header)
		}
		c.Consume(n)
		w.head = true
	}
	for {
		chunk, n, last, err := ParseChunk(c.Bytes(), MaxList)
		if errors.Is(err, ErrIncomplete) {
			return nil
		}
		if err != nil {
			return err
		}
		if last {
			return errors.New("platform: watch ended by discovery")
		}
		w.line = append(w.line, chunk...)
		c.Consume(n)
		for {
			line, rest, whole := bytes.Cut(w.line, []byte("\n"))
			if !whole {
				break
			}
			w.line = rest
			if line = bytes.TrimSpace(line); len(line) > 0 {
				if err := w.take(line); err != nil {
					return err
				}
			}
		}
		if len(w.line) > MaxList {
			return errors.New("platform: watch line too long")
		}
	}
}

// take applies one line. One that makes no sense, or is older than what this watch has told, is counted and the
// old list kept; but a change may have been in it, so what has changed since that list is asked for anew.
func (w *watch) take(line []byte) error {
	d := w.d
	list, bad, err := ParseList(line)
	if err == nil && list.Revision < w.rev {
		err = fmt.Errorf("platform: list: version %d after %d", list.Revision, w.rev)
	}
	if err != nil {
		d.BadLines++
		d.log.Warn("director: bad line, old list kept", zap.Error(err), zap.Int("bytes", len(line)))
		return err
	}
	d.drop(bad)
	w.rev, d.fails = list.Revision, 0
	kind := loadbalancer.ListDelta
	if list.Full {
		kind = loadbalancer.ListFull
	}
	d.apply(w.addr, list, kind)
	d.spoke()
	return nil
}

// drop counts entries that made no sense, and names the first: one line of the log for a line of discovery.
func (d *DiscoveryClient) drop(bad []error) {
	if len(bad) == 0 {
		return
	}
	d.BadEntries += uint64(len(bad))
	d.log.Warn("director: bad entry dropped, the rest taken", zap.Error(bad[0]), zap.Int("entries", len(bad)),
		zap.Uint64("so_far", d.BadEntries))
}

// apply hands a version of the list over, which addr has told. Whoever asks for versions hears of it last: what it withheld on
// others' word stays so until what this version says is in force.
func (d *DiscoveryClient) apply(addr netip.AddrPort, list List, kind loadbalancer.ListKind) {
	d.rev = list.Revision
	cached := kind == loadbalancer.ListCached
	if kind == loadbalancer.ListFull {
		// Whole as far as discovery goes: workers that another front lists stay, so what is missing is named.
		missing := maps.Clone(d.known)
		for _, t := range list.Entries {
			delete(missing, t.UID)
		}
		for _, uid := range list.dropped { // named, though nobody knows as what: it stays as it was
			delete(missing, uid)
		}
		for _, uid := range slices.Sorted(maps.Keys(missing)) {
			list.Entries = append(list.Entries, Entry{UID: uid, State: "gone"})
		}
		kind = loadbalancer.ListDelta
	}
	members, listed := make([]dispatch.Member, 0, len(list.Entries)), map[loadbalancer.WorkerID]bool{}
	for _, t := range list.Entries {
		if was, ok := d.known[t.UID]; ok && t.State == "gone" {
			// It leaves as what it was, whatever its last entry lacks: what may have run there is bound to its cell.
			t, t.State = was, "gone"
		}
		w := loadbalancer.Worker{ID: d.core.WorkerID(t.UID), Zone: place(d.zones, t.Zone), Kind: place(d.kinds, t.Kind),
			Cell: t.Cell, State: states[t.State], Weight: t.Weight, StartedAt: t.StartedAtMs / 1000}
		addr, _ := netip.ParseAddrPort(t.Endpoint)
		members = append(members, dispatch.Member{Worker: w, Backend: d.pool.backend(w.ID, t.UID, addr), Name: t.UID})
		if listed[w.ID] = w.State != loadbalancer.Departed; listed[w.ID] {
			d.known[t.UID] = t
		} else {
			delete(d.known, t.UID)
		}
	}
	d.log.Info("director: list", zap.Int64("rev", list.Revision), zap.Bool("all", list.Full), zap.Int("entries", len(members)))
	d.core.UpdateMembers(kind, members)
	if d.OnVersion != nil {
		d.OnVersion(addr, list.Revision, cached, list.Entries)
	}
	d.pool.keep(listed)
}

// place finds a name among the settings' names, or reads it as a number; -1 is none of them.
func place(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	if i, err := strconv.Atoi(name); err == nil && i >= 0 && i < len(names) {
		return i
	}
	return -1
}
