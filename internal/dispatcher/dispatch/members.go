package dispatch

import (
	"hash/fnv"
	"slices"

	"cinderroad/loadbalancer"
)

// Discovery fetches the member list on request. One that pushes every change needs to do nothing.
type Discovery interface {
	// Watch turns the subscription to changes on or off.
	Watch(on bool)
	// Fetch requests the full list.
	Fetch()
}

// Member is a worker of the member list and its backend.
type Member struct {
	loadbalancer.Worker // as the balancer sees it: the listed one under exclusions, restrictions and pause
	Backend             Backend
	Name                string // as passed to WorkerID

	listed loadbalancer.Worker // as its front listed it
	drainTimes
}

// drainTimes are what is recorded of a member for the Observer; a new list keeps them.
type drainTimes struct {
	lastStart  float64 // when the last attempt at it was confirmed
	drainStart float64 // when it last stopped being ready; 0: never
}

// WorkerID returns the ID of the worker of a name. It is a hash of the name, since dispatchers that share no state must
// agree on the order in which workers start up. A new name reserves its ID by a Member without a backend, which the next
// list that names the worker fills in: callers must list each worker that they name.
func (d *Dispatcher) WorkerID(name string) loadbalancer.WorkerID {
	if id, ok := d.workerIDs[name]; ok {
		return id
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	id := loadbalancer.WorkerID(hash.Sum32())
	for d.members[id] != nil {
		id++
	}
	d.workerIDs[name] = id
	d.members[id] = &Member{Name: name}
	return id
}

// UpdateMembers takes a member list or a change of one. A member that has departed stays known: attempts may still be
// running there.
func (d *Dispatcher) UpdateMembers(kind loadbalancer.ListKind, members []Member) {
	d.handle(func() {
		if kind == loadbalancer.ListFull || kind == loadbalancer.ListCached {
			d.markUnlisted(members)
		}
		workers := make([]loadbalancer.Worker, 0, len(members))
		for i := range members {
			workers = append(workers, d.updateMember(&members[i]))
		}
		if d.Observer != nil {
			d.Observer.ObserveMembers(kind, members)
		}
		d.balancer.UpdateWorkers(d.clock.Now(), kind, workers)
		d.forgetDeparted()
	})
}

// markUnlisted marks the members that a complete list does not name as departed. The listed state of the others is set by
// updateMember, which must follow for each of them.
func (d *Dispatcher) markUnlisted(members []Member) {
	listed := make(map[loadbalancer.WorkerID]bool, len(members))
	for i := range members {
		listed[members[i].ID] = true
	}
	for id, member := range d.members {
		member.listed.State = loadbalancer.Departed
		if !listed[id] {
			oldState := member.State
			member.State = loadbalancer.Departed
			d.trackState(member, oldState)
		}
	}
}

// updateMember takes a member as its front lists it, and returns the worker that the balancer sees. It sets the drain
// times of listed.
func (d *Dispatcher) updateMember(listed *Member) loadbalancer.Worker {
	member := d.members[listed.ID]
	if member == nil {
		member = &Member{}
		d.members[listed.ID] = member
	}
	oldState := member.State
	listed.drainTimes = member.drainTimes
	*member = *listed
	member.listed = member.Worker
	d.applyOverrides(member)
	d.trackState(member, oldState)
	return member.Worker
}

// trackState updates the records after the balancer's view of a member has changed from oldState.
func (d *Dispatcher) trackState(member *Member, oldState loadbalancer.WorkerState) {
	switch {
	case oldState == member.State:
	case member.State == loadbalancer.Ready:
		d.readyMembers++
	case oldState == loadbalancer.Ready:
		d.readyMembers--
		d.trackDrain(member)
	}
}

// maxDeparted is the number of departed members that are kept. Beyond it all of them are forgotten.
const maxDeparted = 64

// hasDeparted reports whether a member was listed and is no longer. One that is only named, see WorkerID, is yet to be
// listed.
func (m *Member) hasDeparted() bool { return m.State == loadbalancer.Departed && m.Backend != nil }

// forgetDeparted bounds the memory of members that have departed: machines come and go for as long as the process
// runs. An attempt that is still running holds its own reference to its member.
func (d *Dispatcher) forgetDeparted() {
	departed := 0
	for _, member := range d.members {
		if member.hasDeparted() {
			departed++
		}
	}
	if departed <= maxDeparted {
		return
	}
	for id, member := range d.members {
		if member.hasDeparted() {
			delete(d.members, id)
			delete(d.workerIDs, member.Name)
		}
	}
}

// changedKeys returns the keys whose values differ between two maps, sorted.
func changedKeys[V comparable](old, new map[string]V) (keys []string) {
	for key, value := range old {
		if newValue, ok := new[key]; !ok || value != newValue {
			keys = append(keys, key)
		}
	}
	for key := range new {
		if _, ok := old[key]; !ok {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// refreshMembers has the balancer see the named members as exclusions, restrictions and pause have them now. It calls
// changed for each with the worker that the balancer saw before.
func (d *Dispatcher) refreshMembers(names []string, changed func(member *Member, old loadbalancer.Worker)) {
	var workers []loadbalancer.Worker
	for _, name := range names {
		id, known := d.workerIDs[name]
		member := d.members[id]
		if !known || member == nil || member.Backend == nil {
			continue
		}
		old := member.Worker
		d.applyOverrides(member)
		d.trackState(member, old.State)
		changed(member, old)
		workers = append(workers, member.Worker)
	}
	if len(workers) > 0 {
		d.balancer.UpdateWorkers(d.clock.Now(), loadbalancer.ListDelta, workers)
	}
}

// slowStartMargin is for how many seconds after its slow start a member keeps the time of its inclusion as its start time.
const slowStartMargin = 1

// applyOverrides sets the worker that the balancer sees of a member. An excluded member drains and keeps its start time,
// so that the start time it is included with is new to the balancer: its own if it has been listed since, else the time
// of the inclusion.
func (d *Dispatcher) applyOverrides(member *Member) {
	member.Worker = member.listed
	d.restrict(member)
	exclusion, excluded := d.exclusions[member.Name]
	switch {
	case !excluded:
	case exclusion.IncludedAt == 0:
		member.StartedAt = exclusion.StartedAt
		if member.State == loadbalancer.Ready {
			member.State = loadbalancer.Draining
		}
	case member.StartedAt >= exclusion.ExcludedAt || d.clock.Now() > exclusion.IncludedAt+d.settings.SlowStartDuration+slowStartMargin:
		delete(d.exclusions, member.Name) // its new start is listed, or its slow start is over
	default:
		member.StartedAt = exclusion.IncludedAt
	}
}
