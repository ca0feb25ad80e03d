package proxy

import (
	"math"
	"strconv"
	"strings"
	"time"

	"cinderroad/internal/shared/httpwire"
	"cinderroad/internal/system/placement"
)

// Fields that the system and its clients and runners speak by.
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
	maxTryIDBytes   = 256 // bytes
	maxRetryAfter   = 24 * time.Hour
	maxPromptChunks = 1024      // of a prompt
	maxTokenCount   = 100 << 20 // tokens
)

// parseTimeLeft reads how long the client will wait, at most the given time, which is also what counts where it does not say.
// It is 0 where the client's time is over.
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

// parseTokenCounts reads the tokens of the prompt and the most of the answer; what makes no sense is not told.
func parseTokenCounts(value string) (input, output int) {
	first, second, _ := strings.Cut(value, ",")
	return parseTokenCount(first), parseTokenCount(second)
}

func parseTokenCount(text string) int {
	n, err := strconv.Atoi(strings.Trim(text, " \t"))
	if err != nil || n < 0 || n > maxTokenCount {
		return 0
	}
	return n
}

// parsePromptChunks reads the parts of a prompt in their order; from the first that makes no sense on, nothing is told.
func parsePromptChunks(value string) []placement.Chunk {
	if value == "" {
		return nil
	}
	parts := make([]placement.Chunk, 0, strings.Count(value, ",")+1)
	for text := range strings.SplitSeq(value, ",") {
		id, tokens, ok := strings.Cut(strings.Trim(text, " \t"), ":")
		number, err := strconv.ParseUint(id, 16, 64)
		if !ok || err != nil || len(parts) == maxPromptChunks {
			break
		}
		parts = append(parts, placement.Chunk{ID: number, Tokens: parseTokenCount(tokens)})
	}
	return parts
}

// parseRetryAfter is when a runner that was full may be asked again; 0: it does not say.
func parseRetryAfter(head *httpwire.ResponseHead) time.Duration {
	seconds := parseSeconds(head.Header.Get(headerRetryAfter))
	return max(0, min(seconds, maxRetryAfter))
}

// parseSeconds reads a time in seconds; 0 when it makes no sense.
func parseSeconds(value string) time.Duration {
	s, err := strconv.ParseFloat(value, 64)
	if err != nil || !(s > 0) || s > maxRetryAfter.Seconds() {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// advertisedIdleTimeout is how long the connection may rest after an answer with this header; 0: it does not say.
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
