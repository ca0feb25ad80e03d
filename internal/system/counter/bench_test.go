package counter

import (
	"fmt"
	"runtime"
	"testing"
)

// benchmarkRanges returns encoded ranges of one log, each as large as an exchange allows.
func benchmarkRanges(entries int) (encoded [][]byte) {
	operationAt := func(sequence uint64) Operation {
		id := fmt.Sprintf("%016x", sequence*0x9e3779b97f4a7c15)
		return Operation{ID: id, Counter: counterNames[sequence%3], Amount: int64(sequence % 9)}
	}
	from := sender(2, 2)
	for first := uint64(1); first <= uint64(entries); {
		encoder := newRangeEncoder(maxExchangeBytes)
		encoder.add(2, first, uint64(entries), operationAt)
		data := encoder.finish(&from)
		ranges, _ := decodeRanges(&from, data)
		first = ranges[0].last() + 1
		encoded = append(encoded, data)
	}
	return encoded
}

// BenchmarkApply reports what it costs to take entries of a peer: time, and memory that stays.
func BenchmarkApply(b *testing.B) {
	const entries = 300_000 // a bit more than an hour of them
	encoded := benchmarkRanges(entries)
	from := sender(2, 2)
	vector := encodeVector(&from, nil)
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		node, err := NewNode(Options{Origin: 1, Address: testAddress(1)}, nil, 0)
		if err != nil {
			b.Fatal(err)
		}
		for _, ranges := range encoded {
			node.HandleRequest(&ExchangeRequest{From: from, Vector: vector, Ranges: ranges}, 0)
			ready := node.Ready(0)
			node.HandlePersisted(len(ready.Entries), 0)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		if node.logs.entries != entries {
			b.Fatalf("%d entries", node.logs.entries)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/entries, "B/entry")
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/entries, "ns/entry")
}

// BenchmarkReadyIdle reports what a Ready costs that has nothing to do, with eight peers that hold the logs of many origins.
func BenchmarkReadyIdle(b *testing.B) {
	for _, origins := range []int{9, 100} {
		b.Run(fmt.Sprintf("origins=%d", origins), func(b *testing.B) {
			node, err := NewNode(Options{Origin: 1, Address: testAddress(1)}, nil, 0)
			if err != nil {
				b.Fatal(err)
			}
			var ranges []entryRange
			for origin := range Origin(origins) {
				ranges = append(ranges, entryRange{origin + 2, 1, []Operation{{fmt.Sprint(origin), "t1", 1}}})
			}
			node.SetPeers(testPeers(9), 0)
			node.HandleRequest(requestFrom(sender(2, 2), nil, ranges...), 0)
			node.HandlePersisted(len(node.Ready(0).Entries), 0)
			for number := 2; number <= 9; number++ {
				node.HandleReply(testAddress(number), replyFrom(sender(number, Origin(number)), node.logs.vector()), 0)
			}
			for b.Loop() {
				node.Ready(0)
			}
		})
	}
}
