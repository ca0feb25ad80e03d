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
	watchTimeout = 5.0 // an empty line comes every 2 s: after this long the watch is dead though it looks open
)

// backoff is how long to wait before the next try: a time drawn evenly from a span that doubles with each failure, since
// those who fail together would else ask together again and again.
type backoff struct{ initial, max float64 }

// lossBackoff is for a watch that broke or never came up.
var lossBackoff = backoff{1, 2}

const (
	minRejectionPause         = 2.0  // seconds of the first pause after a refusal, at least
	rejectionPausePerInstance = 0.08 // and for each dispatcher of the fleet
	rejectionPauseGrowth      = 8.0  // the longest pause is this many times the first
)

// rejectionBackoff is for a discovery that answers that it has no room. It works through few questions a second, those of
// all dispatchers together, and one that waits in vain takes the room of another: so the pauses grow with the fleet.
func rejectionBackoff(instances int) backoff {
	initial := max(minRejectionPause, rejectionPausePerInstance*float64(instances))
	return backoff{initial, rejectionPauseGrowth * initial}
}

// rejectedError is the answer of a discovery that has no room.
type rejectedError struct {
	status     string
	retryAfter float64 // seconds that it names
}

func (e *rejectedError) Error() string { return "platform: discovery answered " + e.status }

// responseError reads an answer that is no list.
func responseError(status string, header Header) error {
	if !strings.HasPrefix(status, "503") && !strings.HasPrefix(status, "429") {
		return fmt.Errorf("platform: discovery answered %q", status)
	}
	retryAfter, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(retryAfter > 0) {
		retryAfter = 0
	}
	return &rejectedError{status, min(retryAfter, maxRetryAfter)}
}

const maxRetryAfter = 60 // seconds of a Retry-After that are heeded

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

	loop        *eventloop.Loop
	log         *zap.Logger
	address     netip.AddrPort // where discovery is by the latest configuration
	dispatcher  *dispatch.Dispatcher
	pool        *Pool
	zones       []string
	kinds       []string
	revision    int64
	entries     map[string]Entry // what discovery lists, by uid
	current     *watch           // the one that has told the list held now; nil before there was one, or between two tries
	pending     *watch           // one at a new address, which has not spoken yet
	retryTimer  *eventloop.Timer
	failures    int // in a row
	rng         *rand.Rand
	lastContact float64 // when discovery last said anything; 0 is not yet
}

// Revision is the version of the list held.
func (c *DiscoveryClient) Revision() int64 { return c.revision }

// LastContact is when discovery last said anything, if only that nothing has changed; 0 is not yet.
func (c *DiscoveryClient) LastContact() float64 { return c.lastContact }

// NewDiscoveryClient makes a director; Start begins the watch.
func NewDiscoveryClient(loop *eventloop.Loop, log *zap.Logger, address netip.AddrPort, dispatcher *dispatch.Dispatcher, pool *Pool, zones, kinds []string, seed uint64) *DiscoveryClient {
	return &DiscoveryClient{loop: loop, log: log, address: address, dispatcher: dispatcher, pool: pool, zones: zones, kinds: kinds,
		entries: map[string]Entry{}, rng: rand.New(rand.NewPCG(seed, uint64(os.Getpid())))}
}

// Start hands over the list of an earlier life, which may be out of date, and asks at once: what discovery has to tell
// binds from the start on, and one that bides its time sends to backends that have gone. Where all start together
// discovery takes their questions in turn; those it has no room for draw a pause, as after any refusal.
func (c *DiscoveryClient) Start(list List) { c.StartWithList(c.address, list) }

// List is the list as it is held now, for the process that takes this one's place.
func (c *DiscoveryClient) List() (address netip.AddrPort, list List) {
	list = List{Revision: c.revision, Full: true}
	for _, uid := range slices.Sorted(maps.Keys(c.entries)) {
		list.Entries = append(list.Entries, c.entries[uid])
	}
	return c.address, list
}

// StartWithList is Start with a list that another process was told by addr.
func (c *DiscoveryClient) StartWithList(address netip.AddrPort, list List) {
	c.apply(address, list, loadbalancer.ListCached)
	if address == c.address { // at once: the upgrade waits for it
		c.current = c.openWatch(false)
	} else { // its version means nothing here
		c.pending = c.openWatch(true)
	}
}

func (c *DiscoveryClient) notifyFirstContact() {
	if c.OnFirstContact != nil {
		c.OnFirstContact()
		c.OnFirstContact = nil
	}
}

// SetAddress watches another address, at once. The list held, and the watch that told it, stay until the new address
// has spoken: it may never do so, or for a while know of nothing.
func (c *DiscoveryClient) SetAddress(address netip.AddrPort) {
	if address == c.address {
		return
	}
	c.address, c.failures = address, 0
	c.retryTimer.Stop()
	if c.pending != nil {
		c.pending.close()
		c.pending = nil
	}
	if c.current == nil || c.current.address != address { // else it moves back before the new address has spoken
		c.pending = c.openWatch(true)
	}
}

