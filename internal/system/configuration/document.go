package configuration

import (
	"slices"
	"strconv"

	"github.com/go-faster/jx"
)

// Names of a document's fields.
const (
	fieldVersion  = "version"
	fieldRoutes   = "routes"
	fieldServices = "services"
	fieldLimits   = "limits"
)

// entry is an item of a list, with its JSON as the operator wrote it.
type entry[M any] struct {
	name    string
	ordinal uint64 // position of the item in its list, relative to the others: see alignOrdinals
	raw     []byte
	model   *M
}

// Document is a complete configuration. It is immutable: a change is applied to a copy.
type Document struct {
	version   uint64
	routes    []entry[Route]
	services  []entry[Service]
	limits    *Limits // nil: none
	rawLimits []byte
	extras    []extraField // sorted by name
}

// Version returns the version that the operator gave to the document.
func (d *Document) Version() uint64 { return d.version }

// Routes returns the routes in the operator's order. They must not be altered.
func (d *Document) Routes() []*Route { return models(d.routes) }

// Services returns the services in the operator's order. They must not be altered.
func (d *Document) Services() []*Service { return models(d.services) }

// Limits returns the limits on client requests; known is false if the document has none.
func (d *Document) Limits() (limits Limits, known bool) {
	if d.limits == nil {
		return Limits{}, false
	}
	return *d.limits, true
}

func models[M any](entries []entry[M]) []*M {
	list := make([]*M, 0, len(entries))
	for _, item := range entries {
		list = append(list, item.model)
	}
	return list
}

// Encode returns the document as the operator wrote it: the same items in the same order, each with its own text.
// Fields that this version does not know come last, by name.
func (d *Document) Encode() []byte {
	writer := jx.Writer{Buf: make([]byte, 0, d.encodedSize())}
	writer.RawStr(`{"` + fieldVersion + `":`)
	writer.RawStr(strconv.FormatUint(d.version, 10))
	writer.RawStr(`,"` + fieldRoutes + `":`)
	writeEntries(&writer, d.routes)
	writer.RawStr(`,"` + fieldServices + `":`)
	writeEntries(&writer, d.services)
	if d.limits != nil {
		writer.RawStr(`,"` + fieldLimits + `":`)
		writer.Raw(d.rawLimits)
	}
	for _, field := range d.extras {
		writer.Comma()
		writer.Str(field.name)
		writer.RawStr(":")
		writer.Raw(field.raw)
	}
	writer.ObjEnd()
	return writer.Buf
}

func writeEntries[M any](writer *jx.Writer, entries []entry[M]) {
	writer.ArrStart()
	for i, item := range entries {
		if i > 0 {
			writer.Comma()
		}
		writer.Raw(item.raw)
	}
	writer.ArrEnd()
}

// encodedSize returns about how many bytes Encode returns, so that it allocates once.
func (d *Document) encodedSize() int {
	size := 128 + len(d.rawLimits)
	for _, item := range d.routes {
		size += len(item.raw) + 1
	}
	for _, item := range d.services {
		size += len(item.raw) + 1
	}
	for _, field := range d.extras {
		size += len(field.raw) + len(field.name) + 4
	}
	return size
}

// clone returns a copy whose lists may be altered; it shares their items.
func (d *Document) clone() *Document {
	copied := *d
	copied.routes = slices.Clone(d.routes)
	copied.services = slices.Clone(d.services)
	copied.extras = slices.Clone(d.extras)
	return &copied
}
