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
	if !seal.Stream || seal.Try != id {
		c.client.load.breach(checker.Mixed, "the seal of try %s came for try %s", seal.Try, id)
	}
	if c.of != 0 && seal.Size != c.of {
		c.client.load.breach(checker.Order, "try %s goes on with %d pieces where there were %d", id, seal.Size, c.of)
	}
	c.of = seal.Size
	c.run = ""
	err := c.readEvents(conn, bufio.NewReader(head.Body), id)
	switch {
	case errors.Is(err, errOrder):
		c.client.load.breach(checker.Order, "%v", err)
		return failed
	case err != nil:
		return c.broken(conn, err)
	case c.events < c.of:
		c.client.load.breach(checker.Order, "the stream of try %s ended as complete after piece %d of %d", id, c.events, c.of)
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
	if event.Index != c.events+1 || event.Of != c.of {
		return fmt.Errorf("%w: try %s: piece %d of %d came after %d of %d", errOrder, id, event.Index, event.Of, c.events,
			c.of)
	}
	if c.run != "" && event.Run != c.run && !c.Route.Resumable {
		return fmt.Errorf("%w: try %s: a piece of run %s came after one of run %s", errOrder, id, event.Run, c.run)
	}
	now := time.Now()
	if c.events == 0 {
		c.first = now.Sub(c.began)
	} else {
		c.gap = max(c.gap, now.Sub(c.heard))
	}
	c.events, c.run, c.heard = event.Index, event.Run, now
	return nil
}
