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
		flag := rapid.Bool().Draw(t, "flag")
		number := rapid.Float32().Draw(t, "number")
		unsigned := rapid.Uint64().Draw(t, "unsigned")
		signed := rapid.Int64().Draw(t, "signed")
		text := rapid.String().Draw(t, "text")
		content := rapid.SliceOf(rapid.Byte()).Draw(t, "content")
		data := []byte{octet}
		data = binary.AppendUvarint(data, unsigned)
		data = binary.AppendVarint(data, signed)
		data = AppendBytes(data, text)
		data = AppendBytes(data, content)
		data = AppendBool(data, flag)
		data = AppendFloat32(data, number)
		data = append(data, content...)
		reader := NewReader(data)
		if rapid.Bool().Draw(t, "canonical") {
			reader = NewCanonicalReader(data)
		}
		if reader.Byte("octet") != octet || reader.Uvarint("unsigned") != unsigned || reader.Varint("signed") != signed ||
			reader.String("text") != text || !bytes.Equal(reader.Bytes("content"), content) {
			t.Fatal("a field was decoded to another value")
		}
		if reader.Bool("flag") != flag || reader.Float32("number") != number {
			t.Fatal("a flag or a number was decoded to another value")
		}
		if !bytes.Equal(reader.Rest(), content) {
			t.Fatal("the rest is another one")
		}
		if !bytes.Equal(reader.Fixed("fixed", len(content)), content) {
			t.Fatal("a field of fixed size was decoded to another value")
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
		"byte that is missing":       {nil, func(r *Reader) { r.Byte("field") }},
		"flag that is missing":       {nil, func(r *Reader) { r.Bool("field") }},
		"flag above 1":               {[]byte{2}, func(r *Reader) { r.Bool("field") }},
		"number cut short":           {[]byte{0, 0, 0}, func(r *Reader) { r.Float32("field") }},
		"unsigned cut short":         {[]byte{0x80}, func(r *Reader) { r.Uvarint("field") }},
		"unsigned beyond 64 bits":    {overlong, func(r *Reader) { r.Uvarint("field") }},
		"signed that is missing":     {nil, func(r *Reader) { r.Varint("field") }},
		"signed beyond 64 bits":      {overlong, func(r *Reader) { r.Varint("field") }},
		"more elements than bytes":   {[]byte{3, 0, 0}, func(r *Reader) { r.Count("field") }},
		"elements that do not fit":   {[]byte{2, 0, 0, 0}, func(r *Reader) { r.CountOf("field", 2) }},
		"bytes cut short":            {[]byte{3, 0, 0}, func(r *Reader) { r.Bytes("field") }},
		"fixed size cut short":       {[]byte{3, 0, 0}, func(r *Reader) { r.Fixed("field", 4) }},
		"text whose length is cut":   {[]byte{0x80}, func(r *Reader) { r.String("field") }},
		"bytes left at the end":      {[]byte{0}, func(r *Reader) { r.ExpectEnd("field") }},
		"field that makes no sense":  {[]byte{7}, func(r *Reader) { r.Byte("good"); r.Fail("field") }},
		"later fields after the one": {[]byte{0x80}, func(r *Reader) { r.Uvarint("field"); r.Byte("later"); r.Fail("later") }},
	}
	for name, test := range cases {
		reader := NewReader(test.data)
		test.read(&reader)
		if field, failed := reader.Malformed(); !failed || field != "field" {
			t.Errorf("%s: malformed %v at %q", name, failed, field)
		}
	}
}

