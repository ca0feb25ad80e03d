package compatibility_test

import (
	"os"
	"path/filepath"
	"testing"

	"cinderroad/internal/compatibility"
	"cinderroad/internal/system/control/counterservice"
	"cinderroad/internal/system/counter"
	"cinderroad/internal/system/counterstore"
)

const ownOrigin = counter.Origin(0x8000000000000001)

// storedCounters are the entries of the recorded file of counters.
var storedCounters = []counter.Entry{
	{Origin: ownOrigin, Sequence: 1, Operation: counter.Operation{ID: "5c0e7a21d94b36f8", Counter: "visits", Amount: 4}},
	{Origin: ownOrigin, Sequence: 2, Operation: counter.Operation{ID: "id \"2\"", Counter: "ü", Amount: -1 << 63}},
	{Origin: 7, Sequence: 1, Operation: counter.Operation{ID: "5c0e7a21d94b36f8", Counter: "visits", Amount: 4}},
}

// TestReadStoredCounters checks recorded files of counters of a process that was stopped and of one that was killed.
func TestReadStoredCounters(t *testing.T) {
	written := writeCounters(t)
	for _, c := range []struct {
		name  string
		files []string
	}{{"stopped", []string{"counters.db"}}, {"killed", []string{"counters.db", "counters.db-wal"}}} {
		t.Run(c.name, func(t *testing.T) {
			old := t.TempDir()
			for _, file := range c.files {
				recorded := compatibility.SharedFolder.Record(t, "counters/"+c.name+"/"+file, written[c.name+"/"+file])
				if err := os.WriteFile(filepath.Join(old, file), recorded, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			store := must(counterstore.Open(old, noOrigin(t)))(t)
			defer store.Close()
			expectEqual(t, "origin", store.Origin(), ownOrigin)
			expectEqual(t, "entries", must(store.Load())(t), storedCounters)
			if store.IsNew() {
				t.Error("the file counts as new")
			}
		})
	}
}

// noOrigin draws no origin: a recorded file has one.
func noOrigin(t *testing.T) func() counter.Origin {
	return func() counter.Origin {
		t.Error("a new origin is drawn")
		return 1
	}
}

// writeCounters makes a file of counters and returns its content, as it was while the store was open, and once it was closed.
func writeCounters(t *testing.T) map[string][]byte {
	t.Helper()
	folder := t.TempDir()
	store := must(counterstore.Open(folder, func() counter.Origin { return ownOrigin }))(t)
	if err := store.Write(0, storedCounters); err != nil {
		t.Fatal(err)
	}
	files := map[string][]byte{}
	for _, file := range []string{"counters.db", "counters.db-wal"} {
		files["killed/"+file] = must(os.ReadFile(filepath.Join(folder, file)))(t)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	files["stopped/counters.db"] = must(os.ReadFile(filepath.Join(folder, "counters.db")))(t)
	return files
}

// TestReadCounterCalls checks the call between replicas of counters.
func TestReadCounterCalls(t *testing.T) {
	request := &counter.ExchangeRequest{
		From:   counter.Sender{Address: "10.0.0.9:7660", Zone: "east-a", Origin: ownOrigin},
		Vector: []byte("vector"),
		Ranges: []byte("ranges"),
		Pull:   true,
	}
	reply := &counter.ExchangeReply{
		From:   counter.Sender{Address: "10.0.0.8:7660", Zone: "east-b", Origin: 7},
		Vector: []byte("other vector"),
		Ranges: []byte("other ranges"),
	}
	checkCall(t, counterservice.ExchangeMethod, "", request, reply)
	checkCall(t, counterservice.ExchangeMethod, "zero", &counter.ExchangeRequest{}, &counter.ExchangeReply{})
}
