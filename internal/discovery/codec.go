package discovery

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"
)

// codecVersion is the first byte of an encoded runner.
const codecVersion = 1

// flagDraining marks an encoded runner that is draining.
const flagDraining = 1

// MalformedRunnerError says that bytes are not an encoded runner.
type MalformedRunnerError struct{ Field string }

// Error says what happened.
func (e *MalformedRunnerError) Error() string {
	return fmt.Sprintf("discovery: an encoded runner is malformed at its %s; do both sides run the same version?", e.Field)
}

// Encode is the compact form of a runner in the feed. Equal runners have equal encodings.
func Encode(runner Runner) []byte {
	data := make([]byte, 0, 96)
	data = append(data, codecVersion, flags(runner))
	data = appendText(data, runner.ID)
	data = appendText(data, runner.Service)
	data = appendAddress(data, runner.Address)
	data = appendText(data, runner.Zone)
	data = binary.AppendVarint(data, int64(runner.Capacity))
	data = binary.AppendVarint(data, int64(runner.ColdLeft))
	data = binary.AppendVarint(data, int64(runner.TimeLeft))
	data = appendText(data, runner.Phase)
	data = binary.AppendUvarint(data, uint64(len(runner.Models)))
	for _, model := range runner.Models {
		data = appendText(data, model.Name)
		data = binary.AppendVarint(data, int64(model.Version))
	}
	return data
}

func flags(runner Runner) byte {
	if runner.Draining {
		return flagDraining
	}
	return 0
}

func appendAddress(data []byte, address netip.AddrPort) []byte {
	octets, _ := address.MarshalBinary() // never fails
	return appendText(data, string(octets))
}

func appendText(data []byte, text string) []byte {
	data = binary.AppendUvarint(data, uint64(len(text)))
	return append(data, text...)
}

// Decode reads what Encode wrote. The error is a *MalformedRunnerError.
func Decode(data []byte) (Runner, error) {
	reader := codecReader{rest: data}
	if reader.octet("version") != codecVersion {
		return Runner{}, &MalformedRunnerError{Field: "version"}
	}
	runner := Runner{Draining: reader.octet("flags")&flagDraining != 0}
	runner.ID = reader.text("id")
	runner.Service = reader.text("service")
	runner.Address = reader.address("address")
	runner.Zone = reader.text("zone")
	runner.Capacity = int(reader.number("capacity"))
	runner.ColdLeft = time.Duration(reader.number("time left cold"))
	runner.TimeLeft = time.Duration(reader.number("time left"))
	runner.Phase = reader.text("phase")
	runner.Models = reader.models("models")
	if len(reader.rest) > 0 {
		reader.fail("end")
	}
	if reader.err != nil {
		return Runner{}, reader.err
	}
	return runner, nil
}

// codecReader reads fields one after the other; after a first malformed one all are empty.
type codecReader struct {
	rest []byte
	err  error
}

func (r *codecReader) fail(field string) {
	if r.err == nil {
		r.err = &MalformedRunnerError{Field: field}
	}
	r.rest = nil
}

func (r *codecReader) bytes(field string, count int) []byte {
	if r.err != nil || count > len(r.rest) {
		r.fail(field)
		return nil
	}
	taken := r.rest[:count]
	r.rest = r.rest[count:]
	return taken
}

func (r *codecReader) octet(field string) byte {
	taken := r.bytes(field, 1)
	if len(taken) == 0 {
		return 0
	}
	return taken[0]
}

func (r *codecReader) number(field string) int64 {
	value, size := binary.Varint(r.rest)
	if size <= 0 {
		r.fail(field)
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

// count reads the length of something whose parts take a byte each at least.
func (r *codecReader) count(field string) int {
	value, size := binary.Uvarint(r.rest)
	if size <= 0 || value > uint64(len(r.rest)-size) {
		r.fail(field)
		return 0
	}
	r.rest = r.rest[size:]
	return int(value)
}

func (r *codecReader) text(field string) string {
	return string(r.bytes(field, r.count(field)))
}

func (r *codecReader) address(field string) netip.AddrPort {
	octets := r.bytes(field, r.count(field))
	var address netip.AddrPort
	if r.err == nil && address.UnmarshalBinary(octets) != nil {
		r.fail(field)
	}
	return address
}

func (r *codecReader) models(field string) []Model {
	count := r.count(field)
	if count == 0 {
		return nil
	}
	models := make([]Model, 0, min(count, 64))
	for range count {
		model := Model{Name: r.text(field), Version: int(r.number(field))}
		if r.err != nil {
			return nil
		}
		models = append(models, model)
	}
	return models
}
