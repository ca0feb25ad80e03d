// Package rpc carries calls between the system's own processes: net/rpc with gob over TCP, with what net/rpc leaves to
// its users. A client dials when it is needed, ends every call by its deadline and drops a connection that a call ran
// into; a server bounds connections, calls and the size of requests. A call is declared in one value beside its handler:
//
//	var FollowCall = rpc.Declare[feed.FollowRequest, feed.FollowReply]("Feed.Follow")
//	FollowCall.Handle(registry, follower.follow)
//	reply, err := FollowCall.Invoke(ctx, client, &request)
package rpc

import (
	"context"
	"errors"
	"time"
)

// Call declares a remote call by its name and by the types of its argument and its reply, which are exported ones.
type Call[Argument, Reply any] struct{ name string }

// Handler answers a call. Its error reaches the caller as a *RemoteError with the same text; outcomes that a caller
// tells apart belong into the reply. The context ends with the server.
type Handler[Argument, Reply any] func(ctx context.Context, argument *Argument) (*Reply, error)

// Declare declares a call under a name of the form Service.Method.
func Declare[Argument, Reply any](name string) Call[Argument, Reply] {
	return Call[Argument, Reply]{name: name}
}

// Name is what the call is known by on the wire.
func (c Call[Argument, Reply]) Name() string { return c.name }

// Handle has the registry answer the call. It panics where the name is taken or a type is not exported.
func (c Call[Argument, Reply]) Handle(registry *Registry, handler Handler[Argument, Reply]) {
	registry.register(c.name, &service[Argument, Reply]{registry: registry, handler: handler})
}

// Invoke calls and returns by the end of the context, or after the client's Options.Call where the context has no end.
// A call that runs out of time on a connection that is silent takes the connection with it.
func (c Call[Argument, Reply]) Invoke(ctx context.Context, client *Client, argument *Argument) (*Reply, error) {
	return c.invoke(ctx, client, client.options.CallTimeout, argument)
}

// LongPoll makes a call that its handler may hold open for wait; it ends after that and the client's Options.Call.
func (c Call[Argument, Reply]) LongPoll(ctx context.Context, client *Client, wait time.Duration,
	argument *Argument) (*Reply, error) {
	return c.invoke(ctx, client, wait+client.options.CallTimeout, argument)
}

// Send makes a call without waiting for its reply, which is dropped. It waits while Options.Window earlier ones are
// unanswered, for Options.Call at most. An error says that the argument may not have arrived; nothing is sent again.
func (c Call[Argument, Reply]) Send(ctx context.Context, client *Client, argument *Argument) error {
	return client.send(ctx, c.name, argument, new(Reply))
}

func (c Call[Argument, Reply]) invoke(ctx context.Context, client *Client, timeout time.Duration,
	argument *Argument) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply := new(Reply)
	if err := client.call(ctx, c.name, argument, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// service is what net/rpc's server finds a handler's method on.
type service[Argument, Reply any] struct {
	registry *Registry
	handler  Handler[Argument, Reply]
}

// What a caller is told where a handler gives neither an answer nor the text of an error: net/rpc takes an empty text for
// success.
var (
	errNoErrorText = errors.New("the handler failed and does not say why")
	errNoReply     = errors.New("the handler gave no answer")
)

// serviceMethod is the name of the one method of each service; it is not sent.
const serviceMethod = ".Call"

// Call runs the handler.
func (s *service[Argument, Reply]) Call(argument *Argument, reply *Reply) error {
	result, err := s.handler(s.registry.handlerContext, argument)
	switch {
	case err != nil && err.Error() == "":
		return errNoErrorText
	case err != nil:
		return err
	case result == nil:
		return errNoReply
	}
	*reply = *result
	return nil
}
