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
			for _, m := range members {
				state := &plantedStateMachine{jobstate.New(jobstate.Limits{TotalBytes: 1 << 30, TenantBytes: 1 << 30, JobBytes: 1 << 20, ResultRetentionMS: 1000}), &simulation{}}
				byID[m.ID] = jobreplica.New(now, jobreplica.Options{Self: m, Seed: m.ID, Replicas: replicas, StateMachine: state, ElectionTimeout: 1, HeartbeatInterval: 0.1, ReplaceAfter: 30, CompactionThreshold: 1 << 20, MaxCommandBytes: 1 << 16})
				fragmenters[m.ID] = jobreplica.NewFragmenter("test", m.ID, 1<<20)
				if err := byID[m.ID].Bootstrap(members); err != nil {
					b.Fatal(err)
				}
			}
			datagrams, bytes := 0, 0
			deliverAll := func() {
				for moved := true; moved; {
					moved = false
					for _, m := range members {
						out, _ := byID[m.ID].TakeOutput()
						for _, o := range out {
							for _, d := range fragmenters[m.ID].Fragment(o) {
								moved = true
								datagrams, bytes = datagrams+1, bytes+len(d)
								if message, err := fragmenters[o.To].Reassemble(d); err != nil {
									b.Fatal(err)
								} else if message != nil {
									byID[o.To].Step(now, message)
								}
							}
						}
					}
				}
			}
			var leader *jobreplica.Replica
			for leader == nil {
				now += 0.05
				for _, m := range members {
					byID[m.ID].Tick(now)
					deliverAll()
					if byID[m.ID].IsLeader() {
						leader = byID[m.ID]
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
