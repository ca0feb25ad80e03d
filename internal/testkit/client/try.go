package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"cinderroad/internal/testkit/answer"
	"cinderroad/internal/testkit/checker"
)

// method is that of all requests.
const method = http.MethodPost

// try sends the request once and reads the answer.
func (c *call) try(ctx context.Context, fresh bool) verdict {
	conn, err := c.client.connect(ctx, c.Route.Host, fresh)
	if err != nil {
		c.client.load.tally.unreached()
		if ctx.Err() != nil {
			return abandoned
		}
		return unsent
	}
	id := c.client.load.newTry()
	body := c.body(id)
	if r := c.client.load.options.Checker; r != nil {
		r.RequestSent(checker.Attempt{ID: id, Method: method, Host: c.Route.Host, URI: c.Route.Path, Body: checker.Hash(body),
			Route: c.Route.CheckerRoute})
	}
	conn.SetDeadline(c.patience())
	if _, err := conn.Write(c.request(id, body)); err != nil {
		conn.Close()
		return c.broken(conn, err)
	}
	head, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
	if err != nil {
		conn.Close()
		c.checkBytes(id, err)
		return c.broken(conn, err)
	}
	v := c.read(conn, head, id)
	switch v {
	case served, promised, denied:
		c.client.keep(conn, head)
	default:
		conn.Close()
	}
	return v
}

// checkBytes notes bytes that are no answer. An answer that ends early is none of those.
func (c *call) checkBytes(id string, err error) {
	var network net.Error
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
	if ended || errors.As(err, &network) {
		return
	}
	c.client.load.breach(checker.MisdeliveredAnswer, "bytes that are not an answer came for try %s: %v", id, err)
}

// broken is the verdict on a try whose connection broke.
func (c *call) broken(conn *conn, err error) verdict {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return abandoned
	}
	c.client.avoid(conn.address)
	return failed
}

// body is the request's body; no two are the same.
func (c *call) body(id string) []byte {
	body := bytes.Repeat([]byte{'.'}, max(len(id), c.BodyBytes))
	copy(body, id)
	return body
}

// request is the whole request on the wire.
func (c *call) request(id string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", method, c.Route.Path, c.Route.Host, answer.HeaderAttemptID, id)
	fmt.Fprintf(&b, "%s: %d\r\n", answer.HeaderTimeLeft, max(1, time.Until(c.deadline).Milliseconds()))
	if c.PromptChunks != "" {
		fmt.Fprintf(&b, "%s: %s\r\n%s: %d,%d\r\n%s: %s\r\n", answer.HeaderModel, c.Model, answer.HeaderTokenCounts, c.PromptTokens,
			c.MaxOutputTokens,
			answer.HeaderPromptChunks, c.PromptChunks)
	}
	if c.events > 0 {
		fmt.Fprintf(&b, "%s: %d\r\n", answer.HeaderLastEventID, c.events)
	}
	if c.client.load.number(chunks) == 0 {
		half := len(body) / 2
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half],
			len(body)-half, body[half:])
		return b.Bytes()
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

// read reads an answer from its head on.
func (c *call) read(conn *conn, head *http.Response, id string) verdict {
	if got := head.Header.Get(answer.HeaderAttemptID); got != "" && got != id {
		c.client.load.breach(checker.MisdeliveredAnswer, "an answer to try %s came for try %s", got, id)
	}
	if head.StatusCode >= http.StatusOK && head.StatusCode < http.StatusMultipleChoices {
		return c.readSuccess(conn, head, id)
	}
	if _, err := io.Copy(io.Discard, head.Body); err != nil {
		return c.broken(conn, err)
	}
	c.client.load.tally.status(head.StatusCode)
	return c.readRefusal(head, id)
}

func (c *call) readRefusal(head *http.Response, id string) verdict {
	switch head.StatusCode {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		if r := c.client.load.options.Checker; r != nil {
			r.RequestRejected(id, head.StatusCode)
		}
		c.wait = 0
		if s, err := strconv.ParseFloat(head.Header.Get("Retry-After"), 64); err == nil && s > 0 {
			c.wait = time.Duration(s * float64(time.Second))
		}
		return promised
	}
	if head.StatusCode < http.StatusInternalServerError {
		c.client.load.tally.deny(c.Route.Name, head.StatusCode)
		return denied
	}
	return failed
}

func (c *call) readSuccess(conn *conn, head *http.Response, id string) verdict {
	seal, err := answer.ParseSeal(head.Header.Get(answer.HeaderSeal))
	if err != nil {
		c.client.load.breach(checker.MisdeliveredAnswer, "a success came for try %s: %v", id, err)
		io.Copy(io.Discard, head.Body)
		return failed
	}
	if c.Route.Stream {
		return c.readStream(conn, head, seal, id)
	}
	body, err := io.ReadAll(head.Body)
	if err != nil {
		return c.broken(conn, err)
	}
	if err := seal.CheckBody(id, body); err != nil {
		c.client.load.breach(checker.MisdeliveredAnswer, "%v", err)
		return failed
	}
	c.first = time.Since(c.began)
	return served
}
