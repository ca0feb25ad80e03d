package program

import (
	"bufio"
	"net"
	"net/http"
	"path/filepath"
	"regexp"
	"testing"
)

// Both outputs in their forms, from the started program.
func TestMetrics(t *testing.T) {
	graphite, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "collectd.sock")
	collectd, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	var w *world
	u := newRunner(t, "s-1", func(n int, rw http.ResponseWriter, r *http.Request) { w.done("s-1", "ok")(n, rw, r) })
	w = begin(t, options{args: []string{"-graphite", graphite.Addr().String(), "-collectd", path, "-metrics-every", "0.1"}}, u.target("ready", 1))
	if status, _, _ := w.ask("score", 4000); status != 200 {
		t.Fatal(status)
	}
	for _, tc := range []struct {
		l    net.Listener
		want string
	}{
		{graphite, `^cinderroad\.n0\.reqs\.served 1 [0-9]{10}$`},
		{collectd, `^PUTVAL "n0/cinderroad/derive-reqs_served" interval=0\.1 [0-9]{10}:1$`},
	} {
		c, err := tc.l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		lines, match := bufio.NewScanner(c), regexp.MustCompile(tc.want)
		for found := false; !found; found = match.MatchString(lines.Text()) {
			if !lines.Scan() {
				t.Fatalf("no line %s", tc.want)
			}
		}
		c.Close()
	}
}
