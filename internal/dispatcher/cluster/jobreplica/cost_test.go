package jobreplica_test

import (
	"fmt"
	"testing"

	"cinderroad/internal/dispatcher/cluster/jobreplica"
	"cinderroad/internal/dispatcher/cluster/jobstate"
)

// BenchmarkAgree is what one promise costs all its copies together: taken by the leader, in datagrams, until each has applied it.
func BenchmarkAgree(b *testing.B) {
	for _, many := range []int{3, 5} {
		b.Run(fmt.Sprint(many), func(b *testing.B) {
			var members []jobreplica.Member
			for i := range many {
				members = append(members, jobreplica.Member{ID: uint64(i + 1), Name: fmt.Sprint(i), Machine: fmt.Sprint(i)})
			}
			all, pagers, now := map[uint64]*jobreplica.Replica{}, map[uint64]*jobreplica.Fragmenter{}, 0.0
			for _, m := range members {
				state := &machine{jobstate.New(jobstate.Limits{TotalBytes: 1 << 30, TenantBytes: 1 << 30, JobBytes: 1 << 20, ResultRetentionMS: 1000}), &world{}}
				all[m.ID] = jobreplica.New(now, jobreplica.Options{Self: m, Seed: m.ID, Replicas: many, StateMachine: state, ElectionTimeout: 1, HeartbeatInterval: 0.1, ReplaceAfter: 30, CompactionThreshold: 1 << 20, MaxCommandBytes: 1 << 16})
				pagers[m.ID] = jobreplica.NewFragmenter("test", m.ID, 1<<20)
				if err := all[m.ID].Bootstrap(members); err != nil {
					b.Fatal(err)
				}
			}
			datagrams, bytes := 0, 0
			carry := func() {
				for moved := true; moved; {
					moved = false
					for _, m := range members {
						out, _ := all[m.ID].TakeOutput()
						for _, o := range out {
							for _, d := range pagers[m.ID].Fragment(o) {
								moved = true
								datagrams, bytes = datagrams+1, bytes+len(d)
								if message, err := pagers[o.To].Reassemble(d); err != nil {
									b.Fatal(err)
								} else if message != nil {
									all[o.To].Step(now, message)
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
					all[m.ID].Tick(now)
					carry()
					if all[m.ID].IsLeader() {
						leader = all[m.ID]
					}
				}
			}
			datagrams, bytes = 0, 0
			b.ReportAllocs()
			n := 0
			for ; b.Loop(); n++ {
				c := jobstate.Command{Kind: jobstate.CommandSubmit, TimeMS: 1000, Tenant: "t", Key: fmt.Sprint(n), Class: "c", Data: make([]byte, 200)}
				if err := leader.Propose(now, c.Encode()); err != nil {
					b.Fatal(err)
				}
				carry()
			}
			b.ReportMetric(float64(datagrams)/float64(n), "datagrams/op")
			b.ReportMetric(float64(bytes)/float64(n), "bytes/op")
		})
	}
}
