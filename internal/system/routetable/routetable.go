// Package routetable finds the route of a request by its host and path. It is altered by single routes as changes
// arrive.
package routetable

import (
	"strings"

	"cinderroad/internal/system/configuration"
)

// Table holds routes. The zero value is not usable; see New. It is not safe for concurrent use.
type Table struct {
	byName map[string]*configuration.Route // by name
	byHost map[string]*hostRoutes          // by normal host
}

// hostRoutes holds the routes of one host. Prefixes begin and end with a slash, so that those of a path end at its slashes.
type hostRoutes struct {
	byPrefix        map[string]*configuration.Route // by path prefix
	maxPrefixLength int                             // no prefix is longer
}

// New is an empty table.
func New() *Table {
	return &Table{byName: map[string]*configuration.Route{}, byHost: map[string]*hostRoutes{}}
}

// Len is the number of routes.
func (t *Table) Len() int { return len(t.byName) }

// Route is the route of a name, nil if there is none.
func (t *Table) Route(name string) *configuration.Route { return t.byName[name] }

// Lookup is the route of the host whose prefix begins the path and is the longest, nil if there is none. A port in the
// host and a query in the path do not count. It allocates nothing for hosts in lower case.
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

// Upsert adds a route, or replaces the one of its name. The route is kept and must not be altered. If another route
// has its host and prefix, the one that came last is found: that one's own change or removal is then yet to come.
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

// Remove removes the route of a name, if there is one.
func (t *Table) Remove(name string) {
	route := t.byName[name]
	if route == nil {
		return
	}
	delete(t.byName, name)
	t.unlink(route)
}

// unlink takes a route out of its host, unless another one stands in its place by now.
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
