package jobreplica

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/shared/membership"
)

// Format is the number of the datagrams' form; 1 carried another agreement's messages.
const Format = 2

const (
	// MostBytes is the size of a datagram at most.
	MostBytes = 1400
	headBytes = 9    // checksum and format
	pageBytes = 1200 // of a message in one datagram; the rest is names
	mostPages = 1 << 15
	mostParts = 16   // messages that one sender may have half here
	mostAsked = 100  // pages asked for in one datagram
	mostAgain = 256  // datagrams sent again in one turn
	askAfter  = 0.1  // seconds without a page after which the missing ones are asked for
	keepFor   = 30.0 // seconds that a half message, or one that may be asked for, is kept
)

// Why a datagram is dropped.
var (
	ErrOversized = errors.New("copies: oversized")
	ErrBroken    = errors.New("copies: broken")
	ErrFormat    = errors.New("copies: of another format")
	ErrForeign   = errors.New("copies: of another fleet")
)

// decoding takes nothing but what seal makes.
var decoding = membership.StrictDecMode(6, 32)

// page is a datagram's body.
type page struct {
	Fleet string `cbor:"1,keyasint"`
	From  uint64 `cbor:"2,keyasint"`
	To    uint64 `cbor:"3,keyasint"`
	N     uint64 `cbor:"4,keyasint"` // of the message, counted by its sender
	Page  uint32 `cbor:"5,keyasint,omitempty"`
	Pages uint32 `cbor:"6,keyasint"`
	Data  []byte `cbor:"7,keyasint"`

	Ask []uint32 `cbor:"8,keyasint,omitempty"` // instead of a page: those of message N that its sender should send again
}

// Pager cuts messages into datagrams and puts them together again, within bounds.
type Pager struct {
	fleet string
	me    uint64
	most  int // bytes that half messages may hold
	n     uint64
	now   float64
	held  int
	parts map[uint64][]*part // by sender, the oldest first
	kept  []kept             // messages of several pages that were sent lately, the oldest first
	bytes int                // of those
	again []Outgoing         // datagrams to be sent again
}

type kept struct {
	to, n     uint64
	at        float64
	bytes     int
	datagrams [][]byte
}

type part struct {
	n     uint64
	since float64
	at    float64 // of its last page, or of the last asking
	pages [][]byte
	left  int
	bytes int
}

// NewPager is one for a life of a member. Half messages hold so many bytes at most.
func NewPager(fleet string, me uint64, most int) *Pager {
	return &Pager{fleet: fleet, me: me, most: most, parts: map[uint64][]*part{}}
}

// Seal cuts a message into datagrams.
func (p *Pager) Seal(o Outgoing) (datagrams [][]byte) {
	p.n++
	pages := max((len(o.Data)+pageBytes-1)/pageBytes, 1)
	for i := range pages {
		datagrams = append(datagrams, seal(&page{Fleet: p.fleet, From: p.me, To: o.To, N: p.n, Page: uint32(i), Pages: uint32(pages),
			Data: o.Data[i*pageBytes : min((i+1)*pageBytes, len(o.Data))]}))
	}
	if pages > 1 {
		p.kept = append(p.kept, kept{o.To, p.n, p.now, len(o.Data), datagrams})
		p.bytes += len(o.Data)
		for len(p.kept) > 1 && (p.bytes > p.most || p.now-p.kept[0].at > keepFor) {
			p.bytes -= p.kept[0].bytes
			p.kept = p.kept[1:]
		}
	}
	return datagrams
}

func seal(g *page) []byte {
	body := membership.MarshalDeterministic(g)
	datagram := append(make([]byte, headBytes-1, headBytes+len(body)), Format)
	datagram = append(datagram, body...)
	binary.LittleEndian.PutUint64(datagram, xxhash.Sum64(datagram[headBytes-1:]))
	return datagram
}

