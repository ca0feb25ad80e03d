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
	limitsRaw []byte
	extras    []extra // fields of the document that are not known

	removedRoutes   []string
	removedServices []string
	removedExtras   []removal
}

// removal is names to remove from a list that is not known.
type removal struct {
	field string
	names []string
}

// Version is the number of the document that the change makes.
func (c *Change) Version() uint64 { return c.version }

// ParseChange reads a change. All that keeps it from being read comes together, in a *findings.Error; whether it makes
// sense is for Validate of the document that it makes to say. The change keeps parts of body, which must not be
// altered.
func ParseChange(body []byte) (*Change, error) {
	var list validation.Problems
	change := parseChange(body, &list)
	if err := list.Err(); err != nil {
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
	var list validation.Problems
	var changed *Document
	if change := parseChange(body, &list); change != nil {
		changed = current.apply(change)
		changed.validate(current.version, &list)
	}
	if err := list.Err(); err != nil {
		return nil, err
	}
	return changed, nil
}

func parseChange(body []byte, list *validation.Problems) *Change {
	root, ok := readWhole(body, list)
	if !ok {
		return nil
	}
	reader := changeReader{change: &Change{}}
	if !root.ReadStrictObject(reader.readField) {
		return nil
	}
	if !reader.sawVersion {
		root.AddProblem("has no " + fieldVersion)
	}
	change := reader.change
	checkChanged(change.routes, change.removedRoutes, fieldRoutes, list)
	checkChanged(change.services, change.removedServices, fieldServices, list)
	return change
}

type changeReader struct {
	change     *Change
	sawVersion bool
}

func (r *changeReader) readField(name string, value jsonfield.Value) {
	switch name {
	case fieldVersion:
		r.change.version, _ = value.Uint64()
		r.sawVersion = true
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
		c.routes = readEntries(value, readRoute, routeName)
	case fieldServices:
		c.services = readEntries(value, readService, serviceName)
	case fieldLimits:
		c.limits, c.limitsRaw = readLimits(value), value.Raw()
	default:
		c.extras = append(c.extras, extra{name: name, raw: value.Raw()})
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
		c.removedExtras = append(c.removedExtras, removal{field: name, names: names})
	}
}

// checkChanged finds names that a change uses twice.
func checkChanged[M any](entries []entry[M], removed []string, field string, list *validation.Problems) {
	names := make(map[string]bool, len(entries))
	for i, item := range entries {
		if names[item.name] {
			place := fieldReplace + "." + field + "[" + strconv.Itoa(i) + "].name"
			list.Add(place, "is the name of an earlier item, too: "+strconv.Quote(item.name))
		}
		names[item.name] = true
	}
	for i, name := range removed {
		if names[name] {
			place := fieldRemove + "." + field + "[" + strconv.Itoa(i) + "]"
			list.Add(place, "is replaced by the same change: "+strconv.Quote(name))
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
		changed.limits, changed.limitsRaw = change.limits, change.limitsRaw
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
	places := make(map[string]int, len(entries))
	for place, item := range entries {
		places[item.name] = place
	}
	for _, item := range replacements {
		place, known := places[item.name]
		if known {
			item.ordinal = entries[place].ordinal
			entries[place] = item
			continue
		}
		item.ordinal = 0
		places[item.name] = len(entries)
		entries = append(entries, item)
	}
	return numberNew(entries)
}

// numberNew gives ordinals to the items at the end that have none.
func numberNew[M any](entries []entry[M]) []entry[M] {
	have := make([]uint64, len(entries))
	for i, item := range entries {
		have[i] = item.ordinal
	}
	for i, ordinal := range alignOrdinals(have) {
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
	var list validation.Problems
	value, ok := jsonfield.Parse(raw, &list)
	if !ok || !value.IsArray() {
		return nil, false
	}
	var items []namedItem
	names := map[string]bool{}
	whole := value.ReadArray(func(_ int, element jsonfield.Value) {
		name := nameOf(element)
		ok = ok && name != "" && !names[name]
		names[name] = true
		items = append(items, namedItem{name: name, raw: element.Raw()})
	})
	return items, ok && whole
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

func (d *Document) extra(name string) ([]byte, bool) {
	for _, field := range d.extras {
		if field.name == name {
			return field.raw, true
		}
	}
	return nil, false
}

// mergeExtra replaces a field that is not known. Lists of named items are merged by name, as those that are known.
func (d *Document) mergeExtra(field extra) {
	raw, _ := d.extra(field.name)
	held, heldNamed := namedItems(raw)
	replacements, named := namedItems(field.raw)
	if !heldNamed || !named {
		d.setExtra(field)
		return
	}
	places := make(map[string]int, len(held))
	for place, item := range held {
		places[item.name] = place
	}
	for _, item := range replacements {
		if place, known := places[item.name]; known {
			held[place] = item
			continue
		}
		held = append(held, item)
	}
	d.setExtra(extra{name: field.name, raw: joinItems(held)})
}

// removeFromExtra removes items from a list of named items that is not known; any other field stays as it is.
func (d *Document) removeFromExtra(removed removal) {
	raw, _ := d.extra(removed.field)
	held, named := namedItems(raw)
	if !named {
		return
	}
	kept := slices.DeleteFunc(held, func(item namedItem) bool { return slices.Contains(removed.names, item.name) })
	d.setExtra(extra{name: removed.field, raw: joinItems(kept)})
}

func joinItems(items []namedItem) []byte {
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
