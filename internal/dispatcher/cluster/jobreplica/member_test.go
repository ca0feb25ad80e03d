package jobreplica_test

import (
	"fmt"
	"slices"
	"testing"

	"cinderroad/internal/dispatcher/cluster/jobreplica"
)

func TestChooseMembersSpreadsFailureDomains(t *testing.T) {
	var members []jobreplica.Member
	for i := range 9 {
		members = append(members, jobreplica.Member{
			ID:   uint64(i + 1),
			Name: fmt.Sprint("m", i),
			Host: fmt.Sprint("host", i/2),
			Zone: fmt.Sprint(i / 4),
		})
	}
	chosen := jobreplica.ChooseMembers(members, nil, 3)
	slices.Reverse(members)
	if again := jobreplica.ChooseMembers(members, nil, 3); !slices.Equal(chosen, again) {
		t.Errorf("%v, in another order %v", chosen, again)
	}
	zones, hosts := map[string]bool{}, map[string]bool{}
	for _, m := range chosen {
		zones[m.Zone] = true
		hosts[m.Host] = true
	}
	if len(zones) != 3 || len(hosts) != 3 {
		t.Errorf("%v", chosen)
	}
	if got := jobreplica.ChooseMembers(members, nil, 9); len(got) != 5 {
		t.Errorf("%d replicas on 5 hosts", len(got))
	}
}
