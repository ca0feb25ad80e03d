package proxy

import (
	"strconv"
	"testing"
	"time"
)

// A pipelined request has waited when its turn comes: its runner is told the remaining time.
func TestTimeLeftOfPipelinedRequest(t *testing.T) {
	const work, left = 700 * time.Millisecond, 1000 * time.Millisecond
	sim := newSimulation(1)
	timeLeft := map[string]time.Duration{}
	for _, r := range sim.runners {
		r.peer.accept = func(end *remoteEnd) {
			end.onEnd = func(bool) { end.close() }
			end.onData = func(b []byte) {
				head := parseHead(string(b))
				id := head.header.Get(headerTryID)
				millis, _ := strconv.Atoi(head.header.Get(headerTimeLeft))
				timeLeft[id] = time.Duration(millis) * time.Millisecond
				sim.network.after(work, func() { end.send(successText(id, "x")) })
			}
		}
	}
	if err := sim.proxy.Listen(); err != nil {
		t.Fatal(err)
	}
	client := sim.network.dial(simulationFront, &simulatedPeer{latency: time.Millisecond})
	client.onData = func([]byte) {}
	client.onEnd = func(bool) {}
	for _, id := range []string{"first", "second"} {
		client.send("GET /reads/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: " + id + "\r\nX-Time-Left-Ms: 1000\r\n\r\n")
	}
	sim.network.after(2*time.Second, sim.loop.Stop)
	sim.network.after(2*time.Second+time.Millisecond, func() {})
	if err := sim.loop.Run(); err != nil {
		t.Fatal(err)
	}
	if timeLeft["first"] <= left/2 || timeLeft["second"] <= 0 || timeLeft["second"] > left-work {
		t.Errorf("time left as sent to the runners: %v", timeLeft)
	}
}
