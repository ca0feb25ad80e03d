package processcluster

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Discovery is a fake discovery service. It lists the runners to each member under the addresses of the member's own
// relays.
type Discovery struct {
	cluster      *Cluster
	mutex        sync.Mutex
	revision     int64
	changed      chan struct{}
	servers      []*http.Server
	drainNotices map[string]time.Time    // by member and runner: when the member was notified of the drain, relay delay included
	frozen       map[*Member]*frozenList // members that get an outdated list
}

// frozenList is a list at a revision.
type frozenList struct {
	revision int64
	targets  []map[string]any
}

func newDiscovery(c *Cluster) *Discovery {
	return &Discovery{cluster: c, changed: make(chan struct{}), drainNotices: map[string]time.Time{}, frozen: map[*Member]*frozenList{}}
}

func (d *Discovery) listen(member *Member) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	d.cluster.must(err)
	s := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) { d.watch(member, rw, q) })}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

func (d *Discovery) close() {
	for _, s := range d.servers {
		s.Close()
	}
}

// Publish sends the current list to all watching members, with a new revision.
func (d *Discovery) Publish() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.revision++
	for _, runner := range d.cluster.Runners { // the end of a drain counts at once, whichever members have been notified
		if entry, listed := runner.entry(""); !listed || entry["state"] != "draining" {
			for _, m := range d.cluster.Members {
				delete(d.drainNotices, m.Name+" "+runner.Name)
			}
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.cluster.Log(fmt.Sprintf("discovery: version %d", d.revision))
}

func (d *Discovery) watch(member *Member, writer http.ResponseWriter, request *http.Request) {
	for {
		d.mutex.Lock()
		revision, changed := d.revision, d.changed
		var targets []map[string]any
		old := d.frozen[member]
		if old != nil {
			revision, targets = old.revision, old.targets
		}
		for i, runner := range d.cluster.Runners {
			if entry, listed := runner.entry(member.runnerRelays[i].Addr()); listed && old == nil {
				targets = append(targets, entry)
				link := member.discoveryRelay.Link()
				if key := member.Name + " " + runner.Name; entry["state"] != "draining" {
					delete(d.drainNotices, key)
				} else if _, had := d.drainNotices[key]; !had && !link.Blackhole && !link.Resets { // else the notice doesn't get through
					d.drainNotices[key] = time.Now().Add(link.Delay + link.Jitter)
				}
			}
		}
		d.mutex.Unlock()
		line, _ := json.Marshal(map[string]any{"rev": revision, "all": true, "targets": targets})
		if _, err := writer.Write(append(line, '\n')); err != nil {
			return
		}
		writer.(http.Flusher).Flush()
		for unchanged := true; unchanged; {
			select {
			case <-changed:
				unchanged = false
			case <-time.After(time.Second):
				if _, err := io.WriteString(writer, "\n"); err != nil {
					return
				}
				writer.(http.Flusher).Flush()
			case <-request.Context().Done():
				return
			}
		}
	}
}

// Freeze makes a member see the list as of now, until it is called with on false.
func (d *Discovery) Freeze(member *Member, on bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.frozen[member] = nil
	if !on {
		return
	}
	snapshot := &frozenList{revision: d.revision}
	for i, runner := range d.cluster.Runners {
		if entry, is := runner.entry(member.runnerRelays[i].Addr()); is {
			snapshot.targets = append(snapshot.targets, entry)
		}
	}
	d.frozen[member] = snapshot
}

// violatesDrain reports whether a job that a member sends to a runner now violates a drain that the member was
// notified of.
func (d *Discovery) violatesDrain(member *Member, runner *Runner) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	at, told := d.drainNotices[member.Name+" "+runner.Name]
	return told && time.Since(at).Seconds() > drainGraceSeconds
}
