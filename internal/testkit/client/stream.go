package client

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"cinderroad/internal/testkit/answer"
	"cinderroad/internal/testkit/checker"
)

// errStreamOrder: an event is missing, repeated, or of another execution.
var errStreamOrder = errors.New("order")

// readStream reads events until the stream ends.
func (c *callState) readStream(conn *conn, head *http.Response, seal answer.Seal, id string) attemptResult {
	report := c.client.generator.report
	if !seal.Stream || seal.AttemptID != id {
		report(checker.MisdeliveredAnswer, "the seal of attempt %s came for attempt %s", seal.AttemptID, id)
	}
	if c.totalEvents != 0 && seal.Size != c.totalEvents {
		report(checker.StreamOrder, "attempt %s goes on with %d events where there were %d", id, seal.Size, c.totalEvents)
	}
	c.totalEvents = seal.Size
	c.executionID = ""
	err := c.readEvents(conn, bufio.NewReader(head.Body), id)
	switch {
	case errors.Is(err, errStreamOrder):
		report(checker.StreamOrder, "%v", err)
		return attemptFailed
	case errors.Is(err, os.ErrDeadlineExceeded) && !c.hasLeft():
		c.client.markFailed(conn.address)
		return attemptFailed // silence: the client may go on with a new attempt
	case err != nil:
		return c.answerCut(conn, id, err)
	case c.events < c.totalEvents:
		report(checker.StreamOrder, "the stream of attempt %s ended as complete after event %d of %d",
			id, c.events, c.totalEvents)
		return attemptFailed
	}
	return succeeded
}

func (c *callState) readEvents(conn *conn, lines *bufio.Reader, id string) error {
	eventID := ""
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" {
			return nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if err != nil {
			return io.ErrUnexpectedEOF
		}
		line = strings.TrimRight(line, "\r\n")
		if rest, found := strings.CutPrefix(line, "id: "); found {
			eventID = rest
		}
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		if err := c.handleEvent(eventID, data, id); err != nil {
			return err
		}
		conn.SetDeadline(c.readDeadline())
	}
}

// handleEvent verifies and records one event.
func (c *callState) handleEvent(eventID, data, id string) error {
	event, err := answer.ParseEvent(eventID, data)
	if err != nil {
		return fmt.Errorf("%w: attempt %s: %w", errStreamOrder, id, err)
	}
	if event.Index != c.events+1 || event.Total != c.totalEvents {
		return fmt.Errorf("%w: attempt %s: event %d of %d came after %d of %d",
			errStreamOrder, id, event.Index, event.Total, c.events, c.totalEvents)
	}
	if c.executionID != "" && event.ExecutionID != c.executionID && !c.Route.Resumable {
		return fmt.Errorf("%w: attempt %s: an event of execution %s came after one of execution %s",
			errStreamOrder, id, event.ExecutionID, c.executionID)
	}
	now := time.Now()
	if c.events == 0 {
		c.firstLatency = now.Sub(c.started)
	} else {
		c.longestGap = max(c.longestGap, now.Sub(c.lastEventAt))
	}
	c.events = event.Index
	c.executionID = event.ExecutionID
	c.lastEventAt = now
	return nil
}
