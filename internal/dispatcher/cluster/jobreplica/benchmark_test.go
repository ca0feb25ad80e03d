package jobreplica_test

import (
	"fmt"
	"testing"

	"cinderroad/internal/dispatcher/cluster/jobreplica"
	"cinderroad/internal/dispatcher/cluster/jobstate"
)

// benchmarkCluster is replicas that exchange datagrams without a network.
type benchmarkCluster struct {
	members          []jobreplica.Member
	byID             map[uint64]*jobreplica.Replica
	fragmenters      map[uint64]*jobreplica.Fragmenter
	now              float64
	datagrams, bytes int // sent
}

func newBenchmarkCluster(b *testing.B, replicas int) *benchmarkCluster {
	b.Helper()
	cluster := &benchmarkCluster{byID: map[uint64]*jobreplica.Replica{}, fragmenters: map[uint64]*jobreplica.Fragmenter{}}
	for i := range replicas {
		cluster.members = append(cluster.members, jobreplica.Member{ID: uint64(i + 1), Name: fmt.Sprint(i), Host: fmt.Sprint(i)})
	}
	limits := jobstate.Limits{TotalBytes: 1 << 30, TenantBytes: 1 << 30, JobBytes: 1 << 20, ResultRetentionMS: 1000}
	for _, member := range cluster.members {
		options := newOptions(member, member.ID, replicas, &plantedStateMachine{jobstate.New(limits), &simulation{}})
		options.ReplaceAfter = 30
		options.CompactionThreshold = 1 << 20
		cluster.byID[member.ID] = jobreplica.New(cluster.now, options)
		cluster.fragmenters[member.ID] = jobreplica.NewFragmenter("test", member.ID, 1<<20)
		if err := cluster.byID[member.ID].Bootstrap(cluster.members); err != nil {
			b.Fatal(err)
		}
	}
	return cluster
}

// deliverAll delivers datagrams until no replica sends any more.
func (c *benchmarkCluster) deliverAll(b *testing.B) {
	b.Helper()
	for moved := true; moved; {
		moved = false
		for _, member := range c.members {
			outgoing, _ := c.byID[member.ID].TakeOutput()
			for _, message := range outgoing {
				for _, datagram := range c.fragmenters[member.ID].Fragment(message) {
					moved = true
					c.datagrams++
					c.bytes += len(datagram)
					c.receive(b, message.To, datagram)
				}
			}
		}
	}
}

func (c *benchmarkCluster) receive(b *testing.B, to uint64, datagram []byte) {
	b.Helper()
	message, err := c.fragmenters[to].Reassemble(datagram)
	if err != nil {
		b.Fatal(err)
	}
	if message != nil {
		c.byID[to].Step(c.now, message)
	}
}

// electLeader advances the time until a replica leads.
func (c *benchmarkCluster) electLeader(b *testing.B) *jobreplica.Replica {
	b.Helper()
	var leader *jobreplica.Replica
	for leader == nil {
		c.now += 0.05
		for _, member := range c.members {
			c.byID[member.ID].Tick(c.now)
			c.deliverAll(b)
			if c.byID[member.ID].IsLeader() {
				leader = c.byID[member.ID]
			}
		}
	}
	return leader
}

// BenchmarkCommit measures what one command costs all replicas together: from its proposal at the leader, by datagrams, until
// each replica has applied it.
func BenchmarkCommit(b *testing.B) {
	for _, replicas := range []int{3, 5} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			cluster := newBenchmarkCluster(b, replicas)
			leader := cluster.electLeader(b)
			cluster.datagrams = 0
			cluster.bytes = 0
			b.ReportAllocs()
			committed := 0
			for ; b.Loop(); committed++ {
				command := jobstate.Command{
					Kind:   jobstate.CommandSubmit,
					TimeMS: 1000,
					Tenant: "t",
					Key:    fmt.Sprint(committed),
					Class:  "c",
					Data:   make([]byte, 200),
				}
				if err := leader.Propose(cluster.now, command.Encode()); err != nil {
					b.Fatal(err)
				}
				cluster.deliverAll(b)
			}
			b.ReportMetric(float64(cluster.datagrams)/float64(committed), "datagrams/op")
			b.ReportMetric(float64(cluster.bytes)/float64(committed), "bytes/op")
		})
	}
}
