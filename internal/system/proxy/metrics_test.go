package proxy

import (
	"net/netip"
	"strings"
	"testing"

	"cinderroad/internal/system/exposition"
)

// figures reads the proxy's page of figures.
func (w *world) figures() string {
	w.t.Helper()
	addr := ""
	w.do(func() { addr = w.proxy.figures.listener.Addr().String() })
	c := dial(w.t, addr)
	c.send("GET " + exposition.Path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	got, body := c.response()
	if got.StatusCode != 200 || got.Header.Get("Content-Type") != exposition.ContentType {
		w.t.Errorf("status %d, type %q", got.StatusCode, got.Header.Get("Content-Type"))
	}
	c.gone()
	return body
}

func withMetrics(o *Options) { o.Metrics = netip.MustParseAddrPort("127.0.0.1:0") }

// The figures tell requests after the signal to stop apart by what they came on.
func TestFiguresOfAStop(t *testing.T) {
	w := newWorld(t, withMetrics)
	r := w.runners("a")[0]
	kept := w.client()
	kept.send(ask("/reads/x", "t1", "", ""))
	up := r.accept()
	up.request()
	up.send(served("t1", "one"))
	kept.answered(200, "one")
	w.do(w.proxy.Stop)
	young := w.client()
	for i, c := range []*peer{kept, young} {
		id := "t" + string(rune('2'+i))
		c.send(ask("/reads/x", id, "", ""))
		up.request()
		up.send(served(id, "more"))
		c.answered(200, "more")
	}
	page := w.figures()
	for _, want := range []string{
		"cinderroad_proxy_requests_total 3\n",
		"cinderroad_proxy_answers_total{end=\"served\"} 3\n",
		"cinderroad_proxy_ready 0\n",
		"cinderroad_proxy_requests_while_stopping_total{connection=\"new\"} 1\n",
		"cinderroad_proxy_requests_while_stopping_total{connection=\"kept\"} 1\n",
	} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %q:\n%s", want, page)
		}
	}
}

// A port that is taken costs the figures, not the service.
func TestFiguresWithoutAPort(t *testing.T) {
	first := newWorld(t, withMetrics)
	var taken netip.AddrPort
	first.do(func() { taken = first.proxy.figures.listener.Addr() })
	second := newWorld(t, func(o *Options) { o.Metrics = taken })
	r := second.runners("a")[0]
	c := second.client()
	c.send(ask("/reads/x", "t1", "", ""))
	up := r.accept()
	up.request()
	up.send(served("t1", "one"))
	c.answered(200, "one")
}
