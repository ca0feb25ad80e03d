package rpc

import (
	"context"
	"errors"
	"time"
)

// Call declares a remote call by its name and by the types of its argument and its reply, which must be exported. One
// value is declared beside the handler and used by both sides.
type Call[Argument, Reply any] struct{ name string }

// Handler answers a call. Its error reaches the caller as a *RemoteError with the same text; outcomes that a caller has
// to tell apart belong into the reply. The context ends with the server. The argument belongs to the handler, the reply
// must not be changed afterwards.
type Handler[Argument, Reply any] func(ctx context.Context, argument *Argument) (*Reply, error)

// Declare declares a call. The name has the form Service.Method and travels on the wire: it must not change.
func Declare[Argument, Reply any](name string) Call[Argument, Reply] {
	return Call[Argument, Reply]{name: name}
}

// Name returns the name of the call on the wire.
func (c Call[Argument, Reply]) Name() string { return c.name }

// Handle registers the handler of the call. It panics if the name is registered already or a type is not exported.
func (c Call[Argument, Reply]) Handle(registry *Registry, handler Handler[Argument, Reply]) {
	registry.register(c.name, &service[Argument, Reply]{registry: registry, handler: handler})
}

// Invoke calls and waits for the reply until the context ends, or for ClientOptions.CallTimeout if that is shorter. A
// call that times out on a connection on which no reply to any call came meanwhile closes the connection. The error is an
// *UnreachableError, a *NoReplyError or a *RemoteError; nothing is sent twice.
func (c Call[Argument, Reply]) Invoke(ctx context.Context, client *Client, argument *Argument) (*Reply, error) {
	return c.invoke(ctx, client, client.options.CallTimeout, argument)
}

// LongPoll is like Invoke for a call that its handler may hold open for wait: it ends after that and
// ClientOptions.CallTimeout.
func (c Call[Argument, Reply]) LongPoll(ctx context.Context, client *Client, wait time.Duration,
	argument *Argument) (*Reply, error) {
	return c.invoke(ctx, client, wait+client.options.CallTimeout, argument)
}

// Send calls without waiting for the reply, which is dropped. It blocks while ClientOptions.MaxPendingSends earlier
// ones are unanswered, for ClientOptions.CallTimeout at most. An error means that the argument may not have arrived;
// nothing is sent again.
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

// service is the receiver whose method net/rpc calls by reflection.
type service[Argument, Reply any] struct {
	registry *Registry
	handler  Handler[Argument, Reply]
}

// Errors that callers receive if a handler returns neither a reply nor an error with a text: net/rpc takes an empty text
// for success.
var (
	errNoErrorText = errors.New("the handler failed without an error text")
	errNoReply     = errors.New("the handler returned no reply")
)

// serviceMethod is the name of the only method of each service. It is appended to the names of received calls and never
// sent.
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
