package counter

import "time"

// scheduleFaults draws faults until they end.
func (sim *simulation) scheduleFaults() {
	sim.schedule(sim.randomDuration(10*time.Millisecond, sim.profile.maxFaultInterval), func() {
		if !sim.faults {
			return
		}
		sim.scheduleFaults()
		sim.injectFault()
	})
}

// injectFault draws one fault.
func (sim *simulation) injectFault() {
	members := sim.members()
	victim := members[sim.random.IntN(len(members))]
	duration := sim.randomDuration(50*time.Millisecond, sim.profile.maxFaultDuration)
	switch sim.random.IntN(16) {
	case 0, 1, 2, 3, 4, 5:
		sim.cutLinks(victim, duration)
	case 6, 7:
		if victim.process != nil && !victim.process.frozen {
			victim.process.freeze(duration)
		}
	case 8, 9:
		sim.stop(victim, duration)
	case 10:
		for _, other := range members {
			if other.zone == victim.zone {
				sim.stop(other, duration)
			}
		}
	case 11:
		if sim.chance(0.3) {
			for _, other := range members {
				sim.stop(other, sim.randomDuration(0, duration))
			}
		}
	case 12, 13:
		sim.wipe(victim, duration)
	case 14:
		victim.disk.stalledUntil = sim.now + duration
		sim.logf("the disk of %d stalls for %v", victim.index, duration)
	case 15:
		if sim.chance(0.5) {
			sim.failDisk(victim, duration)
		} else {
			sim.replaceMachine(victim)
		}
	}
}

// stop kills a process, if there is one, and boots the machine later. The transaction under way is written or not.
func (sim *simulation) stop(victim *machine, duration time.Duration) {
	if victim.process != nil {
		victim.process.kill(sim.chance(0.5))
	}
	sim.schedule(duration, victim.boot)
}

// wipe stops a process and replaces its disk, if the cluster is to survive that.
func (sim *simulation) wipe(victim *machine, duration time.Duration) {
	if !sim.mayLoseDisk() {
		return
	}
	sim.stop(victim, duration)
	sim.loseDisk(victim)
}

// failDisk has the writes of a disk fail for a while.
func (sim *simulation) failDisk(victim *machine, duration time.Duration) {
	sim.logf("the disk of %d fails for %v", victim.index, duration)
	failing := victim.disk
	failing.failing = true
	sim.schedule(duration, func() { failing.failing = false })
}

// replaceMachine takes a machine away for good and puts another one in its place.
func (sim *simulation) replaceMachine(victim *machine) {
	if !sim.mayLoseDisk() || len(sim.machines) > 30 {
		return
	}
	if victim.process != nil {
		victim.process.kill(false)
	}
	victim.member = false
	sim.loseDisk(victim)
	replacement := sim.addMachine()
	replacement.zone = victim.zone
	replacement.region = victim.region
	replacement.disk = sim.newDisk()
	sim.schedule(sim.randomDuration(0, time.Second), replacement.boot)
	for _, member := range sim.members() {
		sim.schedule(sim.randomDuration(0, time.Second), func() {
			if member.process != nil {
				member.process.learnPeers()
			}
		})
	}
}

// cutLinks blocks links of a drawn kind for a while: of a region, a zone or a machine, in both directions or in one, or
// between two zones that others still reach.
func (sim *simulation) cutLinks(victim *machine, duration time.Duration) {
	var isInside, isOutside func(m *machine) bool
	kind := sim.random.IntN(4)
	members := sim.members()
	other := members[sim.random.IntN(len(members))]
	switch kind {
	case 0:
		isInside = func(m *machine) bool { return m.region == victim.region }
	case 1, 2:
		isInside = func(m *machine) bool { return m.zone == victim.zone }
	default:
		isInside = func(m *machine) bool { return m == victim }
	}
	isOutside = func(m *machine) bool { return !isInside(m) }
	if kind == 2 {
		isOutside = func(m *machine) bool { return m.zone == other.zone && !isInside(m) }
	}
	oneWay := sim.chance(0.25)
	reversed := sim.chance(0.5)
	sim.logf("links of %d are cut for %v: kind %d, other %d, one way %v", victim.index, duration, kind, other.index, oneWay)
	var links [][2]int
	for _, inside := range sim.machines {
		for _, outside := range sim.machines {
			if !isInside(inside) || !isOutside(outside) {
				continue
			}
			if !oneWay || !reversed {
				links = append(links, [2]int{inside.index, outside.index})
			}
			if !oneWay || reversed {
				links = append(links, [2]int{outside.index, inside.index})
			}
		}
	}
	for _, link := range links {
		sim.blocked[link] = true
	}
	sim.schedule(duration, func() {
		for _, link := range links {
			delete(sim.blocked, link)
		}
	})
}

// endFaults ends all faults; machines that are down start.
func (sim *simulation) endFaults() {
	sim.logf("the faults end")
	sim.faults = false
	clear(sim.blocked)
	for _, member := range sim.members() {
		member.disk.stalledUntil = 0
		member.disk.failing = false
		if member.process != nil {
			member.process.wake()
			member.process.learnPeers()
		}
		member.boot()
	}
}