// Turn gives the datagrams that are due besides: pages that others have asked for, and what is asked for here. One that nobody
// completes is forgotten after a while.
func (p *Pager) Turn(now float64) (out []Outgoing) {
	p.now = max(p.now, now)
	out, p.again = p.again, nil
	for _, from := range slices.Sorted(maps.Keys(p.parts)) {
		for _, x := range slices.Clone(p.parts[from]) {
			switch {
			case p.now-x.since > keepFor:
				p.remove(from, x)
			case p.now-x.at >= askAfter:
				x.at = p.now
				var ask []uint32
				for i, data := range x.pages {
					if data == nil && len(ask) < mostAsked {
						ask = append(ask, uint32(i))
					}
				}
				out = append(out, Outgoing{from, seal(&page{Fleet: p.fleet, From: p.me, To: from, N: x.n, Ask: ask})})
			}
		}
	}
	return out
}

// answer sends pages again, to whom the message was meant for.
func (p *Pager) answer(g *page) {
	for _, k := range p.kept {
		if k.n != g.N || k.to != g.From {
			continue
		}
		for _, i := range g.Ask {
			if int(i) < len(k.datagrams) && len(p.again) < mostAgain {
				p.again = append(p.again, Outgoing{k.to, k.datagrams[i]})
			}
		}
	}
}

// Open takes a datagram; message is nil until its last page is there.
func (p *Pager) Open(datagram []byte) (message []byte, err error) {
	switch {
	case len(datagram) > MostBytes:
		return nil, ErrOversized
	case len(datagram) < headBytes:
		return nil, ErrBroken
	case binary.LittleEndian.Uint64(datagram) != xxhash.Sum64(datagram[headBytes-1:]):
		return nil, ErrBroken
	case datagram[headBytes-1] != Format:
		return nil, ErrFormat
	}
	var g page
	if err := decoding.Unmarshal(datagram[headBytes:], &g); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrBroken, err)
	}
	switch {
	case g.Fleet != p.fleet || g.To != p.me || g.From == p.me:
		return nil, ErrForeign
	case len(g.Ask) > 0:
		p.answer(&g)
		return nil, nil
	case g.Pages == 0 || g.Pages > mostPages || g.Page >= g.Pages || g.Page+1 < g.Pages && len(g.Data) != pageBytes:
		return nil, ErrBroken
	case g.Pages == 1:
		return g.Data, nil
	}
	return p.join(&g), nil
}

// join puts a page where it belongs. The oldest half message goes where there are too many, or too much.
func (p *Pager) join(g *page) []byte {
	var at *part
	for _, x := range p.parts[g.From] {
		if x.n == g.N {
			at = x
		}
	}
	if at == nil {
		at = &part{n: g.N, since: p.now, pages: make([][]byte, g.Pages), left: int(g.Pages)}
		p.parts[g.From] = append(p.parts[g.From], at)
	}
	if len(at.pages) != int(g.Pages) || at.pages[g.Page] != nil {
		return nil // repeated, or not of this message
	}
	at.pages[g.Page] = g.Data
	at.left--
	at.at = p.now
	at.bytes += len(g.Data)
	p.held += len(g.Data)
	if at.left > 0 {
		for len(p.parts[g.From]) > mostParts || p.held > p.most && p.drop(g.From) {
			if len(p.parts[g.From]) > mostParts {
				p.drop(g.From)
			}
		}
		return nil
	}
	var message []byte
	for _, data := range at.pages {
		message = append(message, data...)
	}
	p.remove(g.From, at)
	return message
}

// Held are the bytes of half messages.
func (p *Pager) Held() int { return p.held }

// drop forgets the oldest half message of a sender, or of any.
func (p *Pager) drop(from uint64) bool {
	if len(p.parts[from]) == 0 {
		return false
	}
	p.remove(from, p.parts[from][0])
	return true
}

func (p *Pager) remove(from uint64, x *part) {
	p.held -= x.bytes
	kept := p.parts[from][:0]
	for _, other := range p.parts[from] {
		if other != x {
			kept = append(kept, other)
		}
	}
	if p.parts[from] = kept; len(kept) == 0 {
		delete(p.parts, from)
	}
}
