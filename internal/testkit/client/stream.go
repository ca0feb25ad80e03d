package client

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"cinderroad/internal/testkit/answer"
	"cinderroad/internal/testkit/checker"
)

// errOrder says that a piece is missing, comes twice or is of another run.
var errOrder = errors.New("order")

// readStream reads events until the stream ends.
func (c *call) readStream(conn *conn, head *http.Response, seal answer.Seal, id string) verdict {
	if !seal.Stream || seal.AttemptID != id {
		c.client.load.breach(checker.MisdeliveredAnswer, "the seal of try %s came for try %s", seal.AttemptID, id)
	}
	if c.of != 0 && seal.Size != c.of {
		c.client.load.breach(checker.StreamOrder, "try %s goes on with %d pieces where there were %d", id, seal.Size, c.of)
	}
	c.of = seal.Size
	c.run = ""
	err := c.readEvents(conn, bufio.NewReader(head.Body), id)
	switch {
	case errors.Is(err, errOrder):
		c.client.load.breach(checker.StreamOrder, "%v", err)
		return failed
	case err != nil:
		return c.broken(conn, err)
	case c.events < c.of:
		c.client.load.breach(checker.StreamOrder, "the stream of try %s ended as complete after piece %d of %d", id, c.events, c.of)
		return failed
	}
	return served
}

func (c *call) readEvents(conn *conn, lines *bufio.Reader, id string) error {
	eventID := ""
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" {
			return nil
		}
		if err != nil {
			return io.ErrUnexpectedEOF
		}
		line = strings.TrimRight(line, "\r\n")
		if rest, is := strings.CutPrefix(line, "id: "); is {
			eventID = rest
		}
		data, is := strings.CutPrefix(line, "data: ")
		if !is {
			continue
		}
		if err := c.event(eventID, data, id); err != nil {
			return err
		}
		conn.SetDeadline(c.patience())
	}
}

// event takes a piece.
func (c *call) event(eventID, data, id string) error {
	event, err := answer.ParseEvent(eventID, data)
	if err != nil {
		return fmt.Errorf("%w: try %s: %w", errOrder, id, err)
	}
	if event.Index != c.events+1 || event.Total != c.of {
		return fmt.Errorf("%w: try %s: piece %d of %d came after %d of %d", errOrder, id, event.Index, event.Total, c.events,
			c.of)
	}
	if c.run != "" && event.ExecutionID != c.run && !c.Route.Resumable {
		return fmt.Errorf("%w: try %s: a piece of run %s came after one of run %s", errOrder, id, event.ExecutionID, c.run)
	}
	now := time.Now()
	if c.events == 0 {
		c.first = now.Sub(c.began)
	} else {
		c.gap = max(c.gap, now.Sub(c.heard))
	}
	c.events, c.run, c.heard = event.Index, event.ExecutionID, now
	return nil
}
