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

// deliverMethod is the RPC method by which replicas exchange consensus messages.
var deliverMethod = rpc.Declare[replica.DeliverRequest, replica.DeliverReply]("Replica.Deliver")

// fakeLeader keeps a partition of a machine without a leader: it claims to lead it, in rising terms and with a commit
// index that the machine can never reach.
type fakeLeader struct {
	partition feed.Partition
	term      uint64
}

func (f *fakeLeader) claimLeadership(t *testing.T, c *testCluster, client *rpc.Client) {
	t.Helper()
	f.term += 1000
	message := consensus.EncodeMessage(consensus.Message{
		Kind:   consensus.MessageAppend,
		From:   1,
		Term:   f.term,
		Commit: math.MaxUint32,
		To:     c.processes[0].host.Status()[f.partition].Status.ID,
		Round:  1,
	})
	batch := binary.AppendUvarint(nil, uint64(f.partition))
	batch = binary.AppendUvarint(batch, uint64(len(message)))
	request := replica.DeliverRequest{Messages: append(batch, message...)}
	if _, err := deliverMethod.Invoke(context.Background(), client, &request); err != nil {
		t.Fatal(err)
	}
}

// TestLeaderlessPartitionIsStaleAlone has one partition of a machine lose its leader: the feed reports that one alone
// as stale, and goes on with the others.
func TestLeaderlessPartitionIsStaleAlone(t *testing.T) {
	for lost := range feed.Partition(1 + feed.RunnerPartitionCount) {
		t.Run(fmt.Sprint("partition ", lost), func(t *testing.T) {
			cluster := newTestCluster(t, 1)
			cluster.mustAcknowledge(api.PathReplace, "0", documentJSON(1, 1000))
			settings := cluster.settings[0]
			address := netip.AddrPortFrom(settings.IP, settings.Port(processconfig.ControlRPCPort))
			client := rpc.NewClient(address, rpc.ClientOptions{})
			defer client.Close()
			leader := fakeLeader{partition: lost}
			cluster.waitFor("the lost partition is stale, the others are not", func() bool {
				leader.claimLeadership(t, cluster, client)
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
			cluster.mustAcknowledge(api.PathReplace, "1", documentJSON(2, 2000))
			cluster.waitFor("the configuration goes on", func() bool {
				leader.claimLeadership(t, cluster, client)
				return string(cluster.follow(0)[feed.KeyVersion].Value) == "2"
			})
		})
	}
}
