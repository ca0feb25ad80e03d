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
	fieldTryID       = "X-Try-Id"
	fieldTimeLeft    = "X-Time-Left-Ms"
	fieldModel       = "X-Model"
	fieldTokenCounts = "X-Token-Counts"
	fieldPromptStart = "X-Prompt-Start"
	fieldWanted      = "X-Wanted-Server"
	fieldPriority    = "Priority"
	fieldLastEvent   = "Last-Event-Id"
	fieldSeal        = "X-Server-Seal"
	fieldNotRun      = "X-Not-Run"
	fieldRetryAfter  = "Retry-After"
)

const (
	mostTryID = 256 // bytes
	mostWait  = 24 * time.Hour
	mostParts = 1024      // of a prompt
	mostCount = 100 << 20 // tokens
)

// pathOf is the path of a target.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// timeLeft reads how long the client will wait, at most the given time, which is also what counts where it does not say.
// It is 0 where the client's time is over.
func timeLeft(h httpwire.Header, atMost time.Duration) time.Duration {
	ms, err := strconv.ParseFloat(h.Get(fieldTimeLeft), 64)
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

// tokenCounts reads the tokens of the prompt and the most of the answer; what makes no sense is not told.
func tokenCounts(value string) (in, out int) {
	first, second, _ := strings.Cut(value, ",")
	return count(first), count(second)
}

func count(text string) int {
	n, err := strconv.Atoi(strings.Trim(text, " \t"))
	if err != nil || n < 0 || n > mostCount {
		return 0
	}
	return n
}

// promptParts reads the parts of a prompt in their order; from the first that makes no sense on, nothing is told.
func promptParts(value string) []placement.Chunk {
	if value == "" {
		return nil
	}
	parts := make([]placement.Chunk, 0, strings.Count(value, ",")+1)
	for text := range strings.SplitSeq(value, ",") {
		id, tokens, ok := strings.Cut(strings.Trim(text, " \t"), ":")
		number, err := strconv.ParseUint(id, 16, 64)
		if !ok || err != nil || len(parts) == mostParts {
			break
		}
		parts = append(parts, placement.Chunk{ID: number, Tokens: count(tokens)})
	}
	return parts
}

// appendRequest writes the head of a request for a runner, which is followed by the body.
func (x *exchange) appendRequest(b []byte, c placement.Choice) []byte {
	b = append(b, x.head.Method...)
	b = append(b, ' ')
	b = append(b, x.head.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	resumed := x.answer.begun
	for i := range x.head.Header {
		f := &x.head.Header[i]
		if !x.goesOn(f.Name, c, resumed) {
			continue
		}
		b = httpwire.AppendField(b, f.Name, f.Value)
	}
	if resumed && x.events.lastID != "" {
		b = httpwire.AppendField(b, fieldLastEvent, x.events.lastID)
	}
	left := (x.request.Deadline - x.proxy.now()) / time.Millisecond
	b = httpwire.AppendIntField(b, fieldTimeLeft, max(1, int64(left)))
	b = httpwire.AppendField(b, fieldWanted, c.Runner)
	if c.Priority >= 0 {
		b = httpwire.AppendIntField(b, fieldPriority, int64(c.Priority))
	}
	if x.head.Body.Kind != httpwire.NoBody {
		b = httpwire.AppendIntField(b, "Content-Length", int64(len(x.body)))
	}
	return append(b, "\r\n"...)
}

// goesOn says whether a field of the client goes to the runner as it came.
func (x *exchange) goesOn(name string, c placement.Choice, resumed bool) bool {
	switch {
	case strings.EqualFold(name, fieldTryID), strings.EqualFold(name, "Host"):
		return true
	case strings.EqualFold(name, fieldTimeLeft), strings.EqualFold(name, fieldWanted):
		return false
	case strings.EqualFold(name, fieldPriority):
		return c.Priority < 0
	case strings.EqualFold(name, fieldLastEvent):
		return !resumed || x.events.lastID == ""
	}
	return x.head.Header.IsEndToEnd(name)
}
