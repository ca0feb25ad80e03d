package configuration

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"iter"
	"slices"
	"strconv"
	"strings"

	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/jsonfield"
	"cinderroad/internal/system/validation"
)

// ordinalSize is the length of the ordinal before the JSON of a stored route or service.
const ordinalSize = 8

// Write sets or deletes an item of the configuration partition; see package feed for the keys.
type Write struct {
	Key     string
	Value   []byte
	Deleted bool
}

// NoDocumentError says that there is no configuration among the items.
type NoDocumentError struct{}

// Error says what happened.
func (e *NoDocumentError) Error() string {
	return "configuration: no configuration has been taken yet"
}

// MalformedItemError says that a stored item cannot be read.
type MalformedItemError struct {
	Key   string // empty: not known
	Cause error
}

// Error says what happened.
func (e *MalformedItemError) Error() string {
	return fmt.Sprintf("configuration: stored item %q cannot be read: %v", e.Key, e.Cause)
}

// Unwrap is the error with the findings.
func (e *MalformedItemError) Unwrap() error { return e.Cause }

// Writes are the writes that store the whole document.
func (d *Document) Writes() []Write { return Diff(nil, d) }

// Diff are the writes that bring the items of a stored document, nil for none, to those of the next one. Items that
// stay as they are, in the same order among themselves, are not written.
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
		if _, gone := remaining[field.name]; gone {
			writes = append(writes, Write{Key: feed.KeyPrefixExtra + field.name, Deleted: true})
		}
	}
	return writes
}

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
		if _, gone := remaining[item.name]; gone {
			writes = append(writes, Write{Key: key + item.name, Deleted: true})
		}
	}
	return writes
}

func (e entry[M]) encode() []byte {
	value := make([]byte, 0, ordinalSize+len(e.raw))
	value = binary.BigEndian.AppendUint64(value, e.ordinal)
	return append(value, e.raw...)
}

// AlignOrdinals is the same document with its items numbered as those of a stored document, nil for none, as far as their
// order allows it. Diff does so by itself; whoever goes on to use a document after storing its difference rebases it
// first.
func (d *Document) AlignOrdinals(old *Document) *Document {
	if old == nil {
		old = &Document{}
	}
	rebased := d.clone()
	alignEntries(old.routes, rebased.routes)
	alignEntries(old.services, rebased.services)
	return rebased
}

func alignEntries[M any](old, next []entry[M]) {
	ordinals := make(map[string]uint64, len(old))
	for _, item := range old {
		ordinals[item.name] = item.ordinal
	}
	current := make([]uint64, len(next))
	for i, item := range next {
		current[i] = ordinals[item.name]
	}
	for i, ordinal := range alignOrdinals(current) {
		next[i].ordinal = ordinal
	}
}

// FromItems is the document that stored items make; keys that are not of a document are passed over. The error is a
// *NoDocumentError or a *MalformedItemError. The document keeps parts of the values, which must not be altered.
func FromItems(items iter.Seq2[string, []byte]) (*Document, error) {
	return FromItemsReusing(nil, items)
}

// FromItemsReusing is FromItems for items of which most are those of another document, nil for none: these are not read
// anew.
func FromItemsReusing(other *Document, items iter.Seq2[string, []byte]) (*Document, error) {
	if other == nil {
		other = &Document{}
	}
	routes, services := indexByName(other.routes), indexByName(other.services)
	document := &Document{}
	stored := false
	for key, value := range items {
		var err error
		switch {
		case key == feed.KeyVersion:
			stored = true
			document.version, err = decodeVersion(value)
		case key == feed.KeyLimits:
			document.limits, err = DecodeLimits(value)
			document.rawLimits = value
		case strings.HasPrefix(key, feed.KeyPrefixExtra):
			document.extras = append(document.extras, extraField{name: key[len(feed.KeyPrefixExtra):], raw: value})
		case strings.HasPrefix(key, feed.KeyPrefixRoute):
			document.routes, err = appendEntry(document.routes, routes[key[len(feed.KeyPrefixRoute):]], value, parseRoute, routeName)
		case strings.HasPrefix(key, feed.KeyPrefixService):
			document.services, err = appendEntry(document.services, services[key[len(feed.KeyPrefixService):]], value, parseService,
				serviceName)
		}
		if err != nil {
			return nil, &MalformedItemError{Key: key, Cause: err}
		}
	}
	if !stored {
		return nil, &NoDocumentError{}
	}
	slices.SortFunc(document.routes, compareOrdinals)
	slices.SortFunc(document.services, compareOrdinals)
	slices.SortFunc(document.extras, func(a, b extraField) int { return strings.Compare(a.name, b.name) })
	return document, nil
}

