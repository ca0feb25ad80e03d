package configuration

import "slices"

// apply returns the document that a change makes of this one. Replaced items keep their position, new ones come last,
// and the removal of a name that is not there changes nothing. The result need not be valid.
func (d *Document) apply(change *Change) *Document {
	changed := d.clone()
	changed.version = change.version
	changed.routes = replaceEntries(removeEntries(changed.routes, change.removedRoutes), change.routes)
	changed.services = replaceEntries(removeEntries(changed.services, change.removedServices), change.services)
	if change.limits != nil {
		changed.limits = change.limits
		changed.rawLimits = change.rawLimits
	}
	for _, removed := range change.removedExtras {
		changed.removeFromExtra(removed)
	}
	for _, field := range change.extras {
		changed.mergeExtra(field)
	}
	return changed
}

// removeEntries returns the items without those of the given names. It reuses the memory of entries.
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

// replaceEntries replaces items by those of the same name, in their positions, and appends the others.
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
	setOrdinals(entries, alignOrdinals(current))
	return entries
}
