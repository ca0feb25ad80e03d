package proxy

import (
	"math"
	"strconv"
	"strings"
	"time"

	"cinderroad/internal/shared/httpwire"
	"cinderroad/internal/system/placement"
)

// Header fields of the protocol between clients, proxies and runners.
const (
	headerTryID        = "X-Try-Id"
	headerTimeLeft     = "X-Time-Left-Ms"
	headerModel        = "X-Model"
	headerTokenCounts  = "X-Token-Counts"
	headerPromptStart  = "X-Prompt-Start"
	headerWantedServer = "X-Wanted-Server"
	headerPriority     = "Priority"
	headerLastEventID  = "Last-Event-Id"
	headerSeal         = "X-Server-Seal"
	headerNotRun       = "X-Not-Run"
	headerRetryAfter   = "Retry-After"
)

const (
	maxTryIDBytes   = 256
	maxRetryAfter   = 24 * time.Hour
	maxPromptChunks = 1024
	maxTokenCount   = 100 << 20
)

// parseTimeLeft returns how long the client will wait, at most atMost. A missing or malformed field means atMost; 0
// means that the client's time has run out.
func parseTimeLeft(header httpwire.Header, atMost time.Duration) time.Duration {
	ms, err := strconv.ParseFloat(header.Get(headerTimeLeft), 64)
	switch {
	case err != nil || math.IsNaN(ms):
		return atMost
	case ms <= 0:
		return 0
	case ms >= float64(atMost)/float64(time.Millisecond):
		return atMost
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// parseTokenCounts returns the number of prompt tokens and the limit of response tokens; 0 for a malformed or missing
// value.
func parseTokenCounts(value string) (input, output int) {
	first, second, _ := strings.Cut(value, ",")
	return parseTokenCount(first), parseTokenCount(second)
}

func parseTokenCount(text string) int {
	count, err := strconv.Atoi(strings.Trim(text, " \t"))
	if err != nil || count < 0 || count > maxTokenCount {
		return 0
	}
	return count
}

// parsePromptChunks returns the chunks of a prompt in order, up to the first malformed one.
func parsePromptChunks(value string) []placement.Chunk {
	if value == "" {
		return nil
	}
	chunks := make([]placement.Chunk, 0, strings.Count(value, ",")+1)
	for text := range strings.SplitSeq(value, ",") {
		id, tokens, ok := strings.Cut(strings.Trim(text, " \t"), ":")
		number, err := strconv.ParseUint(id, 16, 64)
		if !ok || err != nil || len(chunks) == maxPromptChunks {
			break
		}
		chunks = append(chunks, placement.Chunk{ID: number, Tokens: parseTokenCount(tokens)})
	}
	return chunks
}

// parseRetryAfter returns when a runner at capacity may be tried again; 0: not given.
func parseRetryAfter(head *httpwire.ResponseHead) time.Duration {
	seconds := parseSeconds(head.Header.Get(headerRetryAfter))
	return max(0, min(seconds, maxRetryAfter))
}

// parseSeconds returns a duration given in seconds; 0 if it is malformed or out of range.
func parseSeconds(value string) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) || seconds > maxRetryAfter.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// advertisedIdleTimeout returns how long the connection may stay idle after a response with this header, less a safety
// margin; 0: not given.
func advertisedIdleTimeout(header httpwire.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.Trim(part, " \t"), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.ParseUint(value, 10, 16); err == nil && n > 0 {
			return max(time.Duration(n)*time.Second-advertisedIdleMargin, minIdleTrust)
		}
	}
	return 0
}
