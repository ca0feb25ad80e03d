package counterservice

import (
	"context"
	"errors"
	"time"

	"cinderroad/internal/system/counter"
)

// addTimeout bounds an addition. It is less than the second after which callers give up.
const addTimeout = 900 * time.Millisecond

// errOutcomeUnknown reports that an operation was handed to the disk and is not sufficiently replicated yet: it may be counted,
// now or later.
var errOutcomeUnknown = errors.New("counterservice: the operation may be counted; send it again under its id")

// add adds to a counter and returns once that is replicated. After errOutcomeUnknown the operation may be counted; after any
// other error, those of counter.Node.Add and errNotReady, nothing was done.
func (s *Service) add(ctx context.Context, operation counter.Operation) error {
	ctx, cancel := context.WithTimeout(ctx, addTimeout)
	defer cancel()
	id, acknowledged, err := s.beginAddition(operation)
	if err != nil {
		return err
	}
	select {
	case <-acknowledged:
		return nil
	case <-ctx.Done():
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.additions[id] == nil {
		return nil // acknowledged meanwhile
	}
	delete(s.additions, id)
	s.node.Forget(id)
	return errOutcomeUnknown
}

// beginAddition hands an operation to the node. The channel is closed once it is replicated.
func (s *Service) beginAddition(operation counter.Operation) (counter.AddID, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.node == nil:
		return 0, nil, errNotReady
	case s.stopping, s.disk.fault != nil:
		return 0, nil, counter.ErrNotReady
	}
	id, err := s.node.Add(operation, s.now())
	if err != nil {
		return 0, nil, err
	}
	acknowledged := make(chan struct{})
	s.additions[id] = acknowledged
	s.processReady()
	return id, acknowledged, nil
}

// total returns the value of a counter. The error is errNotReady or counter.ErrNotReady.
func (s *Service) total(name string) (counter.Total, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.node == nil {
		return counter.Total{}, errNotReady
	}
	return s.node.Total(name)
}
