package configuration

import (
	"runtime"
	"unicode/utf8"

	"cinderroad/internal/system/jsonfield"
	"cinderroad/internal/system/validation"
)

// Parse reads a whole document. All that keeps it from being read comes together, in a *findings.Error; whether it
// makes sense is for Validate to say. The document keeps parts of body, which must not be altered.
func Parse(body []byte) (*Document, error) {
	var list validation.Problems
	document := parse(body, &list)
	if err := list.Err(); err != nil {
		return nil, err
	}
	return document, nil
}

// ParseAndValidate reads a whole document and validates it against the version that is in force, 0 for none. All findings come
// together, in a *findings.Error. The document keeps parts of body, which must not be altered.
func ParseAndValidate(body []byte, current uint64) (*Document, error) {
	var list validation.Problems
	document := parse(body, &list)
	if document != nil {
		document.validate(current, &list)
	}
	if err := list.Err(); err != nil {
		return nil, err
	}
	return document, nil
}

// parse returns what could be read of a document, nil if it is not an object at all.
func parse(body []byte, list *validation.Problems) *Document {
	root, ok := readWhole(body, list)
	if !ok {
		return nil
	}
	reader := documentReader{document: &Document{}}
	if !root.ReadStrictObject(reader.readField) {
		return nil
	}
	reader.require(root)
	return reader.document
}

// readWhole reads a body that must be JSON in UTF-8.
func readWhole(body []byte, list *validation.Problems) (jsonfield.Value, bool) {
	if !utf8.Valid(body) {
		list.Add("", "is not valid UTF-8")
		return jsonfield.Value{}, false
	}
	return jsonfield.Parse(body, list)
}

type documentReader struct {
	document                          *Document
	sawVersion, sawRoutes, sawService bool
}

func (r *documentReader) readField(name string, value jsonfield.Value) {
	document := r.document
	switch name {
	case fieldVersion:
		document.version, _ = value.Uint64()
		r.sawVersion = true
	case fieldRoutes:
		document.routes = readEntries(value, readRoute, routeName)
		r.sawRoutes = true
	case fieldServices:
		document.services = readEntries(value, readService, serviceName)
		r.sawService = true
	case fieldLimits:
		document.limits, document.limitsRaw = readLimits(value), value.Raw()
	default:
		document.setExtra(extra{name: name, raw: value.Raw()})
	}
}

func (r *documentReader) require(root jsonfield.Value) {
	if !r.sawVersion {
		root.AddProblem("has no " + fieldVersion)
	}
	if !r.sawRoutes {
		root.AddProblem("has no " + fieldRoutes)
	}
	if !r.sawService {
		root.AddProblem("has no " + fieldServices)
	}
}

// readEntries reads a list of items.
func readEntries[M any](list jsonfield.Value, read func(jsonfield.Value) *M, name func(*M) string) []entry[M] {
	var entries []entry[M]
	list.ReadArray(func(index int, value jsonfield.Value) {
		model := read(value)
		item := entry[M]{name: name(model), ordinal: spacedOrdinal(index), raw: value.Raw(), model: model}
		entries = append(entries, item)
		yield(index)
	})
	return entries
}

// yieldEvery is how many entries are read at once.
const yieldEvery = 32

// yield lets others have the processor now and then while many entries are read. A process that has one to itself and
// reads megabytes without a pause misses its heartbeats.
func yield(entries int) {
	if entries%yieldEvery == yieldEvery-1 {
		runtime.Gosched()
	}
}

func routeName(route *Route) string { return route.Name }

func serviceName(service *Service) string { return service.Name }
