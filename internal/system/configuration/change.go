package configuration

import (
	"strconv"

	"cinderroad/internal/system/jsonfield"
	"cinderroad/internal/system/validation"
)

// Names of a change's fields.
const (
	fieldReplace = "replace"
	fieldRemove  = "remove"
)

// Change adds, replaces and removes single items of a document.
type Change struct {
	version uint64

	routes    []entry[Route] // to be added, or to replace the item of the same name
	services  []entry[Service]
	limits    *Limits // nil: they stay as they are
	rawLimits []byte
	extras    []extraField // fields of the document that this version does not know

	removedRoutes   []string
	removedServices []string
	removedExtras   []removedItems
}

// Version returns the version of the document that the change makes.
func (c *Change) Version() uint64 { return c.version }

// ParseChange parses a change. An error is a *validation.Error with all problems. Whether the resulting document is
// valid depends on the one that the change is applied to: see ApplyAndValidate. The change keeps parts of body, which
// must not be altered.
func ParseChange(body []byte) (*Change, error) {
	var problems validation.Problems
	change := parseChange(body, &problems)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return change, nil
}

// ApplyAndValidate parses a change, applies it to the document in force, nil for none, and validates the result. An
// error is a *validation.Error with all problems; their paths are those of the resulting document, or of the change.
// The document keeps parts of body, which must not be altered.
func ApplyAndValidate(body []byte, current *Document) (*Document, error) {
	if current == nil {
		current = &Document{}
	}
	var problems validation.Problems
	var changed *Document
	if change := parseChange(body, &problems); change != nil {
		changed = current.apply(change)
		changed.validate(current.version, &problems)
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return changed, nil
}

// parseChange returns what could be read of a change; nil if it is not an object at all.
func parseChange(body []byte, problems *validation.Problems) *Change {
	root, ok := parseRoot(body, problems)
	if !ok {
		return nil
	}
	parser := changeParser{change: &Change{}}
	if !root.ReadStrictObject(parser.readField) {
		return nil
	}
	if !parser.hasVersion {
		root.AddProblem("has no " + fieldVersion)
	}
	change := parser.change
	checkConflicts(change.routes, change.removedRoutes, fieldRoutes, problems)
	checkConflicts(change.services, change.removedServices, fieldServices, problems)
	return change
}

type changeParser struct {
	change     *Change
	hasVersion bool
}

// readField reads a top-level field of a change. Fields that this version does not know are ignored.
func (r *changeParser) readField(name string, value jsonfield.Value) {
	switch name {
	case fieldVersion:
		r.change.version, _ = value.Uint64()
		r.hasVersion = true
	case fieldReplace:
		if !value.IsNull() {
			value.ReadStrictObject(r.change.readReplaced)
		}
	case fieldRemove:
		if !value.IsNull() {
			value.ReadStrictObject(r.change.readRemoved)
		}
	}
}

// readReplaced reads a field of a change's "replace".
func (c *Change) readReplaced(name string, value jsonfield.Value) {
	if value.IsNull() {
		return
	}
	switch name {
	case fieldVersion:
		value.AddProblem("cannot be replaced; the change's own version counts")
	case fieldRoutes:
		c.routes = parseEntries(value, parseRoute, routeName)
	case fieldServices:
		c.services = parseEntries(value, parseService, serviceName)
	case fieldLimits:
		c.limits = parseLimits(value)
		c.rawLimits = value.Raw()
	default:
		c.extras = append(c.extras, extraField{name: name, raw: value.Raw()})
	}
}

// readRemoved reads a field of a change's "remove": the names of items.
func (c *Change) readRemoved(name string, value jsonfield.Value) {
	if value.IsNull() {
		return
	}
	names, _ := value.Texts()
	switch name {
	case fieldRoutes:
		c.removedRoutes = names
	case fieldServices:
		c.removedServices = names
	case fieldVersion, fieldLimits:
		value.AddProblem("is not a list of items that could be removed")
	default:
		c.removedExtras = append(c.removedExtras, removedItems{field: name, names: names})
	}
}

// checkConflicts adds a problem for each name that a change uses twice.
func checkConflicts[M any](entries []entry[M], removed []string, field string, problems *validation.Problems) {
	names := make(map[string]bool, len(entries))
	for i, item := range entries {
		if names[item.name] {
			path := fieldReplace + "." + field + "[" + strconv.Itoa(i) + "].name"
			problems.Add(path, "is the name of an earlier item, too: "+strconv.Quote(item.name))
		}
		names[item.name] = true
	}
	for i, name := range removed {
		if names[name] {
			path := fieldRemove + "." + field + "[" + strconv.Itoa(i) + "]"
			problems.Add(path, "is replaced by the same change: "+strconv.Quote(name))
		}
	}
}
