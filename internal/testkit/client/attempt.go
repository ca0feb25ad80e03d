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

// requestMethod is the method of all requests.
const requestMethod = http.MethodPost

// attempt sends the request once and reads the answer.
func (c *callState) attempt(ctx context.Context, newConnection bool) attemptResult {
	conn, err := c.client.connect(ctx, c.Route.Host, newConnection)
	if err != nil {
		c.client.generator.stats.recordConnectFailure()
		if ctx.Err() != nil {
			return timedOut
		}
		return notSent
	}
	id := c.client.generator.newAttemptID()
	body := c.makeBody(id)
	if r := c.client.generator.options.Checker; r != nil {
		r.RequestSent(checker.Attempt{
			ID:     id,
			Method: requestMethod,
			Host:   c.Route.Host,
			URI:    c.Route.Path,
			Body:   checker.Hash(body),
			Route:  c.Route.CheckerRoute,

			Address: conn.address,
		})
	}
	conn.SetDeadline(c.readDeadline())
	if err := c.writeRequest(ctx, conn, c.encodeRequest(id, body)); err != nil {
		conn.Close()
		return c.connectionFailed(conn, err)
	}
	head, err := http.ReadResponse(conn.reader, &http.Request{Method: requestMethod})
	if err != nil {
		conn.Close()
		c.reportInvalidBytes(id, err)
		return c.answerCut(conn, id, err)
	}
	result := c.readAnswer(conn, head, id)
	switch result {
	case succeeded, notExecuted, clientError:
		c.client.putIdle(conn, head)
	default:
		conn.Close()
	}
	return result
}

// writeRequest sends an encoded request, with a pause in the middle if the call says so.
func (c *callState) writeRequest(ctx context.Context, conn *conn, text []byte) error {
	c.keptConn = conn.used
	if c.BodyPause > 0 {
		half := len(text) - c.BodyBytes/2
		if _, err := conn.Write(text[:half]); err != nil {
			return err
		}
		timer := time.NewTimer(c.BodyPause)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return os.ErrDeadlineExceeded
		}
		text = text[half:]
	}
	c.sent = time.Now()
	_, err := conn.Write(text)
	return err
}

// answerCut classifies an attempt whose connection ended after the request was sent, and reports it if it wasn't the client
// that ended it.
func (c *callState) answerCut(conn *conn, id string, err error) attemptResult {
	result := c.connectionFailed(conn, err)
	if r := c.client.generator.options.Checker; r != nil && result == attemptFailed {
		r.RequestCut(checker.Cut{
			ID:       id,
			Address:  conn.address,
			Sent:     c.sent,
			At:       time.Now(),
			Deadline: c.deadline,
			Kept:     c.keptConn,
		})
	}
	return result
}

// reportInvalidBytes reports bytes that aren't an HTTP answer. A connection that breaks in the middle of an answer is
// no violation.
func (c *callState) reportInvalidBytes(id string, err error) {
	var network net.Error
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
	if ended || errors.As(err, &network) {
		return
	}
	c.client.generator.report(checker.MisdeliveredAnswer, "bytes that are not an answer came for attempt %s: %v", id, err)
}

// connectionFailed classifies an attempt whose connection failed.
func (c *callState) connectionFailed(conn *conn, err error) attemptResult {
	if c.hasLeft() {
		return left
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return timedOut
	}
	c.client.markFailed(conn.address)
	return attemptFailed
}

// makeBody returns the request's body, which contains the attempt's ID and so is unique.
func (c *callState) makeBody(id string) []byte {
	body := bytes.Repeat([]byte{'.'}, max(len(id), c.BodyBytes))
	copy(body, id)
	return body
}

// encodeRequest returns the complete request as sent; a share of the bodies is chunked.
func (c *callState) encodeRequest(id string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\n", requestMethod, c.Route.Path)
	fmt.Fprintf(&b, "Host: %s\r\n", c.Route.Host)
	fmt.Fprintf(&b, "%s: %s\r\n", answer.HeaderAttemptID, id)
	fmt.Fprintf(&b, "%s: %d\r\n", answer.HeaderTimeLeft, max(1, time.Until(c.deadline).Milliseconds()))
	if c.PromptChunks != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", answer.HeaderModel, c.Model)
		fmt.Fprintf(&b, "%s: %d,%d\r\n", answer.HeaderTokenCounts, c.PromptTokens, c.MaxOutputTokens)
		fmt.Fprintf(&b, "%s: %s\r\n", answer.HeaderPromptChunks, c.PromptChunks)
	}
	if c.events > 0 {
		fmt.Fprintf(&b, "%s: %d\r\n", answer.HeaderLastEventID, c.events)
	}
	if c.client.generator.randomBelow(chunkedOneIn) == 0 {
		half := len(body) / 2
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for _, chunk := range [][]byte{body[:half], body[half:]} {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(chunk), chunk)
		}
		b.WriteString("0\r\n\r\n")
		return b.Bytes()
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

// readAnswer reads the rest of an answer whose head has been read.
func (c *callState) readAnswer(conn *conn, head *http.Response, id string) attemptResult {
	if received := head.Header.Get(answer.HeaderAttemptID); received != "" && received != id {
		c.client.generator.report(checker.MisdeliveredAnswer, "an answer to attempt %s came for attempt %s", received, id)
	}
	if head.StatusCode >= http.StatusOK && head.StatusCode < http.StatusMultipleChoices {
		return c.readSuccess(conn, head, id)
	}
	if _, err := io.Copy(io.Discard, head.Body); err != nil {
		return c.answerCut(conn, id, err)
	}
	c.client.generator.stats.recordStatus(head.StatusCode)
	return c.readNonSuccess(head, id)
}

func (c *callState) readNonSuccess(head *http.Response, id string) attemptResult {
	switch head.StatusCode {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		if r := c.client.generator.options.Checker; r != nil {
			r.RequestRejected(id, head.StatusCode)
		}
		c.retryAfter = 0
		if s, err := strconv.ParseFloat(head.Header.Get("Retry-After"), 64); err == nil && s > 0 {
			c.retryAfter = time.Duration(s * float64(time.Second))
		}
		return notExecuted
	}
	if head.StatusCode < http.StatusInternalServerError {
		c.client.generator.stats.recordClientError(c.Route.Name)
		return clientError
	}
	return attemptFailed
}

func (c *callState) readSuccess(conn *conn, head *http.Response, id string) attemptResult {
	seal, err := answer.ParseSeal(head.Header.Get(answer.HeaderSeal))
	if err != nil {
		c.client.generator.report(checker.MisdeliveredAnswer, "a success came for attempt %s: %v", id, err)
		io.Copy(io.Discard, head.Body)
		return attemptFailed
	}
	if c.Route.Stream {
		return c.readStream(conn, head, seal, id)
	}
	body, err := io.ReadAll(head.Body)
	if err != nil {
		return c.answerCut(conn, id, err)
	}
	if err := seal.CheckBody(id, body); err != nil {
		c.client.generator.report(checker.MisdeliveredAnswer, "%v", err)
		return attemptFailed
	}
	c.firstLatency = time.Since(c.started)
	return succeeded
}
