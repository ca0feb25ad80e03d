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
	plotWide, plotHigh   = 960, 420
	plotLeft, plotBottom = 70, 40
	plotLeast, plotMost  = 0.001, 1000.0
)

var plotColours = []string{"#1b6ca8", "#d1495b", "#66a182", "#edae49", "#8d5a97", "#3c3c3c", "#00798c", "#a44200"}

// Plot draws when each dispatcher learned each version, as SVG: the time of the version across, the delay after the
// first dispatcher upwards.
func (r *Report) Plot(w io.Writer) error {
	var members []string
	from, to := math.Inf(1), math.Inf(-1)
	for _, v := range r.Versions {
		from, to = min(from, v.At), max(to, v.At)
		for _, t := range v.Adoptions {
			if !slices.Contains(members, t.Dispatcher) {
				members = append(members, t.Dispatcher)
			}
		}
		for _, by := range v.Never {
			if !slices.Contains(members, by) {
				members = append(members, by)
			}
		}
	}
	slices.Sort(members)
	if to <= from {
		to = from + 1
	}
	x := func(at float64) float64 { return plotLeft + (at-from)/(to-from)*(plotWide-plotLeft-150) }
	y := func(after float64) float64 {
		share := math.Log(min(max(after, plotLeast), plotMost)/plotLeast) / math.Log(plotMost/plotLeast)
		return plotHigh - plotBottom - share*(plotHigh-plotBottom-20)
	}
	var err error
	put := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, format+"\n", args...)
		}
	}
	put(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`, plotWide, plotHigh)
	put(`<rect width="100%%" height="100%%" fill="white"/>`)
	for after := plotLeast; after <= plotMost*1.01; after *= 10 {
		put(`<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ddd"/><text x="%d" y="%.1f" text-anchor="end">%g s</text>`,
			plotLeft, plotWide-150, y(after), y(after), plotLeft-6, y(after)+4, after)
	}
	put(`<text x="%d" y="%d">versions, over %.1f s; delay after the first member that knew each</text>`, plotLeft, plotHigh-12, to-from)
	for i, by := range members {
		colour := plotColours[i%len(plotColours)]
		if i < 24 {
			put(`<circle cx="%d" cy="%d" r="4" fill="%s"/><text x="%d" y="%d">%s</text>`, plotWide-138, 26+16*i, colour, plotWide-128, 30+16*i, html.EscapeString(by))
		}
		for _, v := range r.Versions {
			for _, t := range v.Adoptions {
				if t.Dispatcher == by {
					put(`<circle cx="%.1f" cy="%.1f" r="2.5" fill="%s"><title>%s: version %d after %.3f s</title></circle>`, x(v.At), y(t.After), colour, html.EscapeString(by), v.Revision, t.After)
				}
			}
			if slices.Contains(v.Never, by) {
				put(`<path d="M%.1f %.1f l6 6 m0 -6 l-6 6" stroke="%s"><title>%s: version %d never</title></path>`, x(v.At)-3, y(plotMost)-3, colour, html.EscapeString(by), v.Revision)
			}
		}
	}
	put(`</svg>`)
	return err
}
