package main

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"cinderroad/internal/system/control/status"
)

// machinesTable has a row for each control machine that responded.
func machinesTable(report *statusReport) *table {
	t := &table{}
	t.add("CONTROL", "RELEASE", "CONFIGURATION", "EVACUATED", "PROXIES", "READY", "FOLLOWERS", "LAGGING", "DISCOVERY")
	for _, machine := range report.Machines {
		lagging := 0
		for _, follower := range machine.Followers {
			if follower.Behind {
				lagging++
			}
		}
		t.add(
			machine.Node,
			shortRelease(machine.Release),
			formatUint(machine.Version),
			orDash(strings.Join(machine.EvacuatedZones, ",")),
			strconv.Itoa(machine.ActiveProxies),
			strconv.Itoa(machine.ReadyProxies),
			strconv.Itoa(len(machine.Followers)),
			strconv.Itoa(lagging),
			discoveryCell(&machine.Discovery),
		)
	}
	return t
}

// discoveryCell says whether a machine polls the platform's list, and how old the list is.
func discoveryCell(discovery *status.Discovery) string {
	switch {
	case !discovery.Holder:
		return "-"
	case !discovery.ListReceived:
		return "active, platform not responding"
	}
	return "active, list " + milliseconds(discovery.ListAgeMS) + " old"
}

// partitionsTable has a row for each partition and control machine. The rows of a partition are together, in the order of
// the partitions' numbers.
func partitionsTable(report *statusReport) *table {
	t := &table{}
	t.add("PARTITION", "CONTROL", "ROLE", "TERM", "LEADER", "LEASE", "COMMIT", "APPLIED", "LAST", "ITEMS", "STALENESS")
	for _, machine := range report.Machines {
		for i := range machine.Partitions {
			partition := &machine.Partitions[i]
			lease := "-"
			if partition.LeaseMS > 0 {
				lease = milliseconds(partition.LeaseMS)
			}
			t.add(
				strconv.Itoa(int(partition.Partition)),
				machine.Node,
				partition.Role,
				formatUint(partition.Term),
				leaderName(partition),
				lease,
				formatUint(partition.CommitIndex),
				formatUint(partition.AppliedIndex),
				formatUint(partition.LastIndex),
				strconv.Itoa(partition.ItemCount),
				milliseconds(partition.StalenessMS),
			)
		}
	}
	slices.SortStableFunc(t.rows[1:], func(a, b []string) int { return comparePartitions(a[0], b[0]) })
	return t
}

// comparePartitions compares the numbers of partitions in cells of a table.
func comparePartitions(a, b string) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) // numbers without leading zeros
}

// leaderName returns the node that leads a partition; its replica ID if the node is unknown.
func leaderName(partition *status.Partition) string {
	for _, replica := range partition.Replicas {
		if replica.Replica == partition.Leader {
			return replica.Node
		}
	}
	return orDash(partition.Leader)
}

// replicasTable lists the members of each partition's group, as the machine with the highest commit index knows them.
func replicasTable(report *statusReport) *table {
	t := &table{}
	t.add("PARTITION", "REPLICA", "CONTROL", "ZONE", "ADDRESS", "KIND")
	newest := map[uint16]*status.Partition{}
	for _, machine := range report.Machines {
		for i := range machine.Partitions {
			partition := &machine.Partitions[i]
			if known := newest[partition.Partition]; known == nil || known.CommitIndex < partition.CommitIndex {
				newest[partition.Partition] = partition
			}
		}
	}
	for _, partition := range newest {
		for _, replica := range partition.Replicas {
			kind := "learner"
			if replica.Voter {
				kind = "voter"
			}
			t.add(
				strconv.Itoa(int(partition.Partition)),
				replica.Replica,
				replica.Node,
				replica.Zone,
				replica.Address,
				kind,
			)
		}
	}
	slices.SortFunc(t.rows[1:], func(a, b []string) int {
		return cmp.Or(comparePartitions(a[0], b[0]), slices.Compare(a[1:], b[1:]))
	})
	return t
}

// membersTable lists the members as the first machine knows them.
func membersTable(report *statusReport) *table {
	t := &table{}
	t.add("MEMBER", "ROLE", "ZONE", "STATE", "STATE AGE", "SERVING", "FRONT", "RELEASE")
	for i := range report.Machines[0].Members {
		member := &report.Machines[0].Members[i]
		t.add(
			member.Node,
			orDash(member.Role),
			orDash(member.Zone),
			member.State,
			milliseconds(member.StateAgeMS),
			orDash(member.Serving),
			orDash(member.FrontAddress),
			shortRelease(member.Release),
		)
	}
	return t
}

// followersTable lists the followers of each control machine.
func followersTable(report *statusReport) *table {
	t := &table{}
	t.add("FOLLOWER", "CONTROL", "CONFIGURATION", "UP TO DATE", "LAST POLL")
	for _, machine := range report.Machines {
		for _, follower := range machine.Followers {
			upToDate := "yes"
			if follower.Behind {
				upToDate = "no"
			}
			t.add(
				follower.Node,
				machine.Node,
				"#"+formatUint(follower.ConfigurationIndex),
				upToDate,
				milliseconds(follower.SinceLastCallMS),
			)
		}
	}
	return t
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// milliseconds formats a duration of n milliseconds; long ones without fractions of a second.
func milliseconds(n int64) string {
	d := time.Duration(n) * time.Millisecond
	if d >= 10*time.Second {
		d = d.Round(time.Second)
	}
	return d.String()
}

// shortRelease returns the beginning of a release's name.
func shortRelease(release string) string {
	const length = 25 // of a commit, a plus sign and a hash of the sources
	return orDash(release[:min(length, len(release))])
}
