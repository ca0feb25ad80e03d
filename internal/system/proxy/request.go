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

// pathOf is the path of a target.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

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

// appendRequest writes the head of a request for a runner, which is followed by the body.
func (x *exchange) appendRequest(b []byte, choice placement.Choice) []byte {
	b = append(b, x.head.Method...)
	b = append(b, ' ')
	b = append(b, x.head.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	resumed := x.response.started
	for i := range x.head.Header {
		field := &x.head.Header[i]
		if !x.isForwarded(field.Name, choice, resumed) {
			continue
		}
		b = httpwire.AppendField(b, field.Name, field.Value)
	}
	if resumed && x.eventReader.lastID != "" {
		b = httpwire.AppendField(b, headerLastEventID, x.eventReader.lastID)
	}
	left := (x.request.Deadline - x.proxy.now()) / time.Millisecond
	b = httpwire.AppendIntField(b, headerTimeLeft, max(1, int64(left)))
	b = httpwire.AppendField(b, headerWantedServer, choice.Runner)
	if choice.Priority >= 0 {
		b = httpwire.AppendIntField(b, headerPriority, int64(choice.Priority))
	}
	if x.head.Body.Kind != httpwire.NoBody {
		b = httpwire.AppendIntField(b, "Content-Length", int64(len(x.body)))
	}
	return append(b, "\r\n"...)
}

// isForwarded says whether a field of the client goes to the runner as it came.
func (x *exchange) isForwarded(name string, choice placement.Choice, resumed bool) bool {
	switch {
	case strings.EqualFold(name, headerTryID), strings.EqualFold(name, "Host"):
		return true
	case strings.EqualFold(name, headerTimeLeft), strings.EqualFold(name, headerWantedServer):
		return false
	case strings.EqualFold(name, headerPriority):
		return choice.Priority < 0
	case strings.EqualFold(name, headerLastEventID):
		return !resumed || x.eventReader.lastID == ""
	}
	return x.head.Header.IsEndToEnd(name)
}