// Watch and Fetch implement routing.Director: the watch runs by itself, for ever.
func (c *DiscoveryClient) Watch(bool) {}

// Fetch asks for nothing more: the watch brings the whole list where it must.
func (c *DiscoveryClient) Fetch() {}

// watch is one connection to discovery.
type watch struct {
	client       *DiscoveryClient
	address      netip.AddrPort
	conn         *eventloop.Conn
	fetchingList bool // asks for the whole list first: versions of another address mean nothing here
	headRead     bool // the head of the stream's answer has come
	partial      []byte
	revision     int64 // the last that it told
	timeout      *eventloop.Timer
}

func (c *DiscoveryClient) openWatch(fullList bool) *watch {
	c.Watches++
	watch := &watch{client: c, address: c.address, fetchingList: fullList}
	watch.conn = c.loop.Connect(c.address, watch)
	watch.conn.ReadFirst()
	watch.resetTimeout()
	return watch
}

func (w *watch) close() {
	w.timeout.Stop()
	w.conn.Close()
}

// resetTimeout puts off the moment at which the watch counts as dead.
func (w *watch) resetTimeout() {
	w.timeout.Stop()
	w.timeout = w.client.loop.At(w.client.loop.Now()+watchTimeout, func() { w.fail(errors.New("silent")) })
}

// fail ends the watch. The next try goes to the address of the latest configuration.
func (w *watch) fail(err error) {
	client := w.client
	w.close()
	client.log.Warn("director: watch ended, asking again", zap.Stringer("discovery", w.address), zap.Int64("rev", client.revision), zap.Error(err))
	if w == client.current {
		if client.current = nil; client.pending != nil || w.address != client.address {
			return // the old address has closed; the new one is being asked
		}
	} else {
		client.pending = nil
	}
	client.retryTimer.Stop()
	client.retryTimer = client.loop.At(client.loop.Now()+client.retryDelay(err), func() {
		if w.fetchingList {
			client.pending = client.openWatch(true)
		} else {
			client.current = client.openWatch(false)
		}
	})
}

// retryDelay is how long to wait after a failure, which is one more.
func (c *DiscoveryClient) retryDelay(err error) float64 {
	backoff, retryAfter := lossBackoff, 0.0
	var refused *rejectedError
	if errors.As(err, &refused) {
		backoff, retryAfter = rejectionBackoff(c.Instances), refused.retryAfter
		c.Rejections++
	}
	span := min(math.Ldexp(backoff.initial, c.failures), backoff.max)
	if c.failures < 16 {
		c.failures++
	}
	return retryAfter + span*c.rng.Float64()
}

// Opened implements eventloop.Handler.
func (w *watch) Opened(c *eventloop.Conn) { w.sendRequest() }

func (w *watch) sendRequest() {
	query := fmt.Sprintf("?stream=1&index=%d", w.client.revision)
	if w.fetchingList {
		query = ""
	}
	w.conn.Write(fmt.Appendf(nil, "GET /catalog/members%s HTTP/1.1\r\nHost: %s\r\n\r\n", query, w.address))
}

// Closed implements eventloop.Handler.
func (w *watch) Closed(c *eventloop.Conn, err error) {
	if w.fetchingList && len(c.Bytes()) > 0 && w.readList(true) == nil {
		return
	}
	w.fail(err)
}

// Data implements eventloop.Handler.
func (w *watch) Data(*eventloop.Conn) {
	w.resetTimeout()
	w.client.lastContact = w.client.loop.Now()
	if w.client.OnContact != nil {
		w.client.OnContact()
	}
	read := w.readStream
	if w.fetchingList {
		read = func() error { return w.readList(false) }
	}
	if err := read(); err != nil {
		w.fail(err)
	}
}

// readList reads the whole list, which a new address is asked for first, and goes on to the stream from there.
func (w *watch) readList(ended bool) error {
	client := w.client
	response, size, err := parseResponse(w.conn.Bytes(), ended, MaxList)
	if errors.Is(err, ErrIncomplete) && !ended {
		return nil
	}
	if err != nil {
		return err
	}
	if response.Status != 200 {
		return responseError(strconv.Itoa(response.Status), response.Header)
	}
	list, bad, err := ParseList(response.Body)
	if err == nil && !list.Full {
		err = errors.New("platform: list is not whole")
	}
	if err != nil {
		client.BadLines++
		return err
	}
	w.conn.Consume(size)
	if client.current != nil {
		client.current.close()
	}
	client.current, client.pending, client.failures = w, nil, 0
	w.fetchingList = false
	client.log.Info("director: moved", zap.Stringer("discovery", w.address), zap.Int64("rev", list.Revision))
	client.countBadEntries(bad)
	client.apply(w.address, list, loadbalancer.ListFull)
	client.notifyFirstContact()
	if response.Close || ended {
		w.close()
		client.current = client.openWatch(false)
		return nil
	}
	w.sendRequest()
	return nil
}

