package membership

import (
	"net/netip"
)

// compareViews compares the digests of a message with the own ones, and starts an exchange of digests if they differ.
func (n *Node) compareViews(peer *member, msg *Message) {
	if peer.State != Alive || n.byName[peer.Name] != peer {
		return
	}
	recordAgreement(&peer.agreedNamesEpoch, n.namesEpoch, &n.namesAgreements, msg.NamesDigest == n.namesDigest)
	if msg.NamesDigest != n.namesDigest {
		n.namesDifferedAt = n.now
	}
	same := msg.ViewDigest == n.viewDigest
	recordAgreement(&peer.agreedViewEpoch, n.viewEpoch, &n.viewAgreements, same)
	if !same {
		n.viewDifferedAt = n.now
		n.markDiverged()
	}
	if same && msg.MetadataDigest != n.metadataDigest {
		n.lastUpdateAt = n.now
	}
	if msg.Kind == Records || msg.Kind == Digests || n.now < n.nextSync {
		return
	}
	if same && (msg.MetadataDigest == n.metadataDigest || n.now < n.nextMetadataSync) {
		return
	}
	if n.PlainSWIM && n.now > n.self.stateSince+5*n.ProbeInterval { // there it only serves to join
		return
	}
	n.nextMetadataSync = n.now + metadataSyncInterval*n.ProbeInterval*(0.5+n.rng.Float64())
	interval := syncInterval
	if !n.recognized {
		interval = joiningSyncInterval
	}
	n.nextSync = n.now + interval*n.ProbeInterval*(0.5+n.rng.Float64())
	n.Syncs++
	n.send(peer.Addr, &Message{Kind: Digests, ShardDigests: n.shardDigests(), WantsDigests: true})
}

// shardDigests returns the digest of each shard of the view, with metadata.
func (n *Node) shardDigests() []uint64 {
	digests := make([]uint64, shardCount)
	digests[n.self.key%shardCount] ^= n.self.digestWithMetadata(n.self.key)
	for _, peer := range n.members {
		if peer.State <= Dead {
			digests[peer.key%shardCount] ^= peer.digestWithMetadata(peer.key)
		}
	}
	return digests
}

// handleDigests sends the records of the shards that differ, starting at a random one, so that all get their turn
// despite the limit of pages.
func (n *Node) handleDigests(msg *Message) {
	if len(msg.ShardDigests) != shardCount {
		return
	}
	own := n.shardDigests()
	first := uint64(n.rng.IntN(shardCount))
	var records []Record
	byShard := make([][]*member, shardCount)
	for _, peer := range n.members {
		if peer.State <= Dead {
			byShard[peer.key%shardCount] = append(byShard[peer.key%shardCount], peer)
		}
	}
	for i := range uint64(shardCount) {
		shard := (first + i) % shardCount
		if own[shard] == msg.ShardDigests[shard] {
			continue
		}
		if n.self.key%shardCount == shard {
			records = append(records, n.self.Record)
		}
		for _, peer := range byShard[shard] {
			records = append(records, peer.outgoingRecord(n.now))
		}
	}
	n.sendRecords(msg.From.Addr, records)
	if msg.WantsDigests {
		n.send(msg.From.Addr, &Message{Kind: Digests, ShardDigests: own})
	}
}

// sendRecords sends records in as many messages as needed, within the limit of a probe interval.
func (n *Node) sendRecords(to netip.AddrPort, records []Record) {
	if n.now >= n.pagesResetAt {
		n.pagesResetAt = n.now + n.ProbeInterval
		n.pagesSent = 0
	}
	for len(records) > 0 && n.pagesSent < maxPagesPerInterval {
		count := 0
		remaining := recordsBudget + payloadBudget // these messages carry no payload
		for count < min(len(records), maxRecords) {
			remaining -= records[count].maxEncodedSize()
			if remaining < 0 && count > 0 {
				break
			}
			count++
		}
		n.pagesSent++
		n.Pages++
		n.send(to, &Message{Kind: Records, Records: records[:count:count]})
		records = records[count:]
	}
}
