package control

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"sync"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/control/counterservice"
	"cinderroad/internal/system/counter"
	"cinderroad/internal/system/gossip"
	"cinderroad/internal/system/processconfig"
)

// initCounters makes the service of replicated counters if the settings ask for it.
func (p *Process) initCounters(options Options) {
	if !options.Settings.ServesCounters() {
		return
	}
	p.counters = counterservice.New(counterservice.Options{
		Settings:  options.Settings,
		Peers:     p.counterPeers,
		Log:       options.Log,
		OnFailure: p.reportFailure,
	})
}

// counterPeers returns the machines that replicas of the control state stand on, and control machines that membership knows
// to be alive. Neither is known yet while this machine has just started.
func (p *Process) counterPeers() (peers []counter.Peer, known bool) {
	port := p.settings.Load().Port(processconfig.ControlRPCPort)
	return mergeCounterPeers(p.host.Members(), p.gossip.View(), port)
}

// mergeCounterPeers merges the members of the replicas' groups and those of the membership, whose RPC port is given. What a
// machine announces of itself comes first: a group's founders don't know each other's zones.
func mergeCounterPeers(replicas []consensus.Member, members []gossip.Member, port uint16) (peers []counter.Peer, known bool) {
	zones := make(map[netip.AddrPort]string)
	for i := range members {
		member := &members[i]
		if member.Role != gossip.Control {
			continue
		}
		address := netip.AddrPortFrom(member.Address, port)
		isAlive := member.State <= gossip.Suspect
		if isAlive || zones[address] == "" { // another machine may have had the address
			zones[address] = member.Zone
		}
		if isAlive && !member.Self {
			known = true
			peers = append(peers, counter.Peer{Address: address, Zone: member.Zone})
		}
	}
	for _, replica := range replicas {
		known = true
		address, err := netip.ParseAddrPort(replica.Address)
		if err == nil {
			peers = append(peers, counter.Peer{Address: address, Zone: cmp.Or(zones[address], replica.Zone)})
		}
	}
	return peers, known
}

// memberChanged tells the counters that their peers may have changed.
func (p *Process) memberChanged() {
	if p.counters != nil {
		p.counters.PeersChanged()
	}
}

// controlHandler serves the control address: the operator's API and, if there are any, the calls of counters, which have
// limits of their own.
func (p *Process) controlHandler() http.Handler {
	if p.counters == nil {
		return p.operatorAPI()
	}
	mux := http.NewServeMux()
	mux.Handle(counterservice.PathAdd, p.counters)
	mux.Handle(counterservice.PathRead, p.counters)
	mux.Handle("/", p.operatorAPI())
	return mux
}

// stopReplicas hands over what the replicas of the control state and of the counters have, at the same time.
func (p *Process) stopReplicas(ctx context.Context) {
	var stopping sync.WaitGroup
	defer stopping.Wait()
	if p.counters != nil {
		stopping.Go(func() { p.counters.Stop(ctx) })
	}
	p.host.Stop(ctx)
}
