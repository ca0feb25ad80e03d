package server

import (
	"bytes"
	"encoding/json"
	"errors"

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
		} else if !u.queryCallback(body, link, answer) {
			answer(false)
		}
	case handover.Order:
		u.handleOrder(link, body, answer)
	}
}

// handleOrder carries out an order that the process at link was given.
func (u *upgrade) handleOrder(link *handover.Link, body []byte, answer func(yes bool)) {
	finish := func(order operatorOrder, err error) {
		if err != nil {
			u.server.log.Error("upgrade: failed to apply order of the other process", zap.Error(err))
			answer(false)
			return
		}
		u.forwardOrder(order, link, func(err error) { answer(err == nil) })
	}
	var order operatorOrder
	if err := json.Unmarshal(body, &order); err != nil {
		finish(order, err)
		return
	}
	u.server.applyOrder(order, func(err error) { finish(order, err) })
}

// otherProcesses returns the links to the other processes of this dispatcher that can answer a query, except the one that
// asks.
func (u *upgrade) otherProcesses(kind handover.Kind, except *handover.Link) (links []*handover.Link) {
	for _, link := range []*handover.Link{u.predecessor, u.successor} {
		if link != nil && link != except && u.takesQueries(link, kind) {
			links = append(links, link)
		}
	}
	return links
}

// queryCallback asks the other processes, except the one that asks, whether they know the call of a callback. done is called
// once: with true as soon as one answers yes, with false once all have answered no or are lost. False: there is nobody to
// ask, and done is not called.
func (u *upgrade) queryCallback(body []byte, except *handover.Link, done func(yes bool)) bool {
	pending := 0 // processes that owe an answer
	answered := false
	for _, link := range u.otherProcesses(handover.CallbackQuery, except) {
		sent := link.Query(handover.CallbackQuery, body, func(result handover.QueryResult) {
			pending--
			yes := result == handover.AnsweredYes
			if !answered && (yes || pending == 0) {
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

// Errors of forwardOrder, as the operator gets them.
var (
	errOrderFailed      = errors.New("the other process of this dispatcher could not carry it out: see its log, then send it again")
	errOrderUnconfirmed = errors.New("the other process of this dispatcher has not confirmed it in time: send it again")
)

// forwardOrder has the other processes, except the one that sent it, carry out an order. done is called once: with nil when
// all have confirmed it or have ended, with errOrderFailed when one could not, or with errOrderUnconfirmed when orderTimeout
// is over. A process that has got the order from another confirms it only after those that it forwards it to.
func (u *upgrade) forwardOrder(order operatorOrder, except *handover.Link, done func(error)) {
	body, err := json.Marshal(order)
	if err != nil {
		u.server.log.Error("upgrade: failed to encode order", zap.Error(err))
		done(errOrderFailed)
		return
	}
	confirmation := &orderConfirmation{done: done}
	for _, link := range u.otherProcesses(handover.Order, except) {
		confirmation.pending++
		if !link.Query(handover.Order, body, confirmation.handleResult) {
			confirmation.handleResult(refusedQueryResult(link))
		}
	}
	if confirmation.pending == 0 {
		confirmation.finish(nil)
		return
	}
	u.server.loop.At(u.server.loop.Now()+orderTimeout, func() { confirmation.finish(errOrderUnconfirmed) })
}

// refusedQueryResult is the result of a query that the link did not take.
func refusedQueryResult(link *handover.Link) handover.QueryResult {
	if link.Ended() {
		return handover.LinkEnded
	}
	return handover.AnsweredNo // too many queries are waiting
}

// orderConfirmation collects what the other processes answer to an order.
type orderConfirmation struct {
	pending  int // processes that owe an answer
	finished bool
	done     func(error)
}

// handleResult counts one process's result. A process that has ended needs no order any more.
func (c *orderConfirmation) handleResult(result handover.QueryResult) {
	c.pending--
	switch {
	case result == handover.AnsweredNo:
		c.finish(errOrderFailed)
	case c.pending == 0:
		c.finish(nil)
	}
}

// finish reports the outcome; the first one counts.
func (c *orderConfirmation) finish(err error) {
	if !c.finished {
		c.finished = true
		c.done(err)
	}
}
