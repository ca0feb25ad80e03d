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

// deliverMethod is the call by which replicas pass messages of the agreement to each other.
var deliverMethod = rpc.Declare[replica.DeliverRequest, replica.DeliverReply]("Replica.Deliver")

// fakeLeader keeps a partition without a leader on a machine: it claims to lead it, in a term that rises, and to have agreed on
// more than the machine can ever get.
type fakeLeader struct {
	partition feed.Partition
	term      uint64
}

func (u *fakeLeader) claimLeadership(t *testing.T, s *testCluster, client *rpc.Client) {
	t.Helper()
	u.term += 1000
	message := consensus.EncodeMessage(consensus.Message{Kind: consensus.MessageAppend, From: 1, Term: u.term, Commit: math.MaxUint32,
		To: s.processes[0].host.Status()[u.partition].Status.ID, Round: 1})
	batch := binary.AppendUvarint(nil, uint64(u.partition))
	batch = binary.AppendUvarint(batch, uint64(len(message)))
	request := replica.DeliverRequest{Messages: append(batch, message...)}
	if _, err := deliverMethod.Invoke(context.Background(), client, &request); err != nil {
		t.Fatal(err)
	}
}

// TestLeaderlessPartitionIsStaleAlone has one partition of a machine lose its leader: its feed says so of that one
// alone, and goes on with the others.
func TestLeaderlessPartitionIsStaleAlone(t *testing.T) {
	for lost := range feed.Partition(1 + feed.RunnerPartitionCount) {
		t.Run(fmt.Sprint("partition ", lost), func(t *testing.T) {
			s := newTestCluster(t, 1)
			s.mustAcknowledge(api.PathReplace, "0", documentJSON(1, 1000))
			settings := s.settings[0]
			address := netip.AddrPortFrom(settings.IP, settings.Port(processconfig.ControlRPCPort))
			client := rpc.NewClient(address, rpc.ClientOptions{})
			defer client.Close()
			u := fakeLeader{partition: lost}
			s.waitFor("the lost partition is stale, the others are not", func() bool {
				u.claimLeadership(t, s, client)
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
			s.mustAcknowledge(api.PathReplace, "1", documentJSON(2, 2000))
			s.waitFor("the configuration goes on", func() bool {
				u.claimLeadership(t, s, client)
				return string(s.follow(0)[feed.KeyVersion].Value) == "2"
			})
		})
	}
}
