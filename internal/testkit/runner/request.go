package runner

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"

	"cinderroad/internal/testkit/answer"
	"cinderroad/internal/testkit/engine"
)

// parseRequest converts a request's headers to the engine's work.
func (r *Runner) parseRequest(request *http.Request) (*engine.Request, error) {
	engineRequest := &engine.Request{Model: request.Header.Get(answer.HeaderModel), Priority: engine.DefaultPriority}
	if n, err := strconv.Atoi(request.Header.Get(answer.HeaderPriority)); err == nil && n >= 0 && n <= engine.LowestPriority {
		engineRequest.Priority = n
	}
	if r.options.EventTokens == 0 {
		return engineRequest, nil
	}
	var err error
	if engineRequest.Chunks, err = parseChunks(request.Header.Get(answer.HeaderPromptChunks)); err != nil {
		return nil, err
	}
	maxOutputTokens := 1
	if _, text, found := strings.Cut(request.Header.Get(answer.HeaderTokenCounts), ","); found {
		maxOutputTokens, _ = strconv.Atoi(text)
	}
	engineRequest.OutputTokens = outputTokens(engineRequest.Chunks, maxOutputTokens)
	if last := request.Header.Get(answer.HeaderLastEventID); last != "" {
		done, err := strconv.Atoi(last)
		if err != nil || done < 0 {
			return nil, fmt.Errorf("%s %q is not a number", answer.HeaderLastEventID, last)
		}
		engineRequest.ResumedTokens = min(done*r.options.EventTokens, engineRequest.OutputTokens-1)
	}
	return engineRequest, nil
}

// parseChunks parses a prompt's chunks: ID:TOKENS, separated by commas, IDs in hexadecimal.
func parseChunks(text string) (parts []engine.Chunk, err error) {
	if text == "" {
		return nil, nil
	}
	for field := range strings.SplitSeq(text, ",") {
		id, tokens, found := strings.Cut(field, ":")
		if !found {
			return nil, fmt.Errorf("part %q of a prompt has no size", field)
		}
		var part engine.Chunk
		if part.ID, err = strconv.ParseUint(id, 16, 64); err != nil {
			return nil, fmt.Errorf("part %q of a prompt: %w", field, err)
		}
		if part.Tokens, err = strconv.Atoi(tokens); err != nil || part.Tokens < 0 {
			return nil, fmt.Errorf("part %q of a prompt has no size", field)
		}
		parts = append(parts, part)
	}
	return parts, nil
}

// outputTokens returns the length of the answer to a prompt: between a quarter of the limit and all of it, and equal
// at every runner, so that a stream can be resumed elsewhere.
func outputTokens(parts []engine.Chunk, limit int) int {
	limit = max(1, limit)
	if len(parts) == 0 {
		return limit
	}
	hash := fnv.New32a()
	fmt.Fprint(hash, parts[len(parts)-1].ID)
	const steps = 1000
	return max(1, limit/4+limit*3/4*int(hash.Sum32()%steps)/(steps-1))
}
