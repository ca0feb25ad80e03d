package versions

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order shuts a member out or brings it back. It reaches whom it names by any member. Of two for one member the one with the higher
// number is newer.
type Order struct {
	Member string  `cbor:"1,keyasint" json:"member"`
	Out    bool    `cbor:"2,keyasint,omitempty" json:"out"`
	N      uint64  `cbor:"3,keyasint" json:"n"`
	By     string  `cbor:"4,keyasint" json:"by"` // the member at which it was given
	At     float64 `cbor:"5,keyasint" json:"at"` // Unix time there
}

const (
	mostOrders  = 256
	mostMember  = 64
	mostN       = 1 << 53
	ordersEvery = 1.0 // seconds between two answers to those that hold other orders
)

// ErrOrders says that too many members have orders.
var ErrOrders = errors.New("versions: too many members have orders")

// compare orders what is told of one member; where two were given at once, shutting out is the graver.
func (o *Order) compare(p *Order) int {
	return cmp.Or(cmp.Compare(o.N, p.N), compareBool(o.Out, p.Out), cmp.Compare(o.By, p.By))
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}

func (o *Order) check() error {
	if o.Member == "" || len(o.Member) > mostMember || len(o.By) > mostMember || o.N == 0 || o.N > mostN || !(o.At >= 0 && o.At < 1e11) {
		return errors.New("versions: an order that makes no sense")
	}
	return nil
}

func (o *Order) room() int { return 32 + len(o.Member) + len(o.By) }

// order is an Order and how often it was told.
type order struct {
	Order
	told int
}

// orders are those known, by member.
type orders struct {
	by     map[string]*order
	digest uint64
	askAt  float64 // when one that holds others was last told
	cursor int
}

// give gives an order at this member.
func (b *Board) give(now float64, member string, out bool) error {
	o := Order{Member: member, Out: out, N: 1, By: b.me, At: now}
	if was := b.orders.by[member]; was != nil {
		if was.Out == out {
			return nil
		}
		o.N = was.N + 1
	}
	if err := o.check(); err != nil {
		return err
	}
	if !b.obey(o) {
		return ErrOrders
	}
	return nil
}

// Orders are the orders known, by the member that they name.
func (b *Board) Orders() map[string]Order {
	all := make(map[string]Order, len(b.orders.by))
	for name, o := range b.orders.by {
		all[name] = o.Order
	}
	return all
}

// Ordered says whether a member is shut out by hand.
func (b *Board) Ordered(member string) bool {
	o := b.orders.by[member]
	return o != nil && o.Out
}

// obey keeps an order that is newer than what is known; false where there is no room.
func (b *Board) obey(o Order) bool {
	was := b.orders.by[o.Member]
	switch {
	case was != nil && o.compare(&was.Order) <= 0:
		return true
	case was == nil && len(b.orders.by) >= mostOrders:
		return false
	}
	b.orders.by[o.Member] = &order{Order: o}
	b.orders.digest = 0
	for _, name := range slices.Sorted(maps.Keys(b.orders.by)) {
		p := b.orders.by[name]
		b.orders.digest = xxhash.Sum64String(fmt.Sprint(b.orders.digest, p.Member, p.Out, p.N, p.By))
	}
	b.Log(fmt.Sprintf("order %d of %s: %s", o.N, o.By, o.String()))
	b.Ordering(o)
	return true
}

// String is an order in words.
func (o *Order) String() string {
	if o.Out {
		return o.Member + " is shut out"
	}
	return o.Member + " is brought back"
}

// tellOrders are orders that still go out by themselves, as many as have room.
func (b *Board) tellOrders(room int) (told []Order) {
	for _, name := range slices.Sorted(maps.Keys(b.orders.by)) {
		o := b.orders.by[name]
		if o.told >= tellTimes {
			continue
		}
		if room -= o.room(); room < 0 {
			break
		}
		o.told++
		told = append(told, o.Order)
	}
	return told
}

// ordersUntold says whether an order still goes out by itself.
func (b *Board) ordersUntold() bool {
	for _, o := range b.orders.by {
		if o.told < tellTimes {
			return true
		}
	}
	return false
}

// answerOrders is a page of the orders for one that holds others; the next one goes on where it ends.
func (b *Board) answerOrders(now float64) (page []Order) {
	if now < b.orders.askAt+ordersEvery || len(b.orders.by) == 0 {
		return nil
	}
	b.orders.askAt = now
	names := slices.Sorted(maps.Keys(b.orders.by))
	room := b.pageRoom()
	for range names {
		o := b.orders.by[names[b.orders.cursor%len(names)]]
		if room -= o.room(); room < 0 {
			break
		}
		b.orders.cursor++
		page = append(page, o.Order)
	}
	return page
}
