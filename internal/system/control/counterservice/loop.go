package counterservice

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/counter"
	"cinderroad/internal/system/retry"
)

const (
	// startInterval is the time between two looks for peers before the node has started.
	startInterval = 50 * time.Millisecond
	// minTickInterval is the least time between two ticks that nothing else wakes.
	minTickInterval = 5 * time.Millisecond
)

// run ticks the node when it is due, and keeps its peers up to date, until the service stops.
func (s *Service) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer s.closeClients()
	for {
		select {
		case <-timer.C:
		case <-s.wake:
		case <-s.context.Done():
			return
		}
		s.updatePeers()
		timer.Reset(s.tick())
	}
}

// tick passes the time to the node, and returns after how long to call it again.
func (s *Service) tick() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.node == nil {
		return startInterval
	}
	s.node.Tick(s.now())
	s.nextWakeUp = 0 // processReady need not wake this goroutine
	s.processReady()
	s.nextWakeUp = max(s.nextTick, s.now()+minTickInterval)
	return max(s.nextWakeUp-s.now(), 0)
}

// processReady does what the node has ready. Whoever has called the node must call it before releasing the mutex.
func (s *Service) processReady() {
	ready := s.node.Ready(s.now())
	s.enqueueWrite(&ready)
	for _, exchange := range ready.Exchanges {
		s.sendExchange(exchange)
	}
	for _, reply := range ready.Replies {
		if waiting := s.requests[reply.ID]; waiting != nil {
			waiting <- reply
			delete(s.requests, reply.ID)
		}
	}
	for _, id := range ready.Acknowledged {
		if waiting := s.additions[id]; waiting != nil {
			close(waiting)
			delete(s.additions, id)
		}
	}
	s.nextTick = ready.NextTick
	s.wakeBefore(ready.NextTick)
}

// wakeBefore has run tick at a time, unless it does so earlier.
func (s *Service) wakeBefore(due time.Duration) {
	if due >= s.nextWakeUp {
		return
	}
	s.nextWakeUp = due
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// flush waits until all peers that are not excused hold this machine's log, but no longer than flushTimeout.
func (s *Service) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.flushTimeout)
	defer cancel()
	for s.hasUnpushed() && retry.Sleep(ctx, flushInterval) {
	}
}

// hasUnpushed reports whether a peer that is not excused lacks entries of this machine's log.
func (s *Service) hasUnpushed() bool {
	status, running := s.status()
	if !running {
		return false
	}
	for i := range status.Peers {
		peer := &status.Peers[i]
		if !peer.Excused && peer.Lag[status.Origin] > 0 {
			return true
		}
	}
	return status.Unpersisted > 0
}

// status returns the node's status; false before it has started.
func (s *Service) status() (counter.Status, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.node == nil {
		return counter.Status{}, false
	}
	return s.node.Status(), true
}

// logNewOrigin reports that the disk went back in time.
func (s *Service) logNewOrigin(origin counter.Origin) {
	s.log.Error("operation log of counters went back in time, continuing under a new origin",
		originField(origin))
}

// originField is an origin as operators see it.
func originField(origin counter.Origin) zap.Field {
	return zap.String("origin", origin.Hex())
}
