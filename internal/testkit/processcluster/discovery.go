package processcluster

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// discoveryHeartbeat is the time after which an unchanged list is followed by an empty line.
const discoveryHeartbeat = time.Second

// Discovery is a fake discovery service. It lists the runners to each member under the addresses of the member's own
// relays.
type Discovery struct {
	cluster *Cluster
	servers memberServers

	mutex        sync.Mutex
	revision     int64
	changed      chan struct{}           // closed and replaced by Publish
	drainNotices map[drainKey]time.Time  // when the member was notified of the drain, relay delay included
	frozen       map[*Member]*targetList // members that get an outdated list
}

// drainKey identifies the notice of a runner's drain to a member, both by name.
type drainKey struct{ member, runner string }

// targetList is a message of discovery: the complete list at a revision.
type targetList struct {
	All      bool     `json:"all"`
	Revision int64    `json:"rev"`
	Targets  []target `json:"targets"`
}

// target is a runner on the list.
type target struct {
	Zone          string `json:"az"`
	StartedAt     int64  `json:"boot_ms"` // Unix milliseconds; 0: long ago
	CapacityHint  int    `json:"capacity_hint"`
	Endpoint      string `json:"endpoint"`
	Model         string `json:"model"`
	FailureDomain int    `json:"pod_group"`
	State         string `json:"state"`
	Name          string `json:"uid"`
}

func newDiscovery(c *Cluster) *Discovery {
	return &Discovery{
		cluster:      c,
		changed:      make(chan struct{}),
		drainNotices: map[drainKey]time.Time{},
		frozen:       map[*Member]*targetList{},
	}
}

// listen opens a port for a member, so that its list can be its own.
func (d *Discovery) listen(member *Member) string {
	address, err := d.servers.listen("127.0.0.1", func(writer http.ResponseWriter, request *http.Request) {
		d.watch(member, writer, request)
	})
	d.cluster.must(err)
	return address
}

func (d *Discovery) close() { d.servers.close() }

// Publish sends the current list to all watching members, with a new revision.
func (d *Discovery) Publish() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.revision++
	for _, runner := range d.cluster.Runners { // the end of a drain counts at once, whichever members have been notified
		if entry, listed := runner.target(""); !listed || entry.State != stateDraining {
			for _, member := range d.cluster.Members {
				delete(d.drainNotices, drainKey{member.Name, runner.Name})
			}
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.cluster.Log(fmt.Sprintf("discovery: version %d", d.revision))
}

// watch answers a member with its list now and after each change, until the member disconnects.
func (d *Discovery) watch(member *Member, writer http.ResponseWriter, request *http.Request) {
	for {
		list, changed := d.takeList(member)
		line, _ := json.Marshal(list)
		if _, err := writer.Write(append(line, '\n')); err != nil {
			return
		}
		writer.(http.Flusher).Flush()
		if !waitForChange(changed, writer, request) {
			return
		}
	}
}

// waitForChange waits until the list changes, and sends heartbeats meanwhile; false if the member disconnects.
func waitForChange(changed <-chan struct{}, writer http.ResponseWriter, request *http.Request) bool {
	for {
		select {
		case <-changed:
			return true
		case <-time.After(discoveryHeartbeat):
			if _, err := io.WriteString(writer, "\n"); err != nil {
				return false
			}
			writer.(http.Flusher).Flush()
		case <-request.Context().Done():
			return false
		}
	}
}

// takeList returns the list to send to a member, and a channel that is closed when the list changes. It records the
// drains that the list notifies the member of.
func (d *Discovery) takeList(member *Member) (targetList, <-chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if frozen := d.frozen[member]; frozen != nil {
		return *frozen, d.changed
	}
	list := d.listFor(member)
	for i := range list.Targets {
		d.recordDrainNotice(member, &list.Targets[i])
	}
	return list, d.changed
}

// listFor returns the current list with the addresses of a member's relays. The mutex must be held.
func (d *Discovery) listFor(member *Member) targetList {
	list := targetList{All: true, Revision: d.revision}
	for i, runner := range d.cluster.Runners {
		if entry, listed := runner.target(member.runnerRelays[i].Addr()); listed {
			list.Targets = append(list.Targets, entry)
		}
	}
	return list
}

// recordDrainNotice records when a member learns that a runner drains. A notice that the relay does not pass is none.
// The mutex must be held.
func (d *Discovery) recordDrainNotice(member *Member, entry *target) {
	key := drainKey{member.Name, entry.Name}
	if entry.State != stateDraining {
		delete(d.drainNotices, key)
		return
	}
	link := member.discoveryRelay.Link()
	passes := !link.Blackhole && !link.Resets
	if _, notified := d.drainNotices[key]; !notified && passes {
		d.drainNotices[key] = time.Now().Add(link.Delay + link.Jitter)
	}
}

// Freeze makes a member see the list as of now, until it is called with on false.
func (d *Discovery) Freeze(member *Member, on bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.frozen, member)
	if on {
		list := d.listFor(member)
		d.frozen[member] = &list
	}
}

// violatesDrain reports whether a job that a member sends to a runner now violates a drain that the member was
// notified of.
func (d *Discovery) violatesDrain(member *Member, runner *Runner) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	at, notified := d.drainNotices[drainKey{member.Name, runner.Name}]
	return notified && time.Since(at).Seconds() > drainGraceSeconds+drainScheduleSeconds
}
