package feedserver

import (
	"fmt"
	"testing"
	"time"

	"cinderroad/internal/system/feed"
)

func TestFollowersExpire(t *testing.T) {
	var now time.Duration
	server := New(Options{Sources: []Source{nil}, Now: func() time.Duration { return now }})
	server.registry.recordCall(&feed.FollowRequest{Node: "b", Positions: []feed.Position{{Partition: 1, Index: 9}, {Index: 4}}}, now)
	now = followerExpiry / 2
	server.registry.recordCall(&feed.FollowRequest{Node: "a"}, now)
	server.registry.recordCall(&feed.FollowRequest{}, now)
	want := []Follower{{Node: "a"}, {Node: "b", ConfigurationIndex: 4, SinceLastCall: now}}
	if got := server.Followers(); len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	now += followerExpiry/2 + 1
	if got := server.Followers(); len(got) != 1 || got[0].Node != "a" {
		t.Fatalf("got %+v after b expired", got)
	}
}

func TestTrackedFollowersAreBounded(t *testing.T) {
	server := New(Options{Sources: []Source{nil}, Now: func() time.Duration { return 0 }})
	for i := range maxTrackedFollowers + 10 {
		server.registry.recordCall(&feed.FollowRequest{Node: fmt.Sprint(i)}, 0)
	}
	if got := len(server.Followers()); got != maxTrackedFollowers {
		t.Fatalf("%d followers are tracked, want %d", got, maxTrackedFollowers)
	}
}
