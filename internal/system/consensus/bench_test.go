package consensus

import (
	"testing"
	"time"
)

// testCluster is three replicas with links and disks that take no time.
type testCluster struct {
	nodes    [4]*Node
	now      time.Duration
	leader   *Node
	messages int
}

func newTestCluster(b *testing.B) *testCluster {
	b.Helper()
	cluster := &testCluster{}
	for id := ReplicaID(1); id <= 3; id++ {
		cluster.nodes[id] = New(0, Config{
			ID:                 id,
			HeartbeatInterval:  testHeartbeat,
			ElectionTimeout:    testElection,
			Seed:               1,
			MaxAppendBytes:     1 << 16,
			MaxInflightAppends: 16,
			SnapshotThreshold:  4096,
		}, foundingState(1, 2, 3))
	}
	for cluster.leader == nil {
		cluster.advance(10 * time.Millisecond)
	}
	b.ReportAllocs()
	b.ResetTimer()
	cluster.messages = 0
	return cluster
}

// advance lets time pass.
func (c *testCluster) advance(elapsed time.Duration) {
	c.now += elapsed
	for _, node := range c.nodes[1:] {
		if node.NextTick() <= c.now {
			node.Tick(c.now)
		}
		if node.Status().Role == Leader {
			c.leader = node
		}
	}
	c.exchange()
}

func (c *testCluster) exchange() {
	for busy := true; busy; {
		busy = false
		for _, node := range c.nodes[1:] {
			ready := node.Ready()
			if ready.Empty() {
				continue
			}
			busy = true
			node.MarkPersisted(ready)
			c.deliver(ready.EarlyMessages)
			c.deliver(ready.Messages)
			if ready.CompactIndex > 0 {
				node.Compact(ready.CompactIndex, nil, 0)
			}
		}
	}
}

func (c *testCluster) deliver(msgs []Message) {
	for _, msg := range msgs {
		c.messages++
		c.nodes[msg.To].Step(c.now, msg)
	}
}

func BenchmarkPropose(b *testing.B) {
	script := newTestCluster(b)
	data := make([]byte, 200)
	for b.Loop() {
		if _, _, err := script.leader.Propose(script.now, data); err != nil {
			b.Fatal(err)
		}
		script.exchange()
	}
	b.ReportMetric(float64(script.messages)/float64(b.N), "messages/op")
}

func BenchmarkReadIndex(b *testing.B) {
	script := newTestCluster(b)
	for b.Loop() {
		script.leader.ReadIndex(script.now, 1)
		script.exchange()
	}
	b.ReportMetric(float64(script.messages)/float64(b.N), "messages/op")
}

// BenchmarkIdleSecond measures what a second without proposals costs three replicas together.
func BenchmarkIdleSecond(b *testing.B) {
	script := newTestCluster(b)
	for b.Loop() {
		for range 100 {
			script.advance(10 * time.Millisecond)
		}
	}
	b.ReportMetric(float64(script.messages)/float64(b.N), "messages/op")
}

func BenchmarkEncode(b *testing.B) {
	msg := Message{
		Kind:    MessageAppend,
		From:    1,
		To:      2,
		Term:    3,
		Index:   4000,
		LogTerm: 2,
		Commit:  4000,
		Round:   1 << 40,
		Entries: entries(4001, 3, 3),
	}
	var space []byte
	b.ReportAllocs()
	for b.Loop() {
		space = AppendMessage(space[:0], msg)
		if _, err := DecodeMessage(space); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(space)), "bytes")
}
