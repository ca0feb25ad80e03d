package configuration

import (
	"bytes"
	"encoding/binary"
	"strconv"

	"cinderroad/internal/system/feed"
)

// ordinalSize is the number of bytes of the ordinal before the JSON of a stored route or service.
const ordinalSize = 8

// Write sets or deletes an item of the configuration partition; package feed describes the keys and values.
type Write struct {
	Key     string
	Value   []byte
	Deleted bool
}

// Writes returns the writes that store the complete document.
func (d *Document) Writes() []Write { return Diff(nil, d) }

// Diff returns the writes that turn the items of the stored document old, nil for none, into those of next. Items that
// stay the same, in the same order among themselves, are not written.
func Diff(old, next *Document) []Write {
	if old == nil {
		old = &Document{}
	}
	next = next.AlignOrdinals(old)
	var writes []Write
	if old.version != next.version {
		version := strconv.AppendUint(nil, next.version, 10)
		writes = append(writes, Write{Key: feed.KeyVersion, Value: version})
	}
	writes = append(writes, diffLimits(old, next)...)
	writes = append(writes, diffExtras(old.extras, next.extras)...)
	writes = append(writes, diffEntries(feed.KeyPrefixService, old.services, next.services)...)
	return append(writes, diffEntries(feed.KeyPrefixRoute, old.routes, next.routes)...)
}

// diffLimits returns the write of changed limits, if any.
func diffLimits(old, next *Document) []Write {
	switch {
	case next.limits == nil && old.limits == nil:
		return nil
	case next.limits == nil:
		return []Write{{Key: feed.KeyLimits, Deleted: true}}
	case old.limits != nil && bytes.Equal(old.rawLimits, next.rawLimits):
		return nil
	}
	return []Write{{Key: feed.KeyLimits, Value: bytes.Clone(next.rawLimits)}}
}

// diffExtras returns the writes for fields that this version does not know.
func diffExtras(old, next []extraField) []Write {
	remaining := make(map[string][]byte, len(old))
	for _, field := range old {
		remaining[field.name] = field.raw
	}
	var writes []Write
	for _, field := range next {
		raw, known := remaining[field.name]
		if !known || !bytes.Equal(raw, field.raw) {
			writes = append(writes, Write{Key: feed.KeyPrefixExtra + field.name, Value: bytes.Clone(field.raw)})
		}
		delete(remaining, field.name)
	}
	for _, field := range old {
		if _, removed := remaining[field.name]; removed {
			writes = append(writes, Write{Key: feed.KeyPrefixExtra + field.name, Deleted: true})
		}
	}
	return writes
}

// diffEntries returns the writes for a list of items; key is the prefix of their keys.
func diffEntries[M any](key string, old, next []entry[M]) []Write {
	remaining := make(map[string]entry[M], len(old))
	for _, item := range old {
		remaining[item.name] = item
	}
	var writes []Write
	for _, item := range next {
		before, known := remaining[item.name]
		if !known || before.ordinal != item.ordinal || !bytes.Equal(before.raw, item.raw) {
			writes = append(writes, Write{Key: key + item.name, Value: item.encode()})
		}
		delete(remaining, item.name)
	}
	for _, item := range old {
		if _, removed := remaining[item.name]; removed {
			writes = append(writes, Write{Key: key + item.name, Deleted: true})
		}
	}
	return writes
}

// encode returns the stored form of an item: its ordinal, then its JSON.
func (e entry[M]) encode() []byte {
	value := make([]byte, 0, ordinalSize+len(e.raw))
	value = binary.BigEndian.AppendUint64(value, e.ordinal)
	return append(value, e.raw...)
}

// AlignOrdinals returns the same document with the ordinals of the items of a stored document, nil for none, as far as
// their order permits it. Diff does so itself; a caller that goes on to use a document after it stored the difference
// calls it first.
func (d *Document) AlignOrdinals(old *Document) *Document {
	if old == nil {
		old = &Document{}
	}
	aligned := d.clone()
	alignEntries(old.routes, aligned.routes)
	alignEntries(old.services, aligned.services)
	return aligned
}

// alignEntries gives the items of next the ordinals that items of the same names have in old, as far as the order
// permits.
func alignEntries[M any](old, next []entry[M]) {
	ordinals := make(map[string]uint64, len(old))
	for _, item := range old {
		ordinals[item.name] = item.ordinal
	}
	current := make([]uint64, len(next))
	for i, item := range next {
		current[i] = ordinals[item.name]
	}
	setOrdinals(next, alignOrdinals(current))
}

func setOrdinals[M any](entries []entry[M], ordinals []uint64) {
	for i, ordinal := range ordinals {
		entries[i].ordinal = ordinal
	}
}
