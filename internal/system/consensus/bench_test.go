package consensus

import (
	"testing"
	"time"
)

// trio is three replicas that reach each other at once and whose disks take no time.
type trio struct {
	machines [4]*Node
	now      time.Duration
	leader   *Node
	messages int
}

func newTrio(b *testing.B) *trio {
	x := &trio{}
	for id := ReplicaID(1); id <= 3; id++ {
		x.machines[id] = New(0, Config{ID: id, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection, Seed: 1,
			MaxAppendBytes: 1 << 16, MaxInflightAppends: 16, SnapshotThreshold: 4096}, founded(1, 2, 3))
	}
	for x.leader == nil {
		x.idle(10 * time.Millisecond)
	}
	b.ReportAllocs()
	b.ResetTimer()
	x.messages = 0
	return x
}

// idle lets time pass.
func (x *trio) idle(d time.Duration) {
	x.now += d
	for _, m := range x.machines[1:] {
		if m.NextTick() <= x.now {
			m.Tick(x.now)
		}
		if m.Status().Role == Leader {
			x.leader = m
		}
	}
	x.settle()
}

func (x *trio) settle() {
	for busy := true; busy; {
		busy = false
		for _, m := range x.machines[1:] {
			r := m.Ready()
			if r.Empty() {
				continue
			}
			busy = true
			m.MarkPersisted(r)
			x.carry(r.EarlyMessages)
			x.carry(r.Messages)
			if r.CompactIndex > 0 {
				m.Compact(r.CompactIndex, nil, 0)
			}
		}
	}
}

func (x *trio) carry(msgs []Message) {
	for _, msg := range msgs {
		x.messages++
		x.machines[msg.To].Step(x.now, msg)
	}
}

func BenchmarkAgreeOnOne(b *testing.B) {
	x := newTrio(b)
	data := make([]byte, 200)
	for b.Loop() {
		if _, _, err := x.leader.Propose(x.now, data); err != nil {
			b.Fatal(err)
		}
		x.settle()
	}
	b.ReportMetric(float64(x.messages)/float64(b.N), "messages/op")
}

func BenchmarkRead(b *testing.B) {
	x := newTrio(b)
	for b.Loop() {
		x.leader.ReadIndex(x.now, 1)
		x.settle()
	}
	b.ReportMetric(float64(x.messages)/float64(b.N), "messages/op")
}

// BenchmarkIdleSecond is what a second without proposals costs three replicas together.
func BenchmarkIdleSecond(b *testing.B) {
	x := newTrio(b)
	for b.Loop() {
		for range 100 {
			x.idle(10 * time.Millisecond)
		}
	}
	b.ReportMetric(float64(x.messages)/float64(b.N), "messages/op")
}

func BenchmarkEncode(b *testing.B) {
	msg := Message{Kind: MessageAppend, From: 1, To: 2, Term: 3, Index: 4000, LogTerm: 2, Commit: 4000, Round: 1 << 40,
		Entries: entries(4001, 3, 3)}
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
