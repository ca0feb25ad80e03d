package jobreplica_test

import (
	"fmt"
	"testing"

	"cinderroad/internal/dispatcher/cluster/jobreplica"
	"cinderroad/internal/dispatcher/cluster/jobstate"
)

// BenchmarkCommit is what one promise costs all its copies together: taken by the leader, in datagrams, until each has applied it.
func BenchmarkCommit(b *testing.B) {
	for _, replicas := range []int{3, 5} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			var members []jobreplica.Member
			for i := range replicas {
				members = append(members, jobreplica.Member{ID: uint64(i + 1), Name: fmt.Sprint(i), Host: fmt.Sprint(i)})
			}
			byID, fragmenters, now := map[uint64]*jobreplica.Replica{}, map[uint64]*jobreplica.Fragmenter{}, 0.0
			for _, member := range members {
				state := &plantedStateMachine{jobstate.New(jobstate.Limits{TotalBytes: 1 << 30, TenantBytes: 1 << 30, JobBytes: 1 << 20, ResultRetentionMS: 1000}), &simulation{}}
				byID[member.ID] = jobreplica.New(now, jobreplica.Options{Self: member, Seed: member.ID, Replicas: replicas, StateMachine: state, ElectionTimeout: 1, HeartbeatInterval: 0.1, ReplaceAfter: 30, CompactionThreshold: 1 << 20, MaxCommandBytes: 1 << 16})
				fragmenters[member.ID] = jobreplica.NewFragmenter("test", member.ID, 1<<20)
				if err := byID[member.ID].Bootstrap(members); err != nil {
					b.Fatal(err)
				}
			}
			datagrams, bytes := 0, 0
			deliverAll := func() {
				for moved := true; moved; {
					moved = false
					for _, member := range members {
						out, _ := byID[member.ID].TakeOutput()
						for _, outgoing := range out {
							for _, datagram := range fragmenters[member.ID].Fragment(outgoing) {
								moved = true
								datagrams, bytes = datagrams+1, bytes+len(datagram)
								if message, err := fragmenters[outgoing.To].Reassemble(datagram); err != nil {
									b.Fatal(err)
								} else if message != nil {
									byID[outgoing.To].Step(now, message)
								}
							}
						}
					}
				}
			}
			var leader *jobreplica.Replica
			for leader == nil {
				now += 0.05
				for _, member := range members {
					byID[member.ID].Tick(now)
					deliverAll()
					if byID[member.ID].IsLeader() {
						leader = byID[member.ID]
					}
				}
			}
			datagrams, bytes = 0, 0
			b.ReportAllocs()
			committed := 0
			for ; b.Loop(); committed++ {
				command := jobstate.Command{Kind: jobstate.CommandSubmit, TimeMS: 1000, Tenant: "t", Key: fmt.Sprint(committed), Class: "c", Data: make([]byte, 200)}
				if err := leader.Propose(now, command.Encode()); err != nil {
					b.Fatal(err)
				}
				deliverAll()
			}
			b.ReportMetric(float64(datagrams)/float64(committed), "datagrams/op")
			b.ReportMetric(float64(bytes)/float64(committed), "bytes/op")
		})
	}
}
