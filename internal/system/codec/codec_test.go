package codec

import (
	"bytes"
	"encoding/binary"
	"testing"

	"pgregory.net/rapid"
)

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		octet := rapid.Byte().Draw(t, "octet")
		unsigned := rapid.Uint64().Draw(t, "unsigned")
		signed := rapid.Int64().Draw(t, "signed")
		text := rapid.String().Draw(t, "text")
		content := rapid.SliceOf(rapid.Byte()).Draw(t, "content")
		data := []byte{octet}
		data = binary.AppendUvarint(data, unsigned)
		data = binary.AppendVarint(data, signed)
		data = AppendBytes(data, text)
		data = AppendBytes(data, content)
		reader := NewReader(data)
		if reader.Byte("octet") != octet || reader.Uvarint("unsigned") != unsigned || reader.Varint("signed") != signed ||
			reader.String("text") != text || !bytes.Equal(reader.Bytes("content"), content) {
			t.Fatal("a field came back as another")
		}
		reader.ExpectEnd("end")
		if field, failed := reader.Malformed(); failed {
			t.Fatalf("malformed at %q", field)
		}
	})
}

func TestFirstMalformedFieldIsReported(t *testing.T) {
	overlong := bytes.Repeat([]byte{0xff}, binary.MaxVarintLen64+1)
	cases := map[string]struct {
		data []byte
		read func(*Reader)
	}{
		"octet that is missing":      {nil, func(r *Reader) { r.Byte("field") }},
		"unsigned cut short":         {[]byte{0x80}, func(r *Reader) { r.Uvarint("field") }},
		"unsigned beyond 64 bits":    {overlong, func(r *Reader) { r.Uvarint("field") }},
		"signed that is missing":     {nil, func(r *Reader) { r.Varint("field") }},
		"signed beyond 64 bits":      {overlong, func(r *Reader) { r.Varint("field") }},
		"more parts than bytes":      {[]byte{3, 0, 0}, func(r *Reader) { r.Count("field") }},
		"bytes cut short":            {[]byte{3, 0, 0}, func(r *Reader) { r.Bytes("field") }},
		"text whose length is cut":   {[]byte{0x80}, func(r *Reader) { r.String("field") }},
		"bytes left at the end":      {[]byte{0}, func(r *Reader) { r.ExpectEnd("field") }},
		"field that makes no sense":  {[]byte{7}, func(r *Reader) { r.Byte("good"); r.Fail("field") }},
		"later fields after the one": {[]byte{0x80}, func(r *Reader) { r.Uvarint("field"); r.Byte("later"); r.Fail("later") }},
	}
	for name, c := range cases {
		reader := NewReader(c.data)
		c.read(&reader)
		if field, failed := reader.Malformed(); !failed || field != "field" {
			t.Errorf("%s: malformed %v at %q", name, failed, field)
		}
	}
}

func TestZeroValuesAfterFailure(t *testing.T) {
	reader := NewReader([]byte{1, 2, 3, 4, 5})
	reader.Fail("field")
	if reader.Byte("a") != 0 || reader.Uvarint("b") != 0 || reader.Varint("c") != 0 || reader.Count("d") != 0 ||
		reader.String("e") != "" || reader.Bytes("f") != nil {
		t.Error("a field was read after a malformed one")
	}
}

// FuzzReader has any bytes be read by any fields without a panic: nothing is read that is not there, a reader that has
// failed reads only zeros, and one that has not has consumed exactly what it returned.
func FuzzReader(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4}, AppendBytes([]byte{7, 0x81, 1, 3, 0}, "text"))
	f.Add([]byte{4, 3}, []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f, 1})
	f.Add([]byte{1, 1}, []byte{0x80, 0x80})
	f.Fuzz(func(t *testing.T, fields, data []byte) {
		reader := NewReader(data)
		for _, kind := range fields {
			before := len(reader.rest)
			_, failedBefore := reader.Malformed()
			returned, zero := readField(&reader, kind)
			_, failed := reader.Malformed()
			if failedBefore && (!failed || !zero) {
				t.Fatal("a field was read after a malformed one")
			}
			if failed && (len(reader.rest) != 0 || !zero) {
				t.Fatalf("a malformed field left %d bytes, zero %v", len(reader.rest), zero)
			}
			if taken := before - len(reader.rest); !failed && (taken < 1 || returned > taken) {
				t.Fatalf("%d bytes were taken for %d", taken, returned)
			}
		}
		left := len(reader.rest)
		reader.ExpectEnd("end")
		if _, failed := reader.Malformed(); left > 0 && !failed {
			t.Fatalf("%d bytes were left over", left)
		}
	})
}

// readField reads a field of a kind and says how many bytes of content came, and whether the field was zero or empty.
func readField(reader *Reader, kind byte) (returned int, zero bool) {
	switch kind % 6 {
	case 0:
		return 1, reader.Byte("octet") == 0
	case 1:
		return 1, reader.Uvarint("unsigned") == 0
	case 2:
		return 1, reader.Varint("signed") == 0
	case 3:
		return 1, reader.Count("count") == 0
	case 4:
		content := reader.Bytes("bytes")
		return len(content), len(content) == 0
	default:
		text := reader.String("text")
		return len(text), text == ""
	}
}
