package discovery

import (
	"bufio"
	"bytes"
	"testing"
)

func TestReadResponseRejectsMalformed(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, text := range []string{
		"", "HTTP/1.1", "SSH-2.0\r\n\r\n", head, head + "Content-Length: 5\r\n\r\nfour", head + "Content-Length: -1\r\n\r\n",
		head + "no colon\r\n\r\n", head + "Transfer-Encoding: gzip\r\n\r\n", head + "Transfer-Encoding: chunked\r\n\r\nx\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n", head + "Content-Length: 99999999\r\n\r\n",
	} {
		if got, err := readResponse(bufio.NewReader(bytes.NewReader([]byte(text)))); err == nil {
			t.Errorf("%q was read as %+v", text, got)
		}
	}
}

func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\n{}\r\n0\r\nA: b\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 429 No\nRetry-After: 3\n\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := readResponse(bufio.NewReaderSize(bytes.NewReader(text), readBufferBytes))
		if err == nil && len(got.body) > len(text) {
			t.Fatalf("%d bytes of body out of %d", len(got.body), len(text))
		}
	})
}
