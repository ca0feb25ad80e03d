package proxy

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"testing"

	"cinderroad/internal/compatibility"
)

// varyingValue matches the values of headers that differ from run to run.
var varyingValue = regexp.MustCompile(`(?m)^(X-Time-Left-Ms|Date|Host): .*$`)

// appendHeader appends the fields of a header in the order of their names.
func appendHeader(to *bytes.Buffer, header http.Header) {
	for _, name := range slices.Sorted(maps.Keys(header)) {
		fmt.Fprintf(to, "%s: %q\n", name, header[name])
	}
}

// TestRecordedHeaders compares what a runner gets of a request, and what a client gets of a response, with the recorded
// fields. Values that differ from run to run are left out.
func TestRecordedHeaders(t *testing.T) {
	h := newHarness(t)
	h.onLoop(func() { h.placer.priority = 4 })
	runner := h.startRunners("a")[0]
	client := h.connect()
	var seen bytes.Buffer
	exchangeRequest := func(name, extra, answer string) {
		client.send(requestText("/writes/x", "t1", extra, "body"))
		upstream := runner.accept()
		request, body := upstream.readRequest()
		fmt.Fprintf(&seen, "%s\n%s %s %q\n", name, request.Method, request.RequestURI, body)
		appendHeader(&seen, request.Header)
		upstream.send(answer)
		response, text := client.readResponse()
		fmt.Fprintf(&seen, "%d %q\n", response.StatusCode, text)
		appendHeader(&seen, response.Header)
		upstream.conn.Close()
	}
	exchangeRequest("served", "X-Model: m\r\nX-Time-Left-Ms: 900\r\nCookie: a=b\r\n",
		"HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Server-Seal: s\r\nX-Server-Id: a\r\nX-Other: kept\r\nContent-Length: 2\r\n\r\nok")
	exchangeRequest("failed", "", "HTTP/1.1 500 Oops\r\nX-Try-Id: t1\r\nContent-Length: 4\r\n\r\noops")
	exchangeRequest("not run", "",
		"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nRetry-After: 0.75\r\nX-Try-Id: t1\r\nContent-Length: 0\r\n\r\n")
	for _, local := range []struct{ name, request string }{
		{"no route", requestText("/none/x", "t2", "", "")},
		{"no id", "GET /writes/x HTTP/1.1\r\nHost: h.example\r\n\r\n"},
	} {
		client.send(local.request)
		response, text := client.readResponse()
		fmt.Fprintf(&seen, "%s\n%d %q\n", local.name, response.StatusCode, text)
		appendHeader(&seen, response.Header)
	}
	recorded := varyingValue.ReplaceAll(seen.Bytes(), []byte("$1: varies"))
	compatibility.PackageFolder.Check(t, "headers.txt", recorded)
}
