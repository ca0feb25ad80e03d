package counterservice

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/counter"
)

const (
	// peerUpdateInterval is the time between two updates of the peers, and peerChangeInterval that after a change.
	peerUpdateInterval = time.Second
	peerChangeInterval = 200 * time.Millisecond
)

// PeersChanged tells that Options.Peers may return others. It never blocks for long.
func (s *Service) PeersChanged() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nextPeerUpdate = min(s.nextPeerUpdate, s.now()+peerChangeInterval)
}

// updatePeers passes the present peers to the node if that is due.
func (s *Service) updatePeers() {
	s.mutex.Lock()
	due := s.nextPeerUpdate <= s.now()
	s.mutex.Unlock()
	if !due {
		return
	}
	peers, known := s.options.Peers() // before the mutex is taken: others hold a mutex for it
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !known {
		return
	}
	if s.node == nil {
		s.announcePeers()
		return
	}
	s.nextPeerUpdate = s.now() + peerUpdateInterval
	s.node.SetPeers(peers, s.now())
	s.processReady()
	s.retainClients(peers)
	s.logReachability()
}

// announcePeers lets the node start. The mutex is held.
func (s *Service) announcePeers() {
	select {
	case <-s.peersKnown:
	default:
		close(s.peersKnown)
	}
}

// retainClients closes the connections to all other peers, whose exchanges fail. The mutex is held.
func (s *Service) retainClients(peers []counter.Peer) {
	present := make(map[netip.AddrPort]bool, len(peers))
	for _, peer := range peers {
		present[peer.Address] = true
	}
	for address, client := range s.clients {
		if !present[address] {
			delete(s.clients, address)
			go client.Close()
		}
	}
}

// closeClients closes all connections.
func (s *Service) closeClients() {
	s.mutex.Lock()
	clients := s.clients
	s.clients = nil
	s.mutex.Unlock()
	for _, client := range clients {
		client.Close()
	}
}

// logReachability reports the peers without which additions are acknowledged from now on, and those with which they are again.
// The mutex is held.
func (s *Service) logReachability() {
	status := s.node.Status()
	present := make(map[netip.AddrPort]bool, len(status.Peers))
	for i := range status.Peers {
		peer := &status.Peers[i]
		present[peer.Address] = peer.Excused
		if peer.Excused == s.unreachable[peer.Address] {
			continue
		}
		fields := []zap.Field{zap.String("address", peer.Address.String()), zap.String("zone", peer.Zone)}
		if peer.Excused {
			s.log.Warn("replica of counters unreachable, acknowledging without it", fields...)
		} else {
			s.log.Info("replica of counters reachable again", fields...)
		}
	}
	s.unreachable = present
}
