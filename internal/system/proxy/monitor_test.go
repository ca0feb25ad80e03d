package proxy

import "testing"

func TestReadyEndpoint(t *testing.T) {
	h := newHarness(t)
	var addr string
	h.onLoop(func() { addr = h.proxy.readyEndpoint.listener.Addr().String() })
	client := dial(t, addr)
	get := func(path string) int {
		client.send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n")
		got, _ := client.readResponse()
		return got.StatusCode
	}
	if got := get("/-/ready"); got != 503 {
		t.Errorf("without runners: %d", got)
	}
	h.startRunners("a")
	if got := get("/-/ready"); got != 200 {
		t.Errorf("with all that is needed: %d", got)
	}
	if got := get("/-/other"); got != 404 {
		t.Errorf("other path: %d", got)
	}
	h.onLoop(func() { h.proxy.SetRoutes(nil) })
	if got := get("/-/ready"); got != 503 {
		t.Errorf("without a configuration: %d", got)
	}
	h.onLoop(func() { h.proxy.SetRoutes(h.routes) })
	h.onLoop(h.proxy.Stop)
	if got := get("/-/ready"); got != 503 {
		t.Errorf("when stopping: %d", got)
	}
}
