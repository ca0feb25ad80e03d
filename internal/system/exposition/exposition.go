// Package exposition writes a process's own figures as text, in the format that Prometheus and its kin read: for each
// family of figures its help and type, and one line a sample.
package exposition

import (
	"net/http"
	"strconv"
	"strings"
)

// ContentType is the media type of a page.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// Path is where every role serves its page.
const Path = "/metrics"

// Kind says how the samples of a family change.
type Kind string

// The kinds.
const (
	Counter Kind = "counter" // only rises while the process lives
	Gauge   Kind = "gauge"   // rises and falls
)

// Label tells samples of a family apart.
type Label struct{ Name, Value string }

// Page gathers figures. The zero value is an empty page.
type Page struct {
	text          []byte
	currentFamily string
}

// Family begins a family of figures, whose samples follow.
func (p *Page) Family(kind Kind, name, help string) {
	p.currentFamily = name
	p.text = append(p.text, "# HELP "+name+" "+helpEscaper.Replace(help)+"\n# TYPE "+name+" "+string(kind)+"\n"...)
}

// Sample adds a sample to the family that was begun last.
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

// Metric adds a family with one sample.
func (p *Page) Metric(kind Kind, name, help string, value float64) {
	p.Family(kind, name, help)
	p.Sample(value)
}

// Bytes is the page so far.
func (p *Page) Bytes() []byte { return p.text }

// BoolValue is the value of a figure that says yes or no.
func BoolValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

var (
	helpEscaper  = strings.NewReplacer(`\`, `\\`, "\n", `\n`)
	valueEscaper = strings.NewReplacer(`\`, `\\`, "\n", `\n`, `"`, `\"`)
)

// Handler serves at Path a page that is filled anew for each call.
func Handler(fill func(*Page)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		var page Page
		fill(&page)
		w.Header().Set("Content-Type", ContentType)
		w.Header().Set("Content-Length", strconv.Itoa(len(page.text)))
		w.Write(page.text) //nolint:errcheck // the caller has gone: nobody is left to tell
	})
	return mux
}
