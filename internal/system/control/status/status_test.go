package status

import (
	"encoding/json"
	"reflect"
	"testing"
)

func TestJSONRoundTrip(t *testing.T) {
	want := Control{
		Node:           "core-1",
		Release:        "r1",
		Version:        7,
		EvacuatedZones: []string{"a"},
		ActiveProxies:  3,
		ReadyProxies:   2,
		Discovery:      Discovery{Holder: true, ListReceived: true, ListAgeMS: 120, CallCount: 9},
		Partitions: []Partition{{
			Partition: 1,
			Replica:   "01",
			Role:      "leader",
			Term:      4,
			Leader:    "01",
			LeaseMS:   900,
			Replicas:  []Replica{{Replica: "01", Node: "core-1", Zone: "a", Address: "10.0.0.1:7660", Voter: true}},
		}},
		Followers: []Follower{{Node: "edge-1", ConfigurationIndex: 12, Behind: true, SinceLastCallMS: 5}},
		Members:   []Member{{Node: "edge-1", Address: "10.0.0.9", State: "alive", StateAgeMS: 8, Role: "edge"}},
	}
	want.Counters = newCounters()
	body, err := json.Marshal(&want)
	if err != nil {
		t.Fatal(err)
	}
	var got Control
	if err := json.Unmarshal(body, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}
