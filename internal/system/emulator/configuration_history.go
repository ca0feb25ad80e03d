package emulator

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"cinderroad/internal/testkit/checker"
)

// configurationHistory holds the configurations that were sent and those that were acknowledged. Its methods may be called
// from any goroutine.
type configurationHistory struct {
	mu    sync.Mutex
	forms map[int][]string // of valid configurations that were sent and not refused, by version
	acked []acknowledgement

	refusedRoutes map[string]bool // that only refused changes have
}

// acknowledgement is a configuration that was acknowledged.
type acknowledgement struct {
	version int
	at      time.Time
	routes  []string
}

func newConfigurationHistory() *configurationHistory {
	return &configurationHistory{forms: make(map[int][]string), refusedRoutes: make(map[string]bool)}
}

// formOf returns a text that tells configurations of the emulator apart.
func formOf(d *configurationDocument) string {
	var parts []string
	for _, route := range d.Routes {
		parts = append(parts, fmt.Sprintf("%s=%s%s>%s/%d", route.Name, route.Host, route.PathStart, route.Service, route.TimeoutMS))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// sent records a valid configuration; call it before it is sent.
func (h *configurationHistory) sent(d *configurationDocument) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forms[d.Version] = append(h.forms[d.Version], formOf(d))
}

// refused records that a configuration, whose last route is new, was refused for good: it must never be in force.
func (h *configurationHistory) refused(d *configurationDocument) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusedRoutes[d.Routes[len(d.Routes)-1].Name] = true
	form := formOf(d)
	h.forms[d.Version] = slices.DeleteFunc(h.forms[d.Version], func(other string) bool { return other == form })
}

// routeRefused reports whether only a refused change has the route.
func (h *configurationHistory) routeRefused(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusedRoutes[name]
}

// acknowledged records that a configuration was acknowledged.
func (h *configurationHistory) acknowledged(d *configurationDocument, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ack := acknowledgement{version: d.Version, at: at}
	for _, route := range d.Routes {
		ack.routes = append(ack.routes, route.Name)
	}
	h.acked = append(h.acked, ack)
}

// routeAcknowledged returns when a route was first acknowledged; false if it was not.
func (h *configurationHistory) routeAcknowledged(name string) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, ack := range h.acked {
		if slices.Contains(ack.routes, name) {
			return ack.at, true
		}
	}
	return time.Time{}, false
}

// checkRead checks a configuration that some control machine answered to a read that was sent at a time: it must have been
// sent, and be no older than the newest one that had been acknowledged a while before.
func (h *configurationHistory) checkRead(read *configurationDocument, sentAt time.Time, delay time.Duration) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !slices.Contains(h.forms[read.Version], formOf(read)) {
		return fmt.Errorf("version %d with routes %q is none that was sent and not refused", read.Version, formOf(read))
	}
	for _, ack := range h.acked {
		if ack.version > read.Version && sentAt.Sub(ack.at) > delay {
			return fmt.Errorf("version %d was read %v after version %d had been acknowledged",
				read.Version, sentAt.Sub(ack.at), ack.version)
		}
	}
	return nil
}

// checkFinal checks the configuration that is read at the end: it must be the one that was acknowledged last, or a later one
// whose order has no clear outcome.
func (h *configurationHistory) checkFinal(read *configurationDocument) error {
	return h.checkRead(read, time.Now(), 0)
}

// reportMismatch reports a configuration that should not have been read.
func (e *emulation) reportMismatch(source string, err error) {
	if err != nil {
		e.checker.Report(checker.ConfigurationMismatch, "%s: %v", source, err)
	}
}
