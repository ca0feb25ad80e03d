package discovery

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"cinderroad/internal/shared/codec"
)

// runnerFormatVersion is the first byte of an encoded runner.
const runnerFormatVersion = 1

const (
	// usualEncodedBytes is the size within which the encodings of most runners are.
	usualEncodedBytes = 96
	// maxPreallocatedModels bounds the memory that a malformed count can claim.
	maxPreallocatedModels = 64
)

// flagDraining is the bit of the flags that marks a draining runner.
const flagDraining = 1

// MalformedRunnerError says that bytes are not an encoded runner. Field names the first field that could not be read.
type MalformedRunnerError struct{ Field string }

// Error names the malformed field and what an operator can check.
func (e *MalformedRunnerError) Error() string {
	return fmt.Sprintf("discovery: an encoded runner is malformed at its %s; do both sides run the same version?", e.Field)
}

// EncodeRunner returns the form in which package feed stores a runner. Equal runners have equal encodings.
func EncodeRunner(runner Runner) []byte {
	data := make([]byte, 0, usualEncodedBytes)
	data = append(data, runnerFormatVersion, encodeFlags(runner))
	data = codec.AppendBytes(data, runner.ID)
	data = codec.AppendBytes(data, runner.Service)
	data = appendAddress(data, runner.Address)
	data = codec.AppendBytes(data, runner.Zone)
	data = binary.AppendVarint(data, int64(runner.Capacity))
	data = binary.AppendVarint(data, int64(runner.SlowStartRemaining))
	data = binary.AppendVarint(data, int64(runner.TimeToTermination))
	data = codec.AppendBytes(data, runner.Phase)
	data = binary.AppendUvarint(data, uint64(len(runner.Models)))
	for _, model := range runner.Models {
		data = codec.AppendBytes(data, model.Name)
		data = binary.AppendVarint(data, int64(model.Version))
	}
	return data
}

func encodeFlags(runner Runner) byte {
	if runner.Draining {
		return flagDraining
	}
	return 0
}

func appendAddress(data []byte, address netip.AddrPort) []byte {
	octets, _ := address.MarshalBinary() // never fails
	return codec.AppendBytes(data, octets)
}

// DecodeRunner reads the form made by EncodeRunner. An error is a *MalformedRunnerError.
func DecodeRunner(data []byte) (Runner, error) {
	reader := codec.NewReader(data)
	if reader.Byte("version") != runnerFormatVersion {
		return Runner{}, &MalformedRunnerError{Field: "version"}
	}
	runner := Runner{Draining: reader.Byte("flags")&flagDraining != 0}
	runner.ID = reader.String("id")
	runner.Service = reader.String("service")
	runner.Address = readAddress(&reader, "address")
	runner.Zone = reader.String("zone")
	runner.Capacity = int(reader.Varint("capacity"))
	runner.SlowStartRemaining = time.Duration(reader.Varint("remaining slow start"))
	runner.TimeToTermination = time.Duration(reader.Varint("time to termination"))
	runner.Phase = reader.String("phase")
	runner.Models = readModels(&reader, "models")
	reader.ExpectEnd("end")
	if field, failed := reader.Malformed(); failed {
		return Runner{}, &MalformedRunnerError{Field: field}
	}
	return runner, nil
}

func readAddress(reader *codec.Reader, field string) netip.AddrPort {
	octets := reader.Bytes(field)
	var address netip.AddrPort
	if _, failed := reader.Malformed(); !failed && address.UnmarshalBinary(octets) != nil {
		reader.Fail(field)
	}
	return address
}

// readModels reads the number of models and the models.
func readModels(reader *codec.Reader, field string) []Model {
	count := reader.Count(field)
	if count == 0 {
		return nil
	}
	models := make([]Model, 0, min(count, maxPreallocatedModels))
	for range count {
		model := Model{Name: reader.String(field), Version: int(reader.Varint(field))}
		if _, failed := reader.Malformed(); failed {
			return nil
		}
		models = append(models, model)
	}
	return models
}
