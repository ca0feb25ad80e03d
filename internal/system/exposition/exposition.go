// Package exposition writes and serves the metrics of a process in the Prometheus text format: for each metric family
// its help text and type, and one line for each sample.
package exposition

import (
	"net/http"
	"strconv"
	"strings"
)

// ContentType is the media type of a page of metrics.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// Path is where every role serves its metrics.
const Path = "/metrics"

// Kind is the type of a metric family.
type Kind string

// The types of metric families.
const (
	Counter Kind = "counter" // never falls during the life of the process
	Gauge   Kind = "gauge"   // rises and falls
)

// Label distinguishes a sample from others of its family.
type Label struct{ Name, Value string }

// Page collects metrics in text form. The zero value is an empty page.
type Page struct {
	text          []byte
	currentFamily string // name of the family that Sample adds to
}

// Family begins a metric family; its samples must follow. A page must have each family once. Names of families and labels are
// written as they are, so they must be valid in the format; help texts and label values may be any text.
func (p *Page) Family(kind Kind, name, help string) {
	p.currentFamily = name
	p.text = append(p.text, "# HELP "+name+" "+helpEscaper.Replace(help)+"\n# TYPE "+name+" "+string(kind)+"\n"...)
}

// Sample adds a sample to the family that was begun last. Within a family, each sample needs other label values.
func (p *Page) Sample(value float64, labels ...Label) {
	p.text = append(p.text, p.currentFamily...)
	for i, label := range labels {
		separator := byte(',')
		if i == 0 {
			separator = '{'
		}
		p.text = append(p.text, separator)
		p.text = append(p.text, label.Name+`="`+valueEscaper.Replace(label.Value)+`"`...)
	}
	if len(labels) > 0 {
		p.text = append(p.text, '}')
	}
	p.text = append(p.text, ' ')
	p.text = strconv.AppendFloat(p.text, value, 'g', -1, 64)
	p.text = append(p.text, '\n')
}

// Metric adds a family with a single sample without labels.
func (p *Page) Metric(kind Kind, name, help string, value float64) {
	p.Family(kind, name, help)
	p.Sample(value)
}

// Bytes returns the text of the page so far. It must not be altered.
func (p *Page) Bytes() []byte { return p.text }

// BoolValue returns the value of a metric that is true or false: 1 or 0.
func BoolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

var (
	helpEscaper  = strings.NewReplacer(`\`, `\\`, "\n", `\n`)
	valueEscaper = strings.NewReplacer(`\`, `\\`, "\n", `\n`, `"`, `\"`)
)

// Handler returns a handler that serves, at Path, a page that fill writes anew for each request.
func Handler(fill func(*Page)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		var page Page
		fill(&page)
		w.Header().Set("Content-Type", ContentType)
		w.Header().Set("Content-Length", strconv.Itoa(len(page.text)))
		w.Write(page.text) //nolint:errcheck // the client has disconnected: there is nobody to notify
	})
	return mux
}
