package counterservice

import (
	"context"
	"time"

	"cinderroad/internal/system/counter"
	"cinderroad/internal/system/rpc"
)

// ExchangeMethod is the RPC method by which replicas of counters exchange entries. Its name is part of the wire format.
var ExchangeMethod = rpc.Declare[counter.ExchangeRequest, counter.ExchangeReply]("Counters.Exchange")

const (
	// exchangeTimeout bounds an exchange. The node sends no other to the same peer meanwhile.
	exchangeTimeout = time.Second
	// handlerMargin is how much earlier than its caller a handler gives up, so that the error still arrives in time.
	handlerMargin = 50 * time.Millisecond
)

// clientOptions configure connections to peers: an unreachable one is given up and dialled again soon.
var clientOptions = rpc.ClientOptions{
	DialTimeout:    700 * time.Millisecond,
	CallTimeout:    exchangeTimeout,
	TCPUserTimeout: 1500 * time.Millisecond,
	DialBackoff:    50 * time.Millisecond,
	MaxReplyBytes:  4 << 20,
}

// Register registers the handler of exchanges.
func (s *Service) Register(registry *rpc.Registry) {
	ExchangeMethod.Handle(registry, s.handleExchange)
}

// sendExchange sends a request and passes its reply or its failure to the node. The mutex is held.
func (s *Service) sendExchange(exchange counter.Exchange) {
	if s.context.Err() != nil {
		return // the service ends
	}
	client := s.clients[exchange.Peer]
	if client == nil {
		client = rpc.NewClient(exchange.Peer, clientOptions)
		s.clients[exchange.Peer] = client
	}
	s.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(s.context, exchangeTimeout)
		defer cancel()
		reply, err := ExchangeMethod.Invoke(ctx, client, exchange.Request)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if err == nil {
			s.node.HandleReply(exchange.Peer, reply, s.now())
		} else {
			s.node.HandleFailure(exchange.Peer, s.now())
		}
		if s.context.Err() == nil {
			s.processReady()
		}
	})
}

// handleExchange serves the request of a peer. It replies once the entries of the request are durable.
func (s *Service) handleExchange(ctx context.Context, request *counter.ExchangeRequest) (*counter.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout-handlerMargin)
	defer cancel()
	s.mutex.Lock()
	if s.node == nil {
		s.mutex.Unlock()
		return nil, errNotReady
	}
	id := s.node.HandleRequest(request, s.now())
	replies := make(chan counter.Reply, 1)
	s.requests[id] = replies
	s.processReady()
	s.mutex.Unlock()
	select {
	case reply := <-replies:
		return reply.Reply, reply.Err
	case <-ctx.Done():
		s.forgetRequest(id)
		return nil, ctx.Err()
	case <-s.context.Done():
		s.forgetRequest(id)
		return nil, s.context.Err()
	}
}

// forgetRequest forgets a request whose reply is not waited for any longer.
func (s *Service) forgetRequest(id counter.RequestID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.requests, id)
}
