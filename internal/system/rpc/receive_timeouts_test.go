package rpc

import (
	"context"
	"encoding/gob"
	"errors"
	"net"
	"net/netip"
	netrpc "net/rpc"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestReceiveProgress(t *testing.T) {
	timeouts := ReceiveTimeouts{FirstByte: time.Second, Idle: 200 * time.Millisecond, Total: time.Minute}
	const ms = time.Millisecond
	progress := newReceiveProgress(&timeouts, 0, 500)
	steps := []struct {
		at       time.Duration
		received uint64
		wait     time.Duration
	}{
		{600 * ms, 500, 400 * ms}, // too early to judge
		{1000 * ms, 501, 200 * ms},
		{1200 * ms, 900, 200 * ms},
		{1300 * ms, 900, 100 * ms},
		{1400 * ms, 900, 0},
	}
	for _, step := range steps {
		if wait := progress.check(step.at, step.received); wait != step.wait {
			t.Fatalf("at %v with %d bytes: next check in %v, want %v", step.at, step.received, wait, step.wait)
		}
	}
}

// TestReceiveProgressBounds draws when bytes are received, and checks that a call ends neither soon after some nor long
// after the last.
func TestReceiveProgressBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timeouts := ReceiveTimeouts{
			FirstByte: time.Duration(rapid.IntRange(1, 50).Draw(t, "first")),
			Idle:      time.Duration(rapid.IntRange(1, 50).Draw(t, "between")),
		}
		times := rapid.SliceOfN(rapid.IntRange(1, 300), 0, 20).Draw(t, "times of bytes")
		progress := newReceiveProgress(&timeouts, 0, 0)
		now := time.Duration(0)
		wait := timeouts.FirstByte
		for wait > 0 {
			now += wait
			received := 0
			for _, at := range times {
				if time.Duration(at) <= now {
					received++
				}
			}
			wait = progress.check(now, uint64(received))
		}
		last := time.Duration(0)
		any := false
		for _, at := range times {
			if time.Duration(at) <= now {
				last = max(last, time.Duration(at))
				any = true
			}
		}
		switch {
		case !any && now != timeouts.FirstByte:
			t.Fatalf("it ends at %d though nothing was received", now)
		case any && now-last < timeouts.Idle:
			t.Fatalf("it ends at %d, only %d after the last bytes", now, now-last)
		case any && now > max(last+2*timeouts.Idle, timeouts.FirstByte+timeouts.Idle):
			t.Fatalf("it ends at %d, the last bytes were received at %d", now, last)
		}
	})
}

// serveInPieces answers one call in pieces, each when the test releases it, and keeps the connection open.
func serveInPieces(t *testing.T, text string, next <-chan int) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { socket.Close() })
		decoder := gob.NewDecoder(socket)
		var request netrpc.Request
		var body EchoRequest
		if decoder.Decode(&request) != nil || decoder.Decode(&body) != nil {
			return
		}
		var answer strings.Builder
		encoder := gob.NewEncoder(&answer)
		_ = encoder.Encode(&netrpc.Response{Seq: request.Seq})
		_ = encoder.Encode(&EchoReply{Text: text})
		rest := answer.String()
		for piece := range next {
			piece = min(piece, len(rest))
			_, _ = socket.Write([]byte(rest[:piece]))
			rest = rest[piece:]
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func TestSlowReplyIsReceived(t *testing.T) {
	text := strings.Repeat("x", 10000)
	next := make(chan int, 1)
	defer close(next)
	client := newTestClient(t, serveInPieces(t, text, next), ClientOptions{})
	timeouts := ReceiveTimeouts{FirstByte: time.Second, Idle: testTimeout, Total: testTimeout} // long enough for a busy machine
	next <- 100
	began := time.Now()
	go func() {
		waitUntil(t, "the time for the first bytes", func() bool { return time.Since(began) > 3*timeouts.FirstByte })
		next <- len(text) + 1000
	}()
	reply, err := echoCall.InvokeWhileReceiving(context.Background(), client, timeouts, &EchoRequest{})
	if err != nil || reply.Text != text {
		t.Fatal(err)
	}
}

func TestStalledReplyIsAbandoned(t *testing.T) {
	for name, first := range map[string]int{"before it began": 0, "in the middle": 100} {
		t.Run(name, func(t *testing.T) {
			next := make(chan int, 1)
			defer close(next)
			client := newTestClient(t, serveInPieces(t, "text of some length", next), ClientOptions{})
			timeouts := ReceiveTimeouts{FirstByte: 50 * time.Millisecond, Idle: 50 * time.Millisecond, Total: testTimeout}
			next <- first
			_, err := echoCall.InvokeWhileReceiving(context.Background(), client, timeouts, &EchoRequest{})
			var broken *NoReplyError
			if !errors.As(err, &broken) || !errors.Is(err, context.DeadlineExceeded) {
				t.Fatal(err)
			}
			if client.connection != nil {
				t.Error("the silent connection was kept")
			}
		})
	}
}

func TestReplyIsBoundedByTotal(t *testing.T) {
	next := make(chan int, 1)
	defer close(next)
	client := newTestClient(t, serveInPieces(t, "text", next), ClientOptions{})
	timeouts := ReceiveTimeouts{FirstByte: testTimeout, Idle: testTimeout, Total: 50 * time.Millisecond}
	_, err := echoCall.InvokeWhileReceiving(context.Background(), client, timeouts, &EchoRequest{})
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Fatal(err)
	}
}
