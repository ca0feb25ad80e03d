// Package routetable finds the route of a request by its host and the longest matching path prefix.
//
// A table is changed route by route, as changes of the configuration arrive. Lookups allocate nothing for hosts in
// lower case.
package routetable

import (
	"strings"

	"cinderroad/internal/system/configuration"
)

// Table holds routes. Use New; the zero value is not usable. It is not safe for concurrent use.
type Table struct {
	byName map[string]*configuration.Route
	byHost map[string]*hostRoutes // by the host in the form of configuration.NormalizeHost
}

// hostRoutes holds the routes of one host. Prefixes begin and end with a slash, so that only those parts of a path that
// end at a slash can match.
type hostRoutes struct {
	byPrefix        map[string]*configuration.Route
	maxPrefixLength int // length of the longest prefix, in bytes
}

// New returns an empty table.
func New() *Table {
	return &Table{byName: map[string]*configuration.Route{}, byHost: map[string]*hostRoutes{}}
}

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.byName) }

// Route returns the route with the name, nil if there is none.
func (t *Table) Route(name string) *configuration.Route { return t.byName[name] }

// Lookup returns the route of the host with the longest prefix that begins the path, nil if there is none. It ignores a
// port in the host and a query in the path.
func (t *Table) Lookup(hostName, path string) *configuration.Route {
	host := t.byHost[configuration.NormalizeHost(hostName)]
	if host == nil {
		return nil
	}
	if end := strings.IndexByte(path, '?'); end >= 0 {
		path = path[:end]
	}
	candidate := path[:min(len(path), host.maxPrefixLength)]
	for {
		slash := strings.LastIndexByte(candidate, '/')
		if slash < 0 {
			return nil
		}
		if route := host.byPrefix[candidate[:slash+1]]; route != nil {
			return route
		}
		candidate = candidate[:slash]
	}
}

// Upsert adds a route, or replaces the one with the same name. The table keeps the route, which must not be altered. If
// another route has the same host and prefix, the later one is found: a change or removal of the earlier one is about
// to follow.
func (t *Table) Upsert(route *configuration.Route) {
	if previous := t.byName[route.Name]; previous != nil {
		t.unlink(previous)
	}
	t.byName[route.Name] = route
	hostName := configuration.NormalizeHost(route.Host)
	host := t.byHost[hostName]
	if host == nil {
		host = &hostRoutes{byPrefix: map[string]*configuration.Route{}}
		t.byHost[hostName] = host
	}
	host.byPrefix[route.PathPrefix] = route
	host.maxPrefixLength = max(host.maxPrefixLength, len(route.PathPrefix))
}

// Remove removes the route with the name, if there is one.
func (t *Table) Remove(name string) {
	route := t.byName[name]
	if route == nil {
		return
	}
	delete(t.byName, name)
	t.unlink(route)
}

// unlink removes a route from those of its host, unless another route has replaced it there.
func (t *Table) unlink(route *configuration.Route) {
	hostName := configuration.NormalizeHost(route.Host)
	host := t.byHost[hostName]
	if host == nil || host.byPrefix[route.PathPrefix] != route {
		return
	}
	delete(host.byPrefix, route.PathPrefix)
	if len(host.byPrefix) == 0 {
		delete(t.byHost, hostName)
		return
	}
	if len(route.PathPrefix) == host.maxPrefixLength {
		host.updateMaxPrefixLength()
	}
}

func (h *hostRoutes) updateMaxPrefixLength() {
	h.maxPrefixLength = 0
	for prefix := range h.byPrefix {
		h.maxPrefixLength = max(h.maxPrefixLength, len(prefix))
	}
}
