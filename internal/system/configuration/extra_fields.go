package configuration

import (
	"slices"
	"strings"

	"github.com/go-faster/jx"

	"cinderroad/internal/system/jsonfield"
	"cinderroad/internal/system/validation"
)

// removedItems names items to be removed from a list that this version does not know.
type removedItems struct {
	field string
	names []string
}

// namedItem is an item of a list that this version does not know.
type namedItem struct {
	name string
	raw  []byte
}

// namedItems returns the items of a list if it is one of objects with names that differ.
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

// nameOf returns the name of an object; empty if it has none.
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

// rawExtra returns the text of a field that this version does not know, and whether there is one.
func (d *Document) rawExtra(name string) ([]byte, bool) {
	for _, field := range d.extras {
		if field.name == name {
			return field.raw, true
		}
	}
	return nil, false
}

// mergeExtra replaces a field that this version does not know. Lists of named items are merged by name, as the known
// lists are.
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

// removeFromExtra removes items from a list of named items that this version does not know. Any other field stays as it
// is.
func (d *Document) removeFromExtra(removed removedItems) {
	raw, _ := d.rawExtra(removed.field)
	current, named := namedItems(raw)
	if !named {
		return
	}
	remaining := slices.DeleteFunc(current, func(item namedItem) bool { return slices.Contains(removed.names, item.name) })
	d.setExtra(extraField{name: removed.field, raw: encodeItems(remaining)})
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

// extraField is a field of the document that this version does not know.
type extraField struct {
	name string
	raw  []byte
}

// setExtra adds or replaces a field that this version does not know.
func (d *Document) setExtra(field extraField) {
	position, found := slices.BinarySearchFunc(d.extras, field.name, func(existing extraField, name string) int {
		return strings.Compare(existing.name, name)
	})
	if found {
		d.extras[position] = field
		return
	}
	d.extras = slices.Insert(d.extras, position, field)
}
