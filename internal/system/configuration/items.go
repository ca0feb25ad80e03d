package configuration

import (
	"bytes"
	"cmp"
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

// NoDocumentError says that there is no configuration among the items.
type NoDocumentError struct{}

// Error says what happened.
func (e *NoDocumentError) Error() string {
	return "configuration: no configuration has been accepted yet"
}

// MalformedItemError says that a stored item cannot be read.
type MalformedItemError struct {
	Key   string // of the item; empty where only the value was passed, such as by DecodeRoute
	Cause error
}

// Error names the item and says what is wrong with it.
func (e *MalformedItemError) Error() string {
	return fmt.Sprintf("configuration: stored item %q cannot be read: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedItemError) Unwrap() error { return e.Cause }

// FromItems returns the document that stored items make; keys that belong to no document are ignored. An error is a
// *NoDocumentError or a *MalformedItemError. The document keeps parts of the values, which must not be altered.
func FromItems(items iter.Seq2[string, []byte]) (*Document, error) {
	return FromItemsReusing(nil, items)
}

// FromItemsReusing is FromItems for items of which most are those of another document, nil for none: items with the
// same text are not parsed again.
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
			document.routes, err = appendEntry(document.routes, routes[key[len(feed.KeyPrefixRoute):]], value,
				parseRoute, routeName)
		case strings.HasPrefix(key, feed.KeyPrefixService):
			document.services, err = appendEntry(document.services, services[key[len(feed.KeyPrefixService):]], value,
				parseService,
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
	if order := cmp.Compare(a.ordinal, b.ordinal); order != 0 {
		return order
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

// appendEntry appends a stored item. It is not parsed if known, which may be nil, has the same text.
func appendEntry[M any](
	entries []entry[M], known *entry[M], value []byte, parse func(jsonfield.Value) *M, name func(*M) string,
) ([]entry[M], error) {
	if known != nil && len(value) >= ordinalSize && bytes.Equal(known.raw, value[ordinalSize:]) {
		same := entry[M]{
			name:    known.name,
			ordinal: binary.BigEndian.Uint64(value),
			raw:     value[ordinalSize:],
			model:   known.model,
		}
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

// DecodeVersion decodes the value of feed.KeyVersion. An error is a *MalformedItemError.
func DecodeVersion(value []byte) (uint64, error) {
	version, err := decodeVersion(value)
	if err != nil {
		return 0, &MalformedItemError{Key: feed.KeyVersion, Cause: err}
	}
	return version, nil
}

// DecodeRoute decodes the value of a route's item. An error is a *MalformedItemError.
func DecodeRoute(value []byte) (*Route, error) {
	route, err := decodeWithOrdinal(value, parseRoute)
	if err != nil {
		return nil, &MalformedItemError{Cause: err}
	}
	return route, nil
}

// DecodeService decodes the value of a service's item. An error is a *MalformedItemError.
func DecodeService(value []byte) (*Service, error) {
	service, err := decodeWithOrdinal(value, parseService)
	if err != nil {
		return nil, &MalformedItemError{Cause: err}
	}
	return service, nil
}

// DecodeLimits decodes the value of the limits' item. An error is a *MalformedItemError.
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