func TestCanonicalReaderRejectsLongVarints(t *testing.T) {
	reads := map[string]func(*Reader){
		"unsigned": func(r *Reader) { r.Uvarint("field") },
		"signed":   func(r *Reader) { r.Varint("field") },
		"count":    func(r *Reader) { r.Count("field") },
		"bytes":    func(r *Reader) { r.Bytes("field") },
		"text":     func(r *Reader) { r.String("field") },
	}
	for name, read := range reads {
		zeroInTwoBytes := []byte{0x80, 0}
		lenient := NewReader(zeroInTwoBytes)
		canonical := NewCanonicalReader(zeroInTwoBytes)
		read(&lenient)
		read(&canonical)
		if _, failed := lenient.Malformed(); failed {
			t.Errorf("%s: a reader that need not be canonical rejects it", name)
		}
		if field, failed := canonical.Malformed(); !failed || field != "field" {
			t.Errorf("%s: the canonical reader accepts it: malformed %v at %q", name, failed, field)
		}
	}
}

func TestOffsetOfMalformedField(t *testing.T) {
	cases := map[string]struct {
		read func(*Reader)
		want int
	}{
		"value without sense": {func(r *Reader) { r.Fail("field") }, 3},
		"flag":                {func(r *Reader) { r.Bool("field") }, 4},
		"length":              {func(r *Reader) { r.Bytes("field") }, 4},
		"end":                 {func(r *Reader) { r.ExpectEnd("field") }, 4},
		"later fields":        {func(r *Reader) { r.Fail("field"); r.Byte("later"); r.Uvarint("later") }, 3},
	}
	for name, test := range cases {
		reader := NewReader([]byte{2, 'a', 'b', 1, 9})
		reader.String("text")
		reader.Byte("byte")
		test.read(&reader)
		if _, failed := reader.Malformed(); !failed || reader.Offset() != test.want {
			t.Errorf("%s: malformed %v at offset %d, want %d", name, failed, reader.Offset(), test.want)
		}
	}
}

func TestZeroValuesAfterFailure(t *testing.T) {
	reader := NewReader([]byte{1, 2, 3, 4, 5})
	reader.Fail("field")
	if reader.Byte("a") != 0 || reader.Uvarint("b") != 0 || reader.Varint("c") != 0 || reader.Count("d") != 0 ||
		reader.String("e") != "" || reader.Bytes("f") != nil || reader.Bool("g") || reader.Float32("h") != 0 ||
		reader.CountOf("i", 2) != 0 || len(reader.Rest()) != 0 {
		t.Error("a field was read after a malformed one")
	}
}

// FuzzReader reads arbitrary bytes as arbitrary fields: nothing panics or reads beyond the end, a reader that has failed
// returns only zeros, and one that has not has consumed exactly what it returned.
func FuzzReader(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4}, AppendBytes([]byte{7, 0x81, 1, 3, 0}, "text"))
	f.Add([]byte{4, 3}, []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f, 1})
	f.Add([]byte{1, 1}, []byte{0x80, 0x80})
	f.Fuzz(func(t *testing.T, fields, data []byte) {
		reader := NewReader(data)
		for _, kind := range fields {
			before := reader.remaining()
			_, failedBefore := reader.Malformed()
			returned, zero := readField(&reader, kind)
			_, failed := reader.Malformed()
			if failedBefore && (!failed || !zero) {
				t.Fatal("a field was read after a malformed one")
			}
			if failed && (reader.remaining() != 0 || !zero) {
				t.Fatalf("a malformed field left %d bytes, zero %v", reader.remaining(), zero)
			}
			if taken := before - reader.remaining(); !failed && (taken < 1 || returned > taken) {
				t.Fatalf("%d bytes were taken for %d", taken, returned)
			}
		}
		left := reader.remaining()
		reader.ExpectEnd("end")
		if _, failed := reader.Malformed(); left > 0 && !failed {
			t.Fatalf("%d bytes were left over", left)
		}
	})
}

// readField reads a field of a kind. It returns the number of bytes of content, and whether the field was zero or empty.
func readField(reader *Reader, kind byte) (returned int, zero bool) {
	switch kind % 8 {
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
	case 6:
		return 1, !reader.Bool("bool")
	case 7:
		return 4, reader.Float32("float") == 0
	default:
		text := reader.String("text")
		return len(text), text == ""
	}
}
