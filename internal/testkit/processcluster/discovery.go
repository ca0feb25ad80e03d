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

// Discovery tells each member the runners by its own ways to them.
type Discovery struct {
	cluster      *Cluster
	mutex        sync.Mutex
	revision     int64
	changed      chan struct{}
	servers      []*http.Server
	drainNotices map[string]time.Time    // member and runner that drains: when it was told
	frozen       map[*Member]*frozenList // what some are told whatever has changed since
}

// frozenList is the list at a version.
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

// Publish tells the list anew to all who watch.
func (d *Discovery) Publish() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.revision++
	for _, runner := range d.cluster.Runners { // what is lifted is lifted for all, whoever has heard of it
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
				} else if _, had := d.drainNotices[key]; !had && !link.Blackhole && !link.Resets { // else it is not told
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

// Freeze has a member told the list as it is now for as long as it is on, whatever changes.
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

// violatesDrain says whether a job that a member sends to a runner now comes after a drain that it was told in time.
func (d *Discovery) violatesDrain(member *Member, runner *Runner) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	at, told := d.drainNotices[member.Name+" "+runner.Name]
	return told && time.Since(at).Seconds() > drainGraceSeconds
}
