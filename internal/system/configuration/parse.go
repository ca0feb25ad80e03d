package configuration

import (
	"runtime"
	"unicode/utf8"

	"cinderroad/internal/system/jsonfield"
	"cinderroad/internal/system/validation"
)

// Parse parses a document. An error is a *validation.Error with all problems. The document need not be valid: see
// Validate. It keeps parts of body, which must not be altered.
func Parse(body []byte) (*Document, error) {
	var problems validation.Problems
	document := parse(body, &problems)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return document, nil
}

// ParseAndValidate parses a document and validates it against the version that is in force, 0 for none. An error
// is a *validation.Error with all problems. The document keeps parts of body, which must not be altered.
func ParseAndValidate(body []byte, current uint64) (*Document, error) {
	var problems validation.Problems
	document := parse(body, &problems)
	if document != nil {
		document.validate(current, &problems)
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return document, nil
}

// parse returns what could be read of a document; nil if it is not an object at all.
func parse(body []byte, problems *validation.Problems) *Document {
	root, ok := parseRoot(body, problems)
	if !ok {
		return nil
	}
	parser := documentParser{document: &Document{}}
	if !root.ReadStrictObject(parser.readField) {
		return nil
	}
	parser.checkRequired(root)
	return parser.document
}

// parseRoot parses a body, which must be JSON in UTF-8.
func parseRoot(body []byte, problems *validation.Problems) (jsonfield.Value, bool) {
	if !utf8.Valid(body) {
		problems.Add("", "is not valid UTF-8")
		return jsonfield.Value{}, false
	}
	return jsonfield.Parse(body, problems)
}

type documentParser struct {
	document                           *Document
	hasVersion, hasRoutes, hasServices bool
}

// readField reads a top-level field. One that this version does not know is kept as it was written.
func (r *documentParser) readField(name string, value jsonfield.Value) {
	document := r.document
	switch name {
	case fieldVersion:
		document.version, _ = value.Uint64()
		r.hasVersion = true
	case fieldRoutes:
		document.routes = parseEntries(value, parseRoute, routeName)
		r.hasRoutes = true
	case fieldServices:
		document.services = parseEntries(value, parseService, serviceName)
		r.hasServices = true
	case fieldLimits:
		document.limits = parseLimits(value)
		document.rawLimits = value.Raw()
	default:
		document.setExtra(extraField{name: name, raw: value.Raw()})
	}
}

func (r *documentParser) checkRequired(root jsonfield.Value) {
	if !r.hasVersion {
		root.AddProblem("has no " + fieldVersion)
	}
	if !r.hasRoutes {
		root.AddProblem("has no " + fieldRoutes)
	}
	if !r.hasServices {
		root.AddProblem("has no " + fieldServices)
	}
}

// parseEntries parses a list of items.
func parseEntries[M any](list jsonfield.Value, parse func(jsonfield.Value) *M, name func(*M) string) []entry[M] {
	var entries []entry[M]
	list.ReadArray(func(index int, value jsonfield.Value) {
		model := parse(value)
		item := entry[M]{name: name(model), ordinal: evenOrdinal(index), raw: value.Raw(), model: model}
		entries = append(entries, item)
		yieldProcessor(index)
	})
	return entries
}

// entriesPerYield is the number of entries that are parsed without a pause.
const entriesPerYield = 32

// yieldProcessor lets other goroutines run now and then while many entries are parsed. Without it a process with one
// processor that parses megabytes would miss its heartbeats.
func yieldProcessor(entries int) {
	if entries%entriesPerYield == entriesPerYield-1 {
		runtime.Gosched()
	}
}

func routeName(route *Route) string { return route.Name }

func serviceName(service *Service) string { return service.Name }
