package proxy

import (
	"strconv"
	"strings"
	"testing"

	"cinderroad/internal/system/placement"
)

// What a runner and a client get in the ordinary case, on connections that are reused.
func TestRequestAndConnectionReuse(t *testing.T) {
	h := newHarness(t)
	runner := h.startRunners("a")[0]
	client := h.connect()
	client.send(requestText("/writes/x?q=1", "t1",
		"X-Other: v\r\nConnection: keep-alive, x-hop\r\nX-Hop: gone\r\nX-Wanted-Server: evil\r\n", "the body"))
	upstream := runner.accept()
	request, body := upstream.readRequest()
	if request.Method != "POST" || request.RequestURI != "/writes/x?q=1" || request.Host != "h.example" || body != "the body" {
		t.Errorf("runner got %s %s of %s with %q", request.Method, request.RequestURI, request.Host, body)
	}
	for name, want := range map[string]string{
		"X-Try-Id":        "t1",
		"X-Other":         "v",
		"X-Hop":           "",
		"X-Wanted-Server": "a",
		"Priority":        "",
		"Connection":      "",
	} {
		if got := request.Header.Get(name); got != want || len(request.Header.Values(name)) > 1 {
			t.Errorf("runner got %s: %q, want %q", name, request.Header.Values(name), want)
		}
	}
	if left, _ := strconv.Atoi(request.Header.Get("X-Time-Left-Ms")); left < 5000 || left > 10000 {
		t.Errorf("time left is %d", left)
	}
	upstream.send("HTTP/1.1 201 Made\r\nX-Try-Id: t1\r\nX-Server-Seal: seal\r\nX-Odd: kept\r\n" +
		"Connection: x-drop\r\nX-Drop: 1\r\nContent-Length: 3\r\n\r\nabc")
	head := client.readHead()
	for _, want := range []string{"HTTP/1.1 201 Made\r\n", "X-Server-Seal: seal\r\n", "X-Odd: kept\r\n",
		"X-Try-Id: t1\r\n", "Content-Length: 3\r\n"} {
		if !strings.Contains(head, want) {
			t.Errorf("client got no %q in %q", want, head)
		}
	}
	if strings.Contains(head, "X-Drop") {
		t.Errorf("client got a field of the other connection: %q", head)
	}
	client.expect("abc")
	h.expectOutcomes("a served")

	client.send(requestText("/reads/y", "t2", "", "")) // both connections are reused
	if request, _ := upstream.readRequest(); request.Header.Get("X-Try-Id") != "t2" {
		t.Errorf("second request has id %q", request.Header.Get("X-Try-Id"))
	}
	upstream.send(successText("t2", "second"))
	if got, body := client.readResponse(); got.StatusCode != 200 || body != "second" {
		t.Errorf("second response is %d %q", got.StatusCode, body)
	}
}

// Guards against events that wait for the end of the stream, and against a body that is changed by its framing.
func TestEventStreamRelay(t *testing.T) {
	h := newHarness(t)
	runner := h.startRunners("a")[0]
	client := h.connect()
	client.send(requestText("/stream/x", "t1",
		"X-Model: m\r\nX-Token-Counts: 1460,80\r\nX-Prompt-Start: 5c1e07a2:800,91bd3f06:410\r\n", "p"))
	upstream := runner.accept()
	upstream.readRequest()
	h.onLoop(func() {
		request := h.placer.lastRequest
		wantTokens := request.Model == "m" && request.InputTokens == 1460 && request.MaxOutputTokens == 80
		if !wantTokens || len(request.Chunks) != 2 || request.Chunks[1] != (placement.Chunk{ID: 0x91bd3f06, Tokens: 410}) {
			t.Errorf("request for the placer: %+v", request)
		}
	})
	upstream.send(streamHeadText("t1", "seal"))
	client.readHead()
	for i := 1; i <= 3; i++ {
		upstream.send(chunkText(eventText(i)))
		client.expect(chunkText(eventText(i)))
	}
	upstream.send(lastChunk)
	client.expect(lastChunk)
	h.expectOutcomes("a served")
	h.onLoop(func() {
		if h.placer.events != 3 {
			t.Errorf("placer got %d events", h.placer.events)
		}
	})
}
