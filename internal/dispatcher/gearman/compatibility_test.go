package gearman

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"cinderroad/internal/compatibility"
)

// responseKinds are the packets that the server sends, with as many arguments as each has.
var responseKinds = map[Kind]int{
	Noop:            0,
	JobCreated:      1,
	NoJob:           0,
	JobAssign:       3,
	JobAssignUniq:   4,
	WorkStatus:      3,
	WorkComplete:    2,
	WorkFail:        1,
	WorkException:   2,
	WorkData:        2,
	WorkWarning:     2,
	EchoRes:         1,
	Error:           2,
	StatusRes:       5,
	OptionRes:       1,
	StatusResUnique: 6,
}

// sampleArguments returns arguments of which the last holds any bytes.
func sampleArguments(kind Kind, count int) []string {
	var arguments []string
	for i := range count {
		arguments = append(arguments, fmt.Sprintf("argument-%d-%d", kind, i))
	}
	if count > 1 && kind != CanDoTimeout {
		arguments[count-1] += "\x00\x01\xff"
	}
	return arguments
}

// TestRecordedPackets compares the packets of the protocol with the recorded bytes, and reads the requests among them.
func TestRecordedPackets(t *testing.T) {
	var responses []byte
	for _, kind := range slices.Sorted(maps.Keys(responseKinds)) {
		responses = Append(responses, kind, sampleArguments(kind, responseKinds[kind])...)
	}
	compatibility.PackageFolder.Check(t, "responses", responses)
	var requests []byte
	kinds := slices.Sorted(maps.Keys(argumentCounts))
	for _, kind := range kinds {
		requests = AppendRequest(requests, kind, sampleArguments(kind, argumentCounts[kind])...)
	}
	recorded := compatibility.PackageFolder.Check(t, "requests", requests)
	for _, kind := range kinds {
		packet, size, err := Parse(recorded)
		if err != nil {
			t.Fatalf("kind %d: %v", kind, err)
		}
		recorded = recorded[size:]
		if want := sampleArguments(kind, argumentCounts[kind]); packet.Kind != kind || !slices.Equal(packet.Args, want) {
			t.Errorf("kind %d is read as %d %q, want %q", kind, packet.Kind, packet.Args, want)
		}
	}
	if len(recorded) > 0 {
		t.Errorf("%d bytes are left", len(recorded))
	}
}

// TestRecordedErrorCodes compares the codes of the ERROR packet, which clients tell apart, with the recorded ones.
func TestRecordedErrorCodes(t *testing.T) {
	codes := []string{codeUnknownFunction, codeQueueFull, codeBadPacket, codeUnknownOption, codeNotSupported, codeShuttingDown}
	compatibility.PackageFolder.Check(t, "error-codes.txt", []byte(strings.Join(codes, "\n")+"\n"))
}
