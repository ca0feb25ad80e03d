package server

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	gm "cinderroad/internal/dispatcher/gearman"
)

// gearmanFile is the file that turns the Gearman front on, with its address and the deadline of function once to be filled in.
const gearmanFile = `listen = %q
max_jobs = 100
[[function]]
name = "safe"
class = "score"
[[function]]
name = "keyed"
class = "charge"
background_deadline_s = 20.0
[[function]]
name = "once"
class = "once"
deadline_s = %g
[[worker]]
network = "127.0.0.0/8"
zone = "milano"
kind = "two-core"
cell = 1000
`

// gearmanHarness is a dispatcher with its Gearman front on; deadline is that of function once, in seconds.
type gearmanHarness struct {
	*harness
	port string
	file string // the operator's
	mu   sync.Mutex
	runs map[string]int // starts of a job's data at any worker
}

// startGearmanHarness starts a dispatcher with its Gearman front on. deadline is as for gearmanHarness.
func startGearmanHarness(t *testing.T, o options, deadline float64) *gearmanHarness {
	t.Helper()
	g := &gearmanHarness{port: freeAddr(t), runs: map[string]int{}}
	g.file = filepath.Join(t.TempDir(), "gearman.toml")
	if err := os.WriteFile(g.file, fmt.Appendf(nil, gearmanFile, g.port, deadline), 0o600); err != nil {
		t.Fatal(err)
	}
	o.args = append(o.args, "-gearman", g.file)
	g.harness = startHarness(t, o)
	return g
}

// gearmanConn is a scripted Gearman client's or worker's connection.
type gearmanConn struct {
	harness *gearmanHarness
	net.Conn
}

// dial opens a connection that is closed when the test ends.
func (g *gearmanHarness) dial() *gearmanConn {
	g.t.Helper()
	c, err := net.Dial("tcp", g.port)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { c.Close() })
	return &gearmanConn{g, c}
}

// send sends one packet.
func (c *gearmanConn) send(kind gm.Kind, args ...string) {
	c.Write(gm.AppendRequest(nil, kind, args...))
}

// next reads one packet; ok is false once the connection has ended.
func (c *gearmanConn) next() (p gm.Packet, ok bool) {
	head := make([]byte, 12)
	if _, err := io.ReadFull(c, head); err != nil {
		return p, false
	}
	body := make([]byte, binary.BigEndian.Uint32(head[8:]))
	if _, err := io.ReadFull(c, body); err != nil {
		return p, false
	}
	return gm.Packet{Kind: gm.Kind(binary.BigEndian.Uint32(head[4:])), Args: strings.Split(string(body), "\x00")}, true
}

// want reads until a packet of the kind.
func (c *gearmanConn) want(kind gm.Kind) gm.Packet {
	c.harness.t.Helper()
	c.SetReadDeadline(time.Now().Add(30 * time.Second))
	for {
		p, ok := c.next()
		if !ok {
			c.harness.t.Fatalf("packet %d never came", kind)
		}
		if p.Kind == kind {
			return p
		}
	}
}

// any reads the next packet.
func (c *gearmanConn) any() gm.Packet {
	c.harness.t.Helper()
	c.SetReadDeadline(time.Now().Add(30 * time.Second))
	p, ok := c.next()
	if !ok {
		c.harness.t.Fatal("the connection ended")
	}
	return p
}

// serveJobs serves jobs as a worker does, until script says stop or the connection ends.
func (c *gearmanConn) serveJobs(grab gm.Kind, script func(handle, function, data string) (stop bool), functions ...string) {
	c.send(gm.SetClientID, "stand-in")
	for _, f := range functions {
		c.send(gm.CanDo, f)
	}
	go func() {
		c.send(grab)
		for {
			p, ok := c.next()
			switch {
			case !ok:
				return
			case p.Kind == gm.NoJob:
				c.send(gm.PreSleep)
			case p.Kind == gm.Noop:
				c.send(grab)
			case p.Kind == gm.JobAssign || p.Kind == gm.JobAssignUniq || p.Kind == gm.JobAssignAll:
				data := p.Args[len(p.Args)-1]
				c.harness.mu.Lock()
				c.harness.runs[data]++
				c.harness.mu.Unlock()
				if script(p.Args[0], p.Args[1], data) {
					return
				}
				c.send(grab)
			}
		}
	}()
}

// echo completes every job with its data.
func (c *gearmanConn) echo(handle, _, data string) bool {
	c.send(gm.WorkComplete, handle, "did "+data)
	return false
}

// runCount returns how often the job with this data was begun.
func (g *gearmanHarness) runCount(data string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs[data]
}

// admin sends a text command and returns what it prints up to the line that ends it.
func (g *gearmanHarness) admin(command, end string) string {
	g.t.Helper()
	c := g.dial()
	c.SetReadDeadline(time.Now().Add(30 * time.Second))
	fmt.Fprintf(c, "%s\n", command)
	var got strings.Builder
	for b := make([]byte, 512); !strings.HasSuffix(got.String(), end); {
		n, err := c.Read(b)
		got.Write(b[:n])
		if err != nil {
			g.t.Fatalf("%s: %q, %v", command, got.String(), err)
		}
	}
	c.Close()
	return got.String()
}

// idle reports whether no function has a job that waits or runs.
func (g *gearmanHarness) idle() bool {
	for _, line := range strings.Split(g.admin("status", ".\n"), "\n") {
		if f := strings.Split(line, "\t"); len(f) == 4 && (f[1] != "0" || f[2] != "0") {
			return false
		}
	}
	return true
}
