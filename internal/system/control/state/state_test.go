package state

import (
	"testing"
	"time"
)

// zeroClock is a clock that always shows 0.
func zeroClock() time.Duration { return 0 }

// noop is a callback without effect.
func noop() {}

// newTestConfiguration returns an empty configuration without clock and callback.
func newTestConfiguration() *Configuration { return NewConfiguration(zeroClock, noop) }

// testDigest returns a distinct digest for each number.
func testDigest(n int) Digest { return Digest{byte(n), byte(n >> 8), 1} }

// encodeCommit returns an encoded CommitConfiguration.
func encodeCommit(baseVersion, version uint64, digest int, writes ...Write) []byte {
	command := CommitConfiguration{BaseVersion: baseVersion, Version: version, Digest: testDigest(digest), Writes: writes}
	return command.Encode()
}

// put returns a write that sets a key.
func put(key, value string) Write { return Write{Key: key, Value: []byte(value)} }

// decodeResult returns the result that Apply encoded.
func decodeResult(t testing.TB, encoded []byte) Result {
	t.Helper()
	result, err := DecodeResult(encoded)
	if err != nil {
		t.Fatal(err)
	}
	return result
}