func compareOrdinals[M any](a, b entry[M]) int {
	switch {
	case a.ordinal < b.ordinal:
		return -1
	case a.ordinal > b.ordinal:
		return 1
	}
	return strings.Compare(a.name, b.name)
}

func indexByName[M any](entries []entry[M]) map[string]*entry[M] {
	named := make(map[string]*entry[M], len(entries))
	for i := range entries {
		named[entries[i].name] = &entries[i]
	}
	return named
}

// appendEntry reads a stored item, unless known, which may be nil, is that item.
func appendEntry[M any](
	entries []entry[M], known *entry[M], value []byte, parse func(jsonfield.Value) *M, name func(*M) string,
) ([]entry[M], error) {
	if known != nil && len(value) >= ordinalSize && bytes.Equal(known.raw, value[ordinalSize:]) {
		same := entry[M]{name: known.name, ordinal: binary.BigEndian.Uint64(value), raw: value[ordinalSize:],
			model: known.model}
		return append(entries, same), nil
	}
	model, err := decodeWithOrdinal(value, parse)
	if err != nil {
		return nil, err
	}
	yieldProcessor(len(entries))
	ordinal := binary.BigEndian.Uint64(value)
	item := entry[M]{name: name(model), ordinal: ordinal, raw: value[ordinalSize:], model: model}
	return append(entries, item), nil
}

func decodeVersion(value []byte) (uint64, error) {
	version, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("the version is not a number: %w", err)
	}
	return version, nil
}

// DecodeVersion reads the value of feed.KeyVersion.
func DecodeVersion(value []byte) (uint64, error) {
	version, err := decodeVersion(value)
	if err != nil {
		return 0, &MalformedItemError{Key: feed.KeyVersion, Cause: err}
	}
	return version, nil
}

// DecodeRoute reads the value of a route's item. The error is a *MalformedItemError.
func DecodeRoute(value []byte) (*Route, error) {
	route, err := decodeWithOrdinal(value, parseRoute)
	if err != nil {
		return nil, &MalformedItemError{Cause: err}
	}
	return route, nil
}

// DecodeService reads the value of a service's item. The error is a *MalformedItemError.
func DecodeService(value []byte) (*Service, error) {
	service, err := decodeWithOrdinal(value, parseService)
	if err != nil {
		return nil, &MalformedItemError{Cause: err}
	}
	return service, nil
}

// DecodeLimits reads the value of the limits' item. The error is a *MalformedItemError.
func DecodeLimits(value []byte) (*Limits, error) {
	limits, err := decode(value, parseLimits)
	if err != nil {
		return nil, &MalformedItemError{Key: feed.KeyLimits, Cause: err}
	}
	return limits, nil
}

func decodeWithOrdinal[M any](value []byte, parse func(jsonfield.Value) *M) (*M, error) {
	if len(value) < ordinalSize {
		var problems validation.Problems
		problems.Add("", "is too short to hold its ordinal")
		return nil, problems.Err()
	}
	return decode(value[ordinalSize:], parse)
}

func decode[M any](raw []byte, parse func(jsonfield.Value) *M) (*M, error) {
	var problems validation.Problems
	value, ok := jsonfield.Parse(raw, &problems)
	if !ok {
		return nil, problems.Err()
	}
	model := parse(value)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return model, nil
}
