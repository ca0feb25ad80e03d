package auditlog

import (
	"fmt"
	"html"
	"io"
	"math"
	"slices"
)

// Sizes of the plot in pixels, and the bounds in seconds of its logarithmic scale of delays.
const (
	plotWidth   = 960
	plotHeight  = 420
	plotLeft    = 70
	plotBottom  = 40
	plotTop     = 20
	legendWidth = 150
	minDelay    = 0.001
	maxDelay    = 1000.0

	maxLegendEntries = 24
	legendLineHeight = 16
)

var plotColours = []string{"#1b6ca8", "#d1495b", "#66a182", "#edae49", "#8d5a97", "#3c3c3c", "#00798c", "#a44200"}

// Plot draws when each dispatcher learned each version, as SVG: the time of the version across, the delay after the
// first dispatcher upwards.
func (r *Report) Plot(w io.Writer) error {
	p := newPlot(w, r.Versions)
	p.printf(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`,
		plotWidth, plotHeight)
	p.printf(`<rect width="100%%" height="100%%" fill="white"/>`)
	p.drawScale()
	for i, dispatcher := range dispatchersOf(r.Versions) {
		colour := plotColours[i%len(plotColours)]
		if i < maxLegendEntries {
			p.drawLegendEntry(i, dispatcher, colour)
		}
		for j := range r.Versions {
			p.drawVersion(&r.Versions[j], dispatcher, colour)
		}
	}
	p.printf(`</svg>`)
	return p.err
}

// plot writes an SVG. After the first error nothing more is written.
type plot struct {
	out      io.Writer
	from, to float64 // time of the first version; of the last one
	err      error
}

func newPlot(out io.Writer, versions []Version) *plot {
	p := &plot{out: out, from: math.Inf(1), to: math.Inf(-1)}
	for _, version := range versions {
		p.from = min(p.from, version.At)
		p.to = max(p.to, version.At)
	}
	if p.to <= p.from {
		p.to = p.from + 1
	}
	return p
}

// dispatchersOf returns the dispatchers that learned a version after the first one, or did not learn it, by name.
func dispatchersOf(versions []Version) []string {
	var dispatchers []string
	add := func(dispatcher string) {
		if !slices.Contains(dispatchers, dispatcher) {
			dispatchers = append(dispatchers, dispatcher)
		}
	}
	for _, version := range versions {
		for _, adoption := range version.Adoptions {
			add(adoption.Dispatcher)
		}
		for _, dispatcher := range version.Never {
			add(dispatcher)
		}
	}
	slices.Sort(dispatchers)
	return dispatchers
}

func (p *plot) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format+"\n", args...)
	}
}

// x returns the place of a time.
func (p *plot) x(at float64) float64 {
	return plotLeft + (at-p.from)/(p.to-p.from)*(plotWidth-plotLeft-legendWidth)
}

// y returns the place of a delay.
func (p *plot) y(delay float64) float64 {
	share := math.Log(min(max(delay, minDelay), maxDelay)/minDelay) / math.Log(maxDelay/minDelay)
	return plotHeight - plotBottom - share*(plotHeight-plotBottom-plotTop)
}

func (p *plot) drawScale() {
	for delay := minDelay; delay <= maxDelay*1.01; delay *= 10 {
		y := p.y(delay)
		p.printf(`<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ddd"/><text x="%d" y="%.1f" text-anchor="end">%g s</text>`,
			plotLeft, plotWidth-legendWidth, y, y, plotLeft-6, y+4, delay)
	}
	p.printf(`<text x="%d" y="%d">versions, over %.1f s; delay after the first member that knew each</text>`,
		plotLeft, plotHeight-12, p.to-p.from)
}

func (p *plot) drawLegendEntry(index int, dispatcher, colour string) {
	p.printf(`<circle cx="%d" cy="%d" r="4" fill="%s"/><text x="%d" y="%d">%s</text>`,
		plotWidth-138, 26+legendLineHeight*index, colour,
		plotWidth-128, 30+legendLineHeight*index, html.EscapeString(dispatcher))
}

// drawVersion draws when a dispatcher learned a version: a dot, or a cross if it never did.
func (p *plot) drawVersion(version *Version, dispatcher, colour string) {
	name := html.EscapeString(dispatcher)
	for _, adoption := range version.Adoptions {
		if adoption.Dispatcher == dispatcher {
			p.printf(`<circle cx="%.1f" cy="%.1f" r="2.5" fill="%s"><title>%s: version %d after %.3f s</title></circle>`,
				p.x(version.At), p.y(adoption.After), colour, name, version.Revision, adoption.After)
		}
	}
	if slices.Contains(version.Never, dispatcher) {
		p.printf(`<path d="M%.1f %.1f l6 6 m0 -6 l-6 6" stroke="%s"><title>%s: version %d never</title></path>`,
			p.x(version.At)-3, p.y(maxDelay)-3, colour, name, version.Revision)
	}
}
