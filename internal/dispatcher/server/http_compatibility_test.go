package server

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"cinderroad/internal/compatibility"
)

// varyingText matches what differs from run to run: addresses, and what is left of a budget.
var varyingText = regexp.MustCompile(`127\.0\.0\.[12]:\d+|(X-Budget-Ms: \[")\d+`)

// appendHeader appends the fields of a header in the order of their names.
func appendHeader(to *bytes.Buffer, header http.Header) {
	for _, name := range slices.Sorted(maps.Keys(header)) {
		fmt.Fprintf(to, "%s: %q\n", name, header[name])
	}
}

// TestRecordedJobHeaders compares what a runner gets of a job, and what a client gets of its answer, with the recorded fields.
func TestRecordedJobHeaders(t *testing.T) {
	var w *harness
	var seen bytes.Buffer
	got := make(chan *http.Request, 1)
	runner := newRunner(t, "s-1", func(n int, rw http.ResponseWriter, r *http.Request) {
		got <- r
		w.replyWith("s-1", "done")(n, rw, r)
	})
	w = startHarness(t, options{single: true}, runner.target("ready", 0))
	_, body, header := w.requestJob("score", 4000)
	request := <-got
	fmt.Fprintf(&seen, "to the runner: %s %s\n", request.Method, request.URL.Path)
	appendHeader(&seen, request.Header)
	fmt.Fprintf(&seen, "served: %q\n", body)
	appendHeader(&seen, header)
	recorded := varyingText.ReplaceAll(seen.Bytes(), []byte("${1}varies"))
	compatibility.PackageFolder.Check(t, "job-headers.txt", recorded)
}

// TestRecordedAdminResponses compares the responses of the admin server with the recorded bytes.
func TestRecordedAdminResponses(t *testing.T) {
	w := startHarness(t, options{console: true})
	var seen bytes.Buffer
	for _, call := range []string{
		"GET /api/ready HTTP/1.1\r\n\r\n",
		"POST /api/ready HTTP/1.1\r\n\r\n",
		"GET /api/none HTTP/1.1\r\n\r\n",
		"GET /api/fleet HTTP/1.1\r\n\r\n",
		"PUT /api/exclude HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
		"PUT /api/exclude HTTP/1.1\r\nContent-Length: 16\r\n\r\n{\"member\":\"s-9\"}",
		"PUT /api/evacuate HTTP/1.1\r\n\r\n",
		"PUT /api/rejoin HTTP/1.1\r\n\r\n",
		"no request\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", w.console)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(conn, call)
		response, err := io.ReadAll(conn)
		if err != nil {
			t.Fatalf("%q: %v", call, err)
		}
		conn.Close()
		fmt.Fprintf(&seen, "> %s\n%s\n", strings.SplitN(call, "\r\n", 2)[0], response)
	}
	compatibility.PackageFolder.Check(t, "admin-responses.txt", seen.Bytes())
}
