package metrics

import (
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"cinderroad/internal/transport"
)

// Guards against a peer that accepts and then takes nothing: figures are dropped, their memory is bounded, the
// connection is let go, and the loop turns on. The same for a peer that is not there.
func TestAStalledPeerCostsOnlyFigures(t *testing.T) {
	path := filepath.Join(t.TempDir(), "socket")
	listener, err := net.Listen("unix", path) // its backlog accepts, nobody reads
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	loop, err := transport.NewLoop(100)
	if err != nil {
		t.Fatal(err)
	}
	logs, seen := observer.New(zapcore.DebugLevel)
	var values []Value
	for i := range 300 {
		values = append(values, Value{Name: fmt.Sprint("a.long.name.of.a.figure.", i), V: 1})
	}
	read := func() []Value { return values }
	stalled := NewCollectd(loop, zap.New(logs), path, "n0", 0.005, read)
	absent := NewCollectd(loop, zap.New(logs), path+"-none", "n0", 0.005, read)
	turns, unsent := 0, 0
	var look func()
	look = func() {
		turns++
		if stalled.conn != nil {
			unsent = max(unsent, stalled.conn.Unsent())
		}
		if stalled.Dropped > 0 && seen.FilterMessageSnippet("letting go").Len() > 0 || turns > 20000 {
			loop.Stop()
		}
		loop.At(loop.Now()+0.001, look)
	}
	look()
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
	if turns > 20000 || unsent > 2*maxWaiting || absent.up {
		t.Errorf("%d turns, at most %d bytes waiting, absent peer up: %v", turns, unsent, absent.up)
	}
}

func TestForms(t *testing.T) {
	v := Value{Name: "reqs.open", V: 2.5}
	for want, form := range map[string]Form{
		"cinderroad.a_b.reqs.open 2.5 77\n":                              Graphite,
		"PUTVAL \"a_b/cinderroad/gauge-reqs_open\" interval=10 77:2.5\n": Collectd,
	} {
		if got := string(form(nil, v, "a.b", 77, 10)); got != want || strings.Count(got, "\n") != 1 {
			t.Errorf("%q, want %q", got, want)
		}
	}
}
