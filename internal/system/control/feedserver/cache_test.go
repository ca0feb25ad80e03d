package feedserver

import (
	"context"
	"testing"
	"time"

	"cinderroad/internal/system/feed"
)

func TestBatchesArePackedOnce(t *testing.T) {
	fixture := newTestServer()
	fixture.sources[1].put(5, "a", 50<<10)
	request := &feed.FollowRequest{Packed: true}
	var first []byte
	for i := range 10 {
		reply, err := fixture.server.Follow(context.Background(), request)
		if err != nil || len(reply.Batches) != 1 || len(reply.Batches[0].Packed) == 0 {
			t.Fatalf("%+v, %v", reply, err)
		}
		batch := reply.Batches[0]
		if i == 0 {
			first = batch.Packed
		}
		if &batch.Packed[0] != &first[0] || batch.PackedAge != time.Duration(i)*time.Second {
			t.Fatalf("packed again, or %v old after %d seconds", batch.PackedAge, i)
		}
		fixture.clock.advance(time.Second)
	}
	if fixture.sources[1].reads != 1 {
		t.Errorf("it was read %d times", fixture.sources[1].reads)
	}
	if reply := fixture.follow(t, 0); len(reply.Batches[0].Items) != 1 || reply.Batches[0].Items[0].Age != 10*time.Second {
		t.Errorf("a follower that accepts no packed batches: %+v", reply)
	}
}
