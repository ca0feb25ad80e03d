package configuration

import (
	"slices"
	"strconv"

	"github.com/go-faster/jx"

	"cinderroad/internal/system/jsonfield"
	"cinderroad/internal/system/validation"
)

// Names of a change's fields.
const (
	fieldReplace = "replace"
	fieldRemove  = "remove"
)

// Change alters a document by items.
type Change struct {
	version uint64

	routes    []entry[Route] // to be added, or to replace the item of the same name
	services  []entry[Service]
	limits    *Limits // nil: they stay as they are
	rawLimits []byte
	extras    []extraField // fields of the document that are not known

	removedRoutes   []string
	removedServices []string
	removedExtras   []removedItems
}

// removedItems is names to remove from a list that is not known.
type removedItems struct {
	field string
	names []string
}

// Version is the number of the document that the change makes.
func (c *Change) Version() uint64 { return c.version }

// ParseChange reads a change. All that keeps it from being read comes together, in a *findings.Error; whether it makes
// sense is for Validate of the document that it makes to say. The change keeps parts of body, which must not be
// altered.
func ParseChange(body []byte) (*Change, error) {
	var problems validation.Problems
	change := parseChange(body, &problems)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return change, nil
}

// ApplyAndValidate reads a change, applies it to the document in force, nil for none, and validates what it makes. All
// findings come together, in a *findings.Error; their places are those of the document that it makes, or of the
// change.
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
		c.limits, c.rawLimits = parseLimits(value), value.Raw()
	default:
		c.extras = append(c.extras, extraField{name: name, raw: value.Raw()})
	}
}

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

// checkConflicts finds names that a change uses twice.
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

// Apply is the document that a change makes of this one. Items that are replaced keep their place, new ones come last,
// and the removal of a name that is not there changes nothing. Whether the document that comes out makes sense is for
// its Validate to say. The error is nil at present.
func (d *Document) Apply(change *Change) (*Document, error) { return d.apply(change), nil }

func (d *Document) apply(change *Change) *Document {
	changed := d.clone()
	changed.version = change.version
	changed.routes = replaceEntries(removeEntries(changed.routes, change.removedRoutes), change.routes)
	changed.services = replaceEntries(removeEntries(changed.services, change.removedServices), change.services)
	if change.limits != nil {
		changed.limits, changed.rawLimits = change.limits, change.rawLimits
	}
	for _, removed := range change.removedExtras {
		changed.removeFromExtra(removed)
	}
	for _, field := range change.extras {
		changed.mergeExtra(field)
	}
	return changed
}

func removeEntries[M any](entries []entry[M], names []string) []entry[M] {
	if len(names) == 0 {
		return entries
	}
	removed := make(map[string]bool, len(names))
	for _, name := range names {
		removed[name] = true
	}
	return slices.DeleteFunc(entries, func(item entry[M]) bool { return removed[item.name] })
}

func replaceEntries[M any](entries, replacements []entry[M]) []entry[M] {
	positions := make(map[string]int, len(entries))
	for position, item := range entries {
		positions[item.name] = position
	}
	for _, item := range replacements {
		position, known := positions[item.name]
		if known {
			item.ordinal = entries[position].ordinal
			entries[position] = item
			continue
		}
		item.ordinal = 0
		positions[item.name] = len(entries)
		entries = append(entries, item)
	}
	return numberEntries(entries)
}

// numberEntries gives ordinals to the items at the end that have none.
func numberEntries[M any](entries []entry[M]) []entry[M] {
	current := make([]uint64, len(entries))
	for i, item := range entries {
		current[i] = item.ordinal
	}
	for i, ordinal := range alignOrdinals(current) {
		entries[i].ordinal = ordinal
	}
	return entries
}

// namedItem is an item of a list that is not known.
type namedItem struct {
	name string
	raw  []byte
}

// namedItems are the items of a list if it is one of objects with names, each with another one.
func namedItems(raw []byte) ([]namedItem, bool) {
	var problems validation.Problems
	value, ok := jsonfield.Parse(raw, &problems)
	if !ok || !value.IsArray() {
		return nil, false
	}
	var items []namedItem
	names := map[string]bool{}
	complete := value.ReadArray(func(_ int, element jsonfield.Value) {
		name := nameOf(element)
		ok = ok && name != "" && !names[name]
		names[name] = true
		items = append(items, namedItem{name: name, raw: element.Raw()})
	})
	return items, ok && complete
}

func nameOf(value jsonfield.Value) string {
	name := ""
	if !value.IsObject() {
		return name
	}
	value.ReadObject(func(field string, value jsonfield.Value) {
		if field == "name" {
			name, _ = value.Text()
		}
	})
	return name
}

func (d *Document) rawExtra(name string) ([]byte, bool) {
	for _, field := range d.extras {
		if field.name == name {
			return field.raw, true
		}
	}
	return nil, false
}

// mergeExtra replaces a field that is not known. Lists of named items are merged by name, as those that are known.
func (d *Document) mergeExtra(field extraField) {
	raw, _ := d.rawExtra(field.name)
	current, currentNamed := namedItems(raw)
	replacements, named := namedItems(field.raw)
	if !currentNamed || !named {
		d.setExtra(field)
		return
	}
	positions := make(map[string]int, len(current))
	for position, item := range current {
		positions[item.name] = position
	}
	for _, item := range replacements {
		if position, known := positions[item.name]; known {
			current[position] = item
			continue
		}
		current = append(current, item)
	}
	d.setExtra(extraField{name: field.name, raw: encodeItems(current)})
}

// removeFromExtra removes items from a list of named items that is not known; any other field stays as it is.
func (d *Document) removeFromExtra(removed removedItems) {
	raw, _ := d.rawExtra(removed.field)
	current, named := namedItems(raw)
	if !named {
		return
	}
	kept := slices.DeleteFunc(current, func(item namedItem) bool { return slices.Contains(removed.names, item.name) })
	d.setExtra(extraField{name: removed.field, raw: encodeItems(kept)})
}

func encodeItems(items []namedItem) []byte {
	var writer jx.Writer
	writer.ArrStart()
	for i, item := range items {
		if i > 0 {
			writer.Comma()
		}
		writer.Raw(item.raw)
	}
	writer.ArrEnd()
	return writer.Buf
}
