package stage

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Response is what a client got for a try.
type Response struct {
	Status int
	Header http.Header
	Body   string
	Err    error // the answer did not come, or did not come whole
	Took   time.Duration
}

// Text describes the response for the record.
func (r *Response) Text() string {
	if r.Err != nil && r.Status == 0 {
		return fmt.Sprintf("no answer (%v) after %v", r.Err, r.Took.Round(time.Millisecond))
	}
	text := fmt.Sprintf("%d seal=%q body=%q after %v", r.Status, r.Header.Get("X-Server-Seal"), r.Body, r.Took.Round(time.Millisecond))
	if r.Err != nil {
		text += fmt.Sprintf(", not whole: %v", r.Err)
	}
	return text
}

// Try sends one request to a proxy on a connection of its own and reads the answer, for as long as it says it will wait.
func Try(front, method, host, path, tryID, fields string, body []byte, wait time.Duration) Response {
	start := time.Now()
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return Response{Err: err, Took: time.Since(start)}
	}
	defer conn.Close()
	_ = conn.SetDeadline(start.Add(wait + 500*time.Millisecond))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Try-Id: %s\r\nX-Time-Left-Ms: %d\r\n%sContent-Length: %d\r\n\r\n",
		method, path, host, tryID, wait.Milliseconds(), fields, len(body))
	if _, err := conn.Write(append([]byte(head), body...)); err != nil {
		return Response{Err: err, Took: time.Since(start)}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return Response{Err: err, Took: time.Since(start)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return Response{Status: response.StatusCode, Header: response.Header, Body: string(text), Err: err, Took: time.Since(start)}
}
