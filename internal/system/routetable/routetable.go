// Package routetable finds the route of a request by its host and path. It is altered by single routes as changes
// arrive.
package routetable

import (
	"strings"

	"cinderroad/internal/system/configuration"
)

// Table holds routes. The zero value is not usable; see New. It is not safe for concurrent use.
type Table struct {
	routes map[string]*configuration.Route // by name
	hosts  map[string]*host                // by normal host
}

// host holds the routes of one host. Prefixes begin and end with a slash, so that those of a path end at its slashes.
type host struct {
	routes  map[string]*configuration.Route // by path prefix
	longest int                             // no prefix is longer
}

// New is an empty table.
func New() *Table {
	return &Table{routes: map[string]*configuration.Route{}, hosts: map[string]*host{}}
}

// Len is the number of routes.
func (t *Table) Len() int { return len(t.routes) }

// Route is the route of a name, nil if there is none.
func (t *Table) Route(name string) *configuration.Route { return t.routes[name] }

// Lookup is the route of the host whose prefix begins the path and is the longest, nil if there is none. A port in the
// host and a query in the path do not count. It allocates nothing for hosts in lower case.
func (t *Table) Lookup(hostName, path string) *configuration.Route {
	found := t.hosts[configuration.NormalizeHost(hostName)]
	if found == nil {
		return nil
	}
	if end := strings.IndexByte(path, '?'); end >= 0 {
		path = path[:end]
	}
	candidate := path[:min(len(path), found.longest)]
	for {
		slash := strings.LastIndexByte(candidate, '/')
		if slash < 0 {
			return nil
		}
		if route := found.routes[candidate[:slash+1]]; route != nil {
			return route
		}
		candidate = candidate[:slash]
	}
}

// Upsert adds a route, or replaces the one of its name. The route is kept and must not be altered. If another route
// has its host and prefix, the one that came last is found: that one's own change or removal is then yet to come.
func (t *Table) Upsert(route *configuration.Route) {
	if before := t.routes[route.Name]; before != nil {
		t.unlink(before)
	}
	t.routes[route.Name] = route
	name := configuration.NormalizeHost(route.Host)
	holder := t.hosts[name]
	if holder == nil {
		holder = &host{routes: map[string]*configuration.Route{}}
		t.hosts[name] = holder
	}
	holder.routes[route.PathPrefix] = route
	holder.longest = max(holder.longest, len(route.PathPrefix))
}

// Remove removes the route of a name, if there is one.
func (t *Table) Remove(name string) {
	route := t.routes[name]
	if route == nil {
		return
	}
	delete(t.routes, name)
	t.unlink(route)
}

// unlink takes a route out of its host, unless another one stands in its place by now.
func (t *Table) unlink(route *configuration.Route) {
	name := configuration.NormalizeHost(route.Host)
	holder := t.hosts[name]
	if holder == nil || holder.routes[route.PathPrefix] != route {
		return
	}
	delete(holder.routes, route.PathPrefix)
	if len(holder.routes) == 0 {
		delete(t.hosts, name)
		return
	}
	if len(route.PathPrefix) == holder.longest {
		holder.measure()
	}
}

func (h *host) measure() {
	h.longest = 0
	for prefix := range h.routes {
		h.longest = max(h.longest, len(prefix))
	}
}
