package versions

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order excludes a member or readmits it. Any member can forward it. Of two orders for one member the one with the
// higher number is newer.
type Order struct {
	Member string  `cbor:"1,keyasint" json:"member"`
	Out    bool    `cbor:"2,keyasint,omitempty" json:"out"`
	Number uint64  `cbor:"3,keyasint" json:"n"`
	By     string  `cbor:"4,keyasint" json:"by"` // the member at which it was issued
	At     float64 `cbor:"5,keyasint" json:"at"` // Unix time of the issue
}

const (
	maxOrders           = 256
	maxMemberLength     = 64
	maxOrderNumber      = 1 << 53
	ordersReplyInterval = 1.0 // seconds between replies to members that have other orders
)

// ErrTooManyOrders says that too many members have orders.
var ErrTooManyOrders = errors.New("versions: too many members have orders")

// compare orders the orders for one member. Of two issued at once, the exclusion is newer.
func (o *Order) compare(other *Order) int {
	return cmp.Or(cmp.Compare(o.Number, other.Number), compareBool(o.Out, other.Out), cmp.Compare(o.By, other.By))
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}

func (o *Order) validate() error {
	areNamesValid := o.Member != "" && len(o.Member) <= maxMemberLength && len(o.By) <= maxMemberLength
	isNumberValid := o.Number > 0 && o.Number <= maxOrderNumber
	isTimeValid := o.At >= 0 && o.At < maxClock
	if !areNamesValid || !isNumberValid || !isTimeValid {
		return errors.New("versions: an order that makes no sense")
	}
	return nil
}

func (o *Order) maxEncodedSize() int { return 32 + len(o.Member) + len(o.By) }

// order is an Order and how often it was transmitted.
type order struct {
	Order
	transmits int
}

// orders are all orders known.
type orders struct {
	byMember    map[string]*order
	digest      uint64  // of all orders; equal at members that have the same ones
	lastReplyAt float64 // time of the last reply to a member that has other orders
	cursor      int     // position at which the next page starts
}

// addOrder issues an order at this member, unless it is in force already.
func (t *Table) addOrder(now float64, member string, exclude bool) error {
	o := Order{Member: member, Out: exclude, Number: 1, By: t.self, At: now}
	if before := t.orders.byMember[member]; before != nil {
		if before.Out == exclude {
			return nil
		}
		o.Number = before.Number + 1
	}
	if err := o.validate(); err != nil {
		return err
	}
	if !t.applyOrder(o) {
		return ErrTooManyOrders
	}
	return nil
}

// Orders returns the orders known, by the member that they name.
func (t *Table) Orders() map[string]Order {
	all := make(map[string]Order, len(t.orders.byMember))
	for name, o := range t.orders.byMember {
		all[name] = o.Order
	}
	return all
}

// Excluded reports whether an order excludes a member.
func (t *Table) Excluded(member string) bool {
	o := t.orders.byMember[member]
	return o != nil && o.Out
}

// applyOrder stores an order that is newer than the one known. It returns false if there is no room.
func (t *Table) applyOrder(o Order) bool {
	before := t.orders.byMember[o.Member]
	switch {
	case before != nil && o.compare(&before.Order) <= 0:
		return true
	case before == nil && len(t.orders.byMember) >= maxOrders:
		return false
	}
	t.orders.byMember[o.Member] = &order{Order: o}
	t.orders.digest = t.orders.computeDigest()
	t.Log(fmt.Sprintf("received order %d issued by %s: %s", o.Number, o.By, o.String()))
	t.OnOrder(o)
	return true
}

// computeDigest returns the digest of all orders. Members compare it with that of others (payload.OrdersDigest), so the text
// that is hashed must stay the same in all releases.
func (o *orders) computeDigest() (digest uint64) {
	for _, name := range slices.Sorted(maps.Keys(o.byMember)) {
		p := o.byMember[name]
		digest = xxhash.Sum64String(fmt.Sprint(digest, p.Member, p.Out, p.Number, p.By))
	}
	return digest
}

// String describes the order.
func (o *Order) String() string {
	if o.Out {
		return o.Member + " is shut out"
	}
	return o.Member + " is brought back"
}

// pendingOrders returns the orders that are still to be transmitted, as many as fit, and counts the transmission.
func (t *Table) pendingOrders(room int) (pending []Order) {
	for _, name := range slices.Sorted(maps.Keys(t.orders.byMember)) {
		o := t.orders.byMember[name]
		if o.transmits >= maxTransmits {
			continue
		}
		room -= o.maxEncodedSize()
		if room < 0 {
			break
		}
		o.transmits++
		pending = append(pending, o.Order)
	}
	return pending
}

// hasPendingOrders reports whether an order is still to be transmitted.
func (t *Table) hasPendingOrders() bool {
	for _, o := range t.orders.byMember {
		if o.transmits < maxTransmits {
			return true
		}
	}
	return false
}

// ordersPage returns a page of the orders for a member that has other ones. The next page starts where it ends.
func (t *Table) ordersPage(now float64) (page []Order) {
	if now < t.orders.lastReplyAt+ordersReplyInterval || len(t.orders.byMember) == 0 {
		return nil
	}
	t.orders.lastReplyAt = now
	names := slices.Sorted(maps.Keys(t.orders.byMember))
	room := t.replyRoom()
	for range names {
		o := t.orders.byMember[names[t.orders.cursor%len(names)]]
		room -= o.maxEncodedSize()
		if room < 0 {
			break
		}
		t.orders.cursor++
		page = append(page, o.Order)
	}
	return page
}