func (w *watch) readStream() error {
	conn := w.conn
	if !w.headRead {
		line, header, size, err := parseHead(conn.Bytes())
		if errors.Is(err, ErrIncomplete) {
			return nil
		}
		if err != nil {
			return err
		}
		if status := strings.TrimPrefix(line, "HTTP/1.1 "); !strings.HasPrefix(status, "200") || header.Get("Transfer-Encoding") == "" {
			return responseError(status, header)
		}
		conn.Consume(size)
		w.headRead = true
	}
	for {
		chunk, size, last, err := ParseChunk(conn.Bytes(), MaxList)
		if errors.Is(err, ErrIncomplete) {
			return nil
		}
		if err != nil {
			return err
		}
		if last {
			return errors.New("platform: watch ended by discovery")
		}
		w.partial = append(w.partial, chunk...)
		conn.Consume(size)
		for {
			line, rest, complete := bytes.Cut(w.partial, []byte("\n"))
			if !complete {
				break
			}
			w.partial = rest
			if line = bytes.TrimSpace(line); len(line) > 0 {
				if err := w.handleLine(line); err != nil {
					return err
				}
			}
		}
		if len(w.partial) > MaxList {
			return errors.New("platform: watch line too long")
		}
	}
}

// handleLine applies one line. One that makes no sense, or is older than what this watch has told, is counted and the
// old list kept; but a change may have been in it, so what has changed since that list is asked for anew.
func (w *watch) handleLine(line []byte) error {
	client := w.client
	list, bad, err := ParseList(line)
	if err == nil && list.Revision < w.revision {
		err = fmt.Errorf("platform: list: version %d after %d", list.Revision, w.revision)
	}
	if err != nil {
		client.BadLines++
		client.log.Warn("director: bad line, old list kept", zap.Error(err), zap.Int("bytes", len(line)))
		return err
	}
	client.countBadEntries(bad)
	w.revision, client.failures = list.Revision, 0
	kind := loadbalancer.ListDelta
	if list.Full {
		kind = loadbalancer.ListFull
	}
	client.apply(w.address, list, kind)
	client.notifyFirstContact()
	return nil
}

// countBadEntries counts entries that made no sense, and names the first: one line of the log for a line of discovery.
func (c *DiscoveryClient) countBadEntries(bad []error) {
	if len(bad) == 0 {
		return
	}
	c.BadEntries += uint64(len(bad))
	c.log.Warn("director: bad entry dropped, the rest taken", zap.Error(bad[0]), zap.Int("entries", len(bad)),
		zap.Uint64("so_far", c.BadEntries))
}

// apply hands a version of the list over, which addr has told. Whoever asks for versions hears of it last: what it withheld on
// others' word stays so until what this version says is in force.
func (c *DiscoveryClient) apply(address netip.AddrPort, list List, kind loadbalancer.ListKind) {
	c.revision = list.Revision
	cached := kind == loadbalancer.ListCached
	if kind == loadbalancer.ListFull {
		// Whole as far as discovery goes: workers that another front lists stay, so what is missing is named.
		missing := maps.Clone(c.entries)
		for _, entry := range list.Entries {
			delete(missing, entry.UID)
		}
		for _, uid := range list.droppedUIDs { // named, though nobody knows as what: it stays as it was
			delete(missing, uid)
		}
		for _, uid := range slices.Sorted(maps.Keys(missing)) {
			list.Entries = append(list.Entries, Entry{UID: uid, State: "gone"})
		}
		kind = loadbalancer.ListDelta
	}
	members, listed := make([]dispatch.Member, 0, len(list.Entries)), map[loadbalancer.WorkerID]bool{}
	for _, entry := range list.Entries {
		if known, ok := c.entries[entry.UID]; ok && entry.State == "gone" {
			// It leaves as what it was, whatever its last entry lacks: what may have run there is bound to its cell.
			entry, entry.State = known, "gone"
		}
		worker := loadbalancer.Worker{ID: c.dispatcher.WorkerID(entry.UID), Zone: indexOf(c.zones, entry.Zone), Kind: indexOf(c.kinds, entry.Kind),
			Cell: entry.Cell, State: workerStates[entry.State], Weight: entry.Weight, StartedAt: entry.StartedAtMs / 1000}
		address, _ := netip.ParseAddrPort(entry.Endpoint)
		members = append(members, dispatch.Member{Worker: worker, Backend: c.pool.ensureBackend(worker.ID, entry.UID, address), Name: entry.UID})
		if listed[worker.ID] = worker.State != loadbalancer.Departed; listed[worker.ID] {
			c.entries[entry.UID] = entry
		} else {
			delete(c.entries, entry.UID)
		}
	}
	c.log.Info("director: list", zap.Int64("rev", list.Revision), zap.Bool("all", list.Full), zap.Int("entries", len(members)))
	c.dispatcher.UpdateMembers(kind, members)
	if c.OnVersion != nil {
		c.OnVersion(address, list.Revision, cached, list.Entries)
	}
	c.pool.removeDeparted(listed)
}

// indexOf finds a name among the settings' names, or reads it as a number; -1 is none of them.
func indexOf(names []string, name string) int {
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
