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
	rig     *Cluster
	mu      sync.Mutex
	rev     int64
	changed chan struct{}
	servers []*http.Server
	told    map[string]time.Time // member and runner that drains: when it was told
	old     map[*Member]*listed  // what some are told whatever has changed since
}

// listed is the list at a version.
type listed struct {
	rev     int64
	targets []map[string]any
}

func newDiscovery(r *Cluster) *Discovery {
	return &Discovery{rig: r, changed: make(chan struct{}), told: map[string]time.Time{}, old: map[*Member]*listed{}}
}

func (d *Discovery) listen(m *Member) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	d.rig.must(err)
	s := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) { d.watch(m, rw, q) })}
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
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for _, u := range d.rig.Runners { // what is lifted is lifted for all, whoever has heard of it
		if entry, listed := u.entry(""); !listed || entry["state"] != "draining" {
			for _, m := range d.rig.Members {
				delete(d.told, m.Name+" "+u.Name)
			}
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.rig.Log(fmt.Sprintf("discovery: version %d", d.rev))
}

func (d *Discovery) watch(m *Member, rw http.ResponseWriter, q *http.Request) {
	for {
		d.mu.Lock()
		rev, changed := d.rev, d.changed
		var targets []map[string]any
		old := d.old[m]
		if old != nil {
			rev, targets = old.rev, old.targets
		}
		for i, u := range d.rig.Runners {
			if entry, listed := u.entry(m.runners[i].Addr()); listed && old == nil {
				targets = append(targets, entry)
				way := m.list.Link()
				if key := m.Name + " " + u.Name; entry["state"] != "draining" {
					delete(d.told, key)
				} else if _, had := d.told[key]; !had && !way.Blackhole && !way.Resets { // else it is not told
					d.told[key] = time.Now().Add(way.Delay + way.Jitter)
				}
			}
		}
		d.mu.Unlock()
		line, _ := json.Marshal(map[string]any{"rev": rev, "all": true, "targets": targets})
		if _, err := rw.Write(append(line, '\n')); err != nil {
			return
		}
		rw.(http.Flusher).Flush()
		for waits := true; waits; {
			select {
			case <-changed:
				waits = false
			case <-time.After(time.Second):
				if _, err := io.WriteString(rw, "\n"); err != nil {
					return
				}
				rw.(http.Flusher).Flush()
			case <-q.Context().Done():
				return
			}
		}
	}
}

// Freeze has a member told the list as it is now for as long as it is on, whatever changes.
func (d *Discovery) Freeze(m *Member, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.old[m] = nil
	if !on {
		return
	}
	was := &listed{rev: d.rev}
	for i, u := range d.rig.Runners {
		if entry, is := u.entry(m.runners[i].Addr()); is {
			was.targets = append(was.targets, entry)
		}
	}
	d.old[m] = was
}

// late says whether a job that a member sends to a runner now comes after a drain that it was told in time.
func (d *Discovery) late(m *Member, u *Runner) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, told := d.told[m.Name+" "+u.Name]
	return told && time.Since(at).Seconds() > drainGrace
}
