package server

import (
	"bytes"
	"encoding/json"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/handover"
)

// HandleQuery implements handover.Handler.
func (u *upgrade) HandleQuery(link *handover.Link, kind handover.Kind, body []byte, answer func(yes bool)) {
	body = bytes.Clone(body)
	switch kind {
	case handover.CallbackQuery:
		if u.server.front.HandleForwardedCallback(body) {
			answer(true)
		} else if !u.queryOthers(handover.CallbackQuery, body, link, answer) {
			answer(false)
		}
	case handover.Order:
		var order operatorOrder
		err := json.Unmarshal(body, &order)
		if err == nil {
			err = u.server.applyOrder(order)
		}
		if err != nil {
			u.server.log.Error("upgrade: failed to apply order of the other process", zap.Error(err))
			answer(false)
			return
		}
		u.forwardOrder(order, link, func() { answer(true) })
	}
}

// queryOthers queries the other processes of this dispatcher, except the one that asks. done is called once: for a callback
// with true as soon as one process answers yes, otherwise with the last answer once all have answered or are lost. False: there is
// nobody to ask, and done is not called.
func (u *upgrade) queryOthers(kind handover.Kind, body []byte, except *handover.Link, done func(yes bool)) bool {
	pending := 0 // processes that owe an answer
	answered := false
	for _, link := range []*handover.Link{u.predecessor, u.successor} {
		if link == nil || link == except || !u.takesQueries(link, kind) {
			continue
		}
		sent := link.Query(kind, body, func(yes bool) {
			pending--
			decided := pending == 0 || yes && kind == handover.CallbackQuery
			if decided && !answered {
				answered = true
				done(yes)
			}
		})
		if sent {
			pending++
		}
	}
	return pending > 0
}

// takesQueries reports whether the process at link can answer a query of this kind: a predecessor once it has sent its state,
// a successor any order, and callbacks once it has the clients.
func (u *upgrade) takesQueries(link *handover.Link, kind handover.Kind) bool {
	if link == u.predecessor {
		return u.stateReceived
	}
	return kind != handover.CallbackQuery || u.clientsHandedOver
}

// forwardOrder has the other processes, except the one that sent it, carry out an order. done is called once: when all have
// answered or are lost, or when orderTimeout is over. It does not say whether they could: each logs its own failure.
func (u *upgrade) forwardOrder(order operatorOrder, except *handover.Link, done func()) {
	body, err := json.Marshal(order)
	if err != nil {
		u.server.log.Error("upgrade: failed to encode order", zap.Error(err))
		done()
		return
	}
	finished := false
	finish := func() {
		if !finished {
			finished = true
			done()
		}
	}
	if !u.queryOthers(handover.Order, body, except, func(bool) { finish() }) {
		finish()
		return
	}
	u.server.loop.At(u.server.loop.Now()+orderTimeout, finish)
}
