package platform

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strconv"

	"go.uber.org/zap"

	"cinderroad/brain"
	"cinderroad/internal/routing"
	"cinderroad/internal/transport"
)

const (
	watchSilence = 5.0 // an empty line comes every 2 s: after this long the watch is dead though it looks open
	rewatchAfter = 0.2 // wait before the next try, doubled up to rewatchMost
	rewatchMost  = 1.0
)

// Director watches discovery's list for ever and hands every change to the core at once.
type Director struct {
	Rejected uint64 // lines that made no sense: the old list was kept
	Watches  uint64

	loop    *transport.Loop
	log     *zap.Logger
	addr    netip.AddrPort
	core    *routing.Core
	pool    *Pool
	zones   []string
	kinds   []string
	rev     int64
	conn    *transport.Conn
	head    bool // the answer's head has come
	line    []byte
	silence *transport.Deadline
	wait    float64
}

// NewDirector makes a director; Start begins the watch.
func NewDirector(loop *transport.Loop, log *zap.Logger, addr netip.AddrPort, core *routing.Core, pool *Pool, zones, kinds []string) *Director {
	return &Director{loop: loop, log: log, addr: addr, core: core, pool: pool, zones: zones, kinds: kinds, wait: rewatchAfter}
}

// Start hands over the list of an earlier life, which may be out of date, and watches from there.
func (d *Director) Start(known List) {
	d.apply(known, brain.ListCached)
	d.watch()
}

// Watch and Fetch implement routing.Director: the watch runs by itself, for ever.
func (d *Director) Watch(bool) {}

// Fetch asks for nothing more: the watch brings the whole list where it must.
func (d *Director) Fetch() {}

func (d *Director) watch() {
	d.Watches++
	d.head, d.line = false, nil
	d.conn = d.loop.Connect(d.addr, d)
	d.conn.Urgent()
	d.heard()
}

// heard puts off the moment at which the watch counts as dead.
func (d *Director) heard() {
	d.silence.Stop()
	d.silence = d.loop.At(d.loop.Now()+watchSilence, func() {
		d.conn.Close()
		d.again(errors.New("silent"))
	})
}

func (d *Director) again(err error) {
	d.silence.Stop()
	d.log.Warn("director: watch ended, asking again", zap.Int64("rev", d.rev), zap.Error(err))
	d.loop.At(d.loop.Now()+d.wait, d.watch)
	d.wait = min(2*d.wait, rewatchMost)
}

// Opened implements transport.Handler.
func (d *Director) Opened(c *transport.Conn) {
	c.Write(fmt.Appendf(nil, "GET /catalog/members?stream=1&index=%d HTTP/1.1\r\nHost: %s\r\n\r\n", d.rev, d.addr))
}

// Closed implements transport.Handler.
func (d *Director) Closed(c *transport.Conn, err error) { d.again(err) }

// Data implements transport.Handler.
func (d *Director) Data(c *transport.Conn) {
	d.heard()
	if err := d.read(c); err != nil {
		c.Close()
		d.again(err)
	}
}

func (d *Director) read(c *transport.Conn) error {
	if !d.head {
		line, header, n, err := parseHead(c.Bytes())
		if errors.Is(err, ErrMore) {
			return nil
		}
		if err != nil {
			return err
		}
		if !bytes.HasPrefix([]byte(line), []byte("HTTP/1.1 200")) || header.Get("Transfer-Encoding") == "" {
			return fmt.Errorf("platform: watch answered %q", line)
		}
		c.Consume(n)
		d.head = true
	}
	for {
		chunk, n, last, err := NextChunk(c.Bytes())
		if errors.Is(err, ErrMore) {
			return nil
		}
		if err != nil {
			return err
		}
		if last {
			return errors.New("platform: watch ended by discovery")
		}
		d.line = append(d.line, chunk...)
		c.Consume(n)
		for {
			line, rest, whole := bytes.Cut(d.line, []byte("\n"))
			if !whole {
				break
			}
			d.line = rest
			if line = bytes.TrimSpace(line); len(line) > 0 {
				d.take(line)
			}
		}
		if len(d.line) > MaxList {
			return errors.New("platform: watch line too long")
		}
	}
}

// take applies one line; one that makes no sense is counted and the old list kept.
func (d *Director) take(line []byte) {
	list, err := ParseList(line)
	if err != nil {
		d.Rejected++
		d.log.Warn("director: bad line, old list kept", zap.Error(err), zap.Int("bytes", len(line)))
		return
	}
	d.wait = rewatchAfter
	kind := brain.ListDelta
	if list.All {
		kind = brain.ListFull
	}
	d.apply(list, kind)
}

func (d *Director) apply(list List, kind brain.ListKind) {
	d.rev = list.Rev
	members, listed := make([]routing.Member, 0, len(list.Targets)), map[brain.WorkerID]bool{}
	for _, t := range list.Targets {
		w := brain.Worker{ID: d.core.Number(t.UID), Zone: place(d.zones, t.Zone), Kind: place(d.kinds, t.Kind),
			Cell: t.Cell, State: states[t.State], Weight: t.Weight, Since: t.BootMs / 1000}
		addr, _ := netip.ParseAddrPort(t.Endpoint)
		members = append(members, routing.Member{Worker: w, Backend: d.pool.backend(w.ID, t.UID, addr), Name: t.UID})
		listed[w.ID] = w.State != brain.Gone
	}
	d.log.Info("director: list", zap.Int64("rev", list.Rev), zap.Bool("all", list.All), zap.Int("entries", len(members)))
	d.core.List(kind, members)
	d.pool.keep(listed, kind != brain.ListDelta)
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
