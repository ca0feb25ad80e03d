package state

import (
	"bytes"
	"encoding/binary"
	"iter"
	"strings"
	"sync"
	"time"

	"cinderroad/internal/system/feed"
)

// store is a partition's table behind a lock, as both state machines have it.
type store struct {
	now     func() time.Duration // steady
	changed func()

	mutex sync.Mutex
	table *feed.Table
}

func newStore(partition feed.Partition, now func() time.Duration, changed func()) store {
	return store{now: now, changed: changed, table: feed.NewTable(partition)}
}

// apply puts writes in force under an index. The values are copied: they are part of a longer command. The lock is held.
func (s *store) apply(index uint64, writes []Write) {
	now := s.now()
	for _, write := range writes {
		if write.Deleted {
			s.table.Delete(now, index, write.Key)
			continue
		}
		s.table.Put(now, index, write.Key, bytes.Clone(write.Value))
	}
	s.table.Advance(index)
	s.changed()
}

// replace brings the table to a snapshot. The lock is held.
func (s *store) replace(batch feed.Batch) {
	batch.Partition = s.table.Partition()
	s.table.Apply(s.now(), batch)
	s.changed()
}

func (s *store) holds(key string) bool {
	_, found := s.table.Get(key)
	return found
}

// Index is that of the newest change.
func (s *store) Index() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.LastChangeIndex()
}

// Len is how many items the partition has.
func (s *store) Len() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Len()
}

// Since returns what changed after the index, or a snapshot, with the items' ages. A delta of more than maxBytes
// (0: no bound) ends earlier, between two changes. The batch is empty if nothing changed, or if the caller is ahead.
func (s *store) Since(index uint64, maxBytes int) feed.Batch {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.BatchSince(s.now(), index, maxBytes)
}

// appendTo appends the table. The lock is held.
func (s *store) appendTo(b []byte) []byte {
	batch := s.table.Snapshot(0)
	b = binary.AppendUvarint(b, batch.To)
	b = binary.AppendUvarint(b, uint64(len(batch.Items)))
	for i := range batch.Items {
		item := &batch.Items[i]
		b = appendText(b, item.Key)
		b = binary.AppendUvarint(b, item.Index)
		b = binary.AppendUvarint(b, uint64(len(item.Value)))
		b = append(b, item.Value...)
	}
	return b
}

// table reads what appendTo wrote, to the end of the snapshot. Its values are copies.
func (r *reader) table() (batch feed.Batch, ok bool) {
	batch = feed.Batch{Snapshot: true, To: r.number()}
	count := r.length()
	batch.Items = make([]feed.Item, 0, min(count, 4096))
	for range count {
		item := feed.Item{Key: r.text(), Index: r.number()}
		item.Value = append([]byte{}, r.data()...)
		if r.bad || item.Index > batch.To {
			return feed.Batch{}, false
		}
		batch.Items = append(batch.Items, item)
	}
	return batch, r.done()
}

// Values are items at a moment, in the order of their keys. They are shared and not to be changed.
type Values []feed.Item

// WithPrefix returns the keys that begin with the prefix, and their values.
func (v Values) WithPrefix(prefix string) iter.Seq2[string, []byte] {
	return func(yield func(string, []byte) bool) {
		for i := range v {
			if strings.HasPrefix(v[i].Key, prefix) && !yield(v[i].Key, v[i].Value) {
				return
			}
		}
	}
}

// values returns the table's items whose keys begin with the prefix. The lock is held.
func (s *store) values(prefix string) Values {
	values := make(Values, 0, s.table.Len())
	for item := range s.table.Items(s.now(), prefix) {
		values = append(values, item)
	}
	return values
}
