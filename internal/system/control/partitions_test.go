package control

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/control/api"
	"cinderroad/internal/system/control/feedserver"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/processconfig"
	"cinderroad/internal/system/replica"
	"cinderroad/internal/system/rpc"
)

// deliver is the call by which replicas pass messages of the agreement to each other.
var deliver = rpc.Declare[replica.DeliverRequest, replica.DeliverReply]("Replica.Deliver")

// usurper keeps a partition without a leader on a machine: it claims to lead it, in a term that rises, and to have agreed on
// more than the machine can ever get.
type usurper struct {
	partition feed.Partition
	term      uint64
}

func (u *usurper) claim(t *testing.T, s *system, client *rpc.Client) {
	t.Helper()
	u.term += 1000
	message := consensus.EncodeMessage(consensus.Message{Kind: consensus.MessageAppend, From: 1, Term: u.term, Commit: math.MaxUint32,
		To: s.processes[0].host.Status()[u.partition].Status.ID, Round: 1})
	batch := binary.AppendUvarint(nil, uint64(u.partition))
	batch = binary.AppendUvarint(batch, uint64(len(message)))
	request := replica.DeliverRequest{Messages: append(batch, message...)}
	if _, err := deliver.Invoke(context.Background(), client, &request); err != nil {
		t.Fatal(err)
	}
}

// TestPartitionWithoutALeaderIsStaleByItself has one partition of a machine lose its leader: its feed says so of that one
// alone, and goes on with the others.
func TestPartitionWithoutALeaderIsStaleByItself(t *testing.T) {
	for lost := range feed.Partition(1 + feed.RunnerPartitionCount) {
		t.Run(fmt.Sprint("partition ", lost), func(t *testing.T) {
			s := newSystem(t, 1)
			s.insist(api.PathReplace, "0", document(1, 1000))
			settings := s.settings[0]
			address := netip.AddrPortFrom(settings.IP, settings.Port(processconfig.ControlRPCPort))
			client := rpc.NewClient(address, rpc.ClientOptions{})
			defer client.Close()
			u := usurper{partition: lost}
			s.wait("the lost partition is stale, the others are not", func() bool {
				u.claim(t, s, client)
				reply, err := feedserver.FollowMethod.Invoke(context.Background(), client, &feed.FollowRequest{Node: "test"})
				if err != nil {
					t.Fatal(err)
				}
				for partition := range feed.Partition(1 + feed.RunnerPartitionCount) {
					if stale := reply.Age(partition) > 3*time.Second; stale != (partition == lost) {
						return false
					}
				}
				return true
			})
			if lost == feed.ConfigurationPartition {
				return
			}
			s.insist(api.PathReplace, "1", document(2, 2000))
			s.wait("the configuration goes on", func() bool {
				u.claim(t, s, client)
				return string(s.follow(0)[feed.KeyVersion].Value) == "2"
			})
		})
	}
}
