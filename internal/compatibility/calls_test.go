package compatibility_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"cinderroad/internal/compatibility"
	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/control/feedserver"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/replica"
	"cinderroad/internal/system/rpc"
)

// callTimeout bounds a call over loopback; no test waits until it has passed.
const callTimeout = 20 * time.Second

var addresses = cmpopts.EquateComparable(netip.Addr{}, netip.AddrPort{})

// checkCall compares a call's request and reply with the recorded ones, on the caller's and on the handler's side.
func checkCall[Argument, Reply any](t *testing.T, call rpc.Call[Argument, Reply], name string, argument *Argument,
	reply *Reply) {
	t.Helper()
	file := "calls/" + strings.ToLower(call.Name())
	if name != "" {
		file += "." + name
	}
	request := compatibility.SharedFolder.Record(t, file+".request", requestOf(t, call, argument))
	compareMessages(t, file+".request", requestOf(t, call, argument), request)
	answer := responseTo(t, call, request, argument, reply)
	recorded := compatibility.SharedFolder.Record(t, file+".reply", answer)
	compareMessages(t, file+".reply", answer, recorded)

	listener := listen(t)
	done := make(chan error, 1)
	go func() { done <- serveRecorded(listener, recorded) }()
	client := rpc.NewClient(netip.MustParseAddrPort(listener.Addr().String()), rpc.ClientOptions{CallTimeout: callTimeout})
	defer client.Close()
	got, err := call.Invoke(t.Context(), client, argument)
	if err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	if err := <-done; err != nil {
		t.Errorf("%s: %v", file, err)
	}
	if d := cmp.Diff(reply, got, addresses); d != "" {
		t.Errorf("%s.reply is read otherwise: %s", file, d)
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// requestOf returns the bytes of the first call that a caller sends on a connection.
func requestOf[Argument, Reply any](t *testing.T, call rpc.Call[Argument, Reply], argument *Argument) []byte {
	t.Helper()
	listener := listen(t)
	type sent struct {
		bytes []byte
		err   error
	}
	done := make(chan sent, 1)
	go func() {
		socket, err := listener.Accept()
		if err != nil {
			done <- sent{nil, err}
			return
		}
		defer socket.Close()
		request, err := readPair(socket)
		done <- sent{request, err}
	}()
	client := rpc.NewClient(netip.MustParseAddrPort(listener.Addr().String()), rpc.ClientOptions{CallTimeout: callTimeout})
	defer client.Close()
	if _, err := call.Invoke(t.Context(), client, argument); err == nil {
		t.Fatal("a call got an answer that nobody gave")
	}
	request := <-done
	if request.err != nil {
		t.Fatal(request.err)
	}
	return request.bytes
}

// serveRecorded reads a request from the first connection and sends recorded bytes.
func serveRecorded(listener net.Listener, recorded []byte) error {
	socket, err := listener.Accept()
	if err != nil {
		return err
	}
	if _, err := readPair(socket); err != nil {
		return err
	}
	_, err = socket.Write(recorded)
	return err // the caller closes the connection
}

// responseTo returns a server's response to a recorded request, which the handler must decode to the given argument.
func responseTo[Argument, Reply any](t *testing.T, call rpc.Call[Argument, Reply], request []byte, argument *Argument,
	reply *Reply) []byte {
	t.Helper()
	listener := listen(t)
	registry := rpc.NewRegistry()
	difference := make(chan string, 1)
	call.Handle(registry, func(_ context.Context, got *Argument) (*Reply, error) {
		difference <- cmp.Diff(argument, got, addresses)
		return reply, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- rpc.Serve(ctx, listener, registry, rpc.ServerLimits{}) }()
	defer func() {
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	}()
	socket, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	if err := socket.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := socket.Write(request); err != nil {
		t.Fatal(err)
	}
	answer, err := readPair(socket)
	if err != nil {
		t.Fatal(err)
	}
	if d := <-difference; d != "" {
		t.Errorf("%s: the request is read otherwise: %s", call.Name(), d)
	}
	return answer
}

// message is one message of a gob stream: the description of a type, or a value.
type message struct {
	describes bool
	body      []byte // of a value, without the number of its type, which differs between processes
}

var errStream = errors.New("no gob stream")

// number reads an unsigned integer in gob's encoding.
func number(b []byte) (value uint64, rest []byte, err error) {
	if len(b) == 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	if b[0] < 0x80 {
		return uint64(b[0]), b[1:], nil
	}
	size := int(-int8(b[0]))
	if size > 8 {
		return 0, nil, errStream
	}
	if len(b) < 1+size {
		return 0, nil, io.ErrUnexpectedEOF
	}
	for _, octet := range b[1 : 1+size] {
		value = value<<8 | uint64(octet)
	}
	return value, b[1+size:], nil
}

// messages splits a gob stream. The error is io.ErrUnexpectedEOF if the last message is incomplete.
func messages(b []byte) (all []message, err error) {
	for len(b) > 0 {
		size, rest, err := number(b)
		if err != nil {
			return all, err
		}
		if size > uint64(len(rest)) {
			return all, io.ErrUnexpectedEOF
		}
		kind, body, err := number(rest[:size])
		if err != nil {
			return all, errStream
		}
		all = append(all, message{describes: kind&1 != 0, body: body})
		b = rest[size:]
	}
	return all, nil
}

// readPair reads a header and a body, with the type descriptions that precede them.
func readPair(from io.Reader) ([]byte, error) {
	var stream []byte
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		stream = append(stream, buffer[:n]...)
		values := 0
		all, cut := messages(stream)
		for _, m := range all {
			if !m.describes {
				values++
			}
		}
		switch {
		case cut == nil && values == 2:
			return stream, nil
		case cut != nil && !errors.Is(cut, io.ErrUnexpectedEOF):
			return nil, cut
		case err != nil:
			return nil, err
		}
	}
}

var name = regexp.MustCompile(`[A-Za-z\[\].*]{2,}`)

// compareMessages compares two gob streams, except for the numbers of types, which differ between processes: the names of
// types and fields, and all values.
func compareMessages(t *testing.T, what string, got, want []byte) {
	t.Helper()
	gotAll, err := messages(got)
	if err != nil {
		t.Fatal(what, err)
	}
	wantAll, err := messages(want)
	if err != nil {
		t.Fatal(what, err)
	}
	if len(gotAll) != len(wantAll) {
		t.Fatalf("%s: %d messages, want %d", what, len(gotAll), len(wantAll))
	}
	for i, m := range gotAll {
		w := wantAll[i]
		if m.describes != w.describes {
			t.Fatalf("%s: message %d is of another kind", what, i)
		}
		if m.describes {
			if d := cmp.Diff(name.FindAllString(string(w.body), -1), name.FindAllString(string(m.body), -1)); d != "" {
				t.Errorf("%s: names of a type: %s", what, d)
			}
		} else if !bytes.Equal(m.body, w.body) {
			t.Errorf("%s: message %d:\n%q\nwant\n%q", what, i, m.body, w.body)
		}
	}
}

var (
	peerOne = feed.Peer{Node: "edge-2", Address: netip.MustParseAddr("10.0.0.2"), Zone: "east-a"}
	peerTwo = feed.Peer{Node: "edge-3", Address: netip.MustParseAddr("10.0.0.3")}
)

// TestReadFollowCalls checks the call of the feed: of agents to control replicas, between agents, and of a proxy to its
// agent.
func TestReadFollowCalls(t *testing.T) {
	request := &feed.FollowRequest{
		Node:      "edge-1",
		Positions: []feed.Position{{Partition: 0, Index: 41}, {Partition: 2, Index: 1 << 40}},
		Wait:      1500 * time.Millisecond,
		Packed:    true,
		Current:   feed.NewPartitionSet(0, 2),
		Peers:     0xfedcba9876543210,
	}
	items := []feed.Item{
		{Key: "version", Index: 42, Value: []byte("7"), Age: 3 * time.Second},
		{Key: "evacuation/east-a", Index: 43, Deleted: true},
	}
	reply := &feed.FollowReply{
		Batches: []feed.Batch{
			{Partition: 0, Snapshot: true, To: 43, Items: items},
			{Partition: 2, From: 1 << 40, To: 1<<40 + 5, Packed: []byte{3, 1, 2, 3}, PackedAge: 20 * time.Millisecond},
		},
		Ages:        []time.Duration{100 * time.Millisecond, feed.AgeNever, 0},
		Proxies:     3,
		Peers:       []feed.Peer{peerOne, peerTwo},
		PeersDigest: 0x0123456789abcdef,
		Busy:        250 * time.Millisecond,
	}
	checkCall(t, feedserver.FollowMethod, "", request, reply)
	checkCall(t, feedserver.FollowMethod, "zero", &feed.FollowRequest{}, &feed.FollowReply{})
}

// TestReadReportCalls checks a proxy's report to its agent. The test of package agent pins the call's name.
func TestReadReportCalls(t *testing.T) {
	report := &feed.ProxyReport{Ready: true, Stopping: true, Front: "10.0.0.1:80", Learnt: []byte{1, 0, 0}}
	reply := &feed.ProxyReportReply{Learnt: []byte{1, 0, 0xff}}
	method := rpc.Declare[feed.ProxyReport, feed.ProxyReportReply]("Proxy.Report")
	checkCall(t, method, "", report, reply)
	checkCall(t, method, "zero", &feed.ProxyReport{}, &feed.ProxyReportReply{})
}

// TestReadReplicaCalls checks the calls between control replicas. The test of package replica pins their names.
func TestReadReplicaCalls(t *testing.T) {
	member := consensus.Member{ID: 0x8000000000000001, Node: "core-1", Zone: "east-a", Address: "10.0.0.9:7660", Voter: true}
	other := consensus.Member{ID: 2, Node: "core-2", Zone: "east-b", Address: "10.0.0.8:7660", Outgoing: true}
	checkCall(t, rpc.Declare[replica.DeliverRequest, replica.DeliverReply]("Replica.Deliver"), "",
		&replica.DeliverRequest{Messages: []byte("messages"), Packed: []byte("packed")}, &replica.DeliverReply{})
	checkCall(t, rpc.Declare[replica.ProposeRequest, replica.ProposeReply]("Replica.Propose"), "",
		&replica.ProposeRequest{Partition: 1, Command: []byte{1, 3}, Wait: 700 * time.Millisecond},
		&replica.ProposeReply{Outcome: replica.OutcomeCommitted, Result: []byte{1, 9}})
	checkCall(t, rpc.Declare[replica.ReadIndexRequest, replica.ReadIndexReply]("Replica.ReadIndex"), "",
		&replica.ReadIndexRequest{Partition: 2, Wait: 700 * time.Millisecond},
		&replica.ReadIndexReply{Outcome: replica.OutcomeDropped, Index: 77})
	checkCall(t, rpc.Declare[replica.JoinRequest, replica.JoinReply]("Replica.Join"), "",
		&replica.JoinRequest{Member: member}, &replica.JoinReply{Members: []consensus.Member{member, other}})
	checkCall(t, rpc.Declare[replica.LeaveRequest, replica.LeaveReply]("Replica.Leave"), "",
		&replica.LeaveRequest{ID: member.ID}, &replica.LeaveReply{})
}
