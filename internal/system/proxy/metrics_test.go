package proxy

import (
	"net/netip"
	"strings"
	"testing"

	"cinderroad/internal/system/exposition"
)

// metricsPage returns the proxy's metrics page.
func (h *harness) metricsPage() string {
	h.t.Helper()
	addr := ""
	h.onLoop(func() { addr = h.proxy.metricsEndpoint.listener.Addr().String() })
	c := dial(h.t, addr)
	c.send("GET " + exposition.Path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	got, body := c.readResponse()
	if got.StatusCode != 200 || got.Header.Get("Content-Type") != exposition.ContentType {
		h.t.Errorf("status %d, type %q", got.StatusCode, got.Header.Get("Content-Type"))
	}
	c.readToClose()
	return body
}

func withMetrics(o *Options) { o.MetricsAddr = netip.MustParseAddrPort("127.0.0.1:0") }

// The metrics distinguish requests after the shutdown signal by their connection.
func TestMetricsDuringShutdown(t *testing.T) {
	h := newHarness(t, withMetrics)
	runner := h.startRunners("a")[0]
	reused := h.connect()
	reused.send(requestText("/reads/x", "t1", "", ""))
	upstream := runner.accept()
	upstream.readRequest()
	upstream.send(successText("t1", "one"))
	reused.expectResponse(200, "one")
	h.onLoop(h.proxy.Stop)
	young := h.connect()
	for i, c := range []*testConn{reused, young} {
		id := "t" + string(rune('2'+i))
		c.send(requestText("/reads/x", id, "", ""))
		upstream.readRequest()
		upstream.send(successText(id, "more"))
		c.expectResponse(200, "more")
	}
	page := h.metricsPage()
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

// A port that is in use costs the metrics, not the service.
func TestServesWithoutMetricsPort(t *testing.T) {
	first := newHarness(t, withMetrics)
	var taken netip.AddrPort
	first.onLoop(func() { taken = first.proxy.metricsEndpoint.listener.Addr() })
	second := newHarness(t, func(o *Options) { o.MetricsAddr = taken })
	r := second.startRunners("a")[0]
	c := second.connect()
	c.send(requestText("/reads/x", "t1", "", ""))
	up := r.accept()
	up.readRequest()
	up.send(successText("t1", "one"))
	c.expectResponse(200, "one")
}
