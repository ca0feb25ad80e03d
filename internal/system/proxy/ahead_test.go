package proxy

import (
	"strconv"
	"testing"
	"time"
)

// A request that its client sends ahead has waited when its turn comes: its runner is given what is left.
func TestTimeLeftOfPipelinedRequest(t *testing.T) {
	const work, left = 700 * time.Millisecond, 1000 * time.Millisecond
	m := newSimulation(1)
	told := map[string]time.Duration{}
	for _, r := range m.runners {
		r.peer.accept = func(end *remoteEnd) {
			end.onEnd = func(bool) { end.close() }
			end.onData = func(b []byte) {
				head := parseHead(string(b))
				id := head.header.Get(headerTryID)
				ms, _ := strconv.Atoi(head.header.Get(headerTimeLeft))
				told[id] = time.Duration(ms) * time.Millisecond
				m.network.after(work, func() { end.send(successText(id, "x")) })
			}
		}
	}
	if err := m.proxy.Listen(); err != nil {
		t.Fatal(err)
	}
	client := m.network.dial(simulationFront, &simulatedPeer{latency: time.Millisecond})
	client.onData, client.onEnd = func([]byte) {}, func(bool) {}
	for _, id := range []string{"first", "second"} {
		client.send("GET /reads/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: " + id + "\r\nX-Time-Left-Ms: 1000\r\n\r\n")
	}
	m.network.after(2*time.Second, m.loop.Stop)
	m.network.after(2*time.Second+time.Millisecond, func() {})
	if err := m.loop.Run(); err != nil {
		t.Fatal(err)
	}
	if told["first"] <= left/2 || told["second"] <= 0 || told["second"] > left-work {
		t.Errorf("the runners are given %v", told)
	}
}
