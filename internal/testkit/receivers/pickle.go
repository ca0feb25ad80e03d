package receivers

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

type pickleMark struct{}

// DecodePickle reads a pickle of a list of (path, (time, value)): the opcodes of Python's protocols 0 to 3 that such lists
// are written with (Lib/pickletools.py describes each).
func DecodePickle(b []byte) ([]Point, error) {
	var stack []any
	bad := func(what string) ([]Point, error) { return nil, fmt.Errorf("standin: pickle: %s", what) }
	pop := func() (v any) {
		if len(stack) > 0 {
			v, stack = stack[len(stack)-1], stack[:len(stack)-1]
		}
		return v
	}
	cut := func() (items []any, ok bool) { // what stands above the last mark
		for i := len(stack) - 1; i >= 0; i-- {
			if stack[i] == (pickleMark{}) {
				items = append([]any(nil), stack[i+1:]...)
				stack = stack[:i]
				return items, true
			}
		}
		return nil, false
	}
	type list struct{ items []any }
	take := func(n int) []byte {
		if n < 0 || n > len(b) {
			return nil
		}
		part := b[:n]
		b = b[n:]
		return part
	}
	for len(b) > 0 {
		op := b[0]
		b = b[1:]
		switch op {
		case 0x80: // PROTO
			take(1)
		case '(':
			stack = append(stack, pickleMark{})
		case ']':
			stack = append(stack, &list{})
		case 'l':
			items, ok := cut()
			if !ok {
				return bad("no mark")
			}
			stack = append(stack, &list{items})
		case 't':
			items, ok := cut()
			if !ok {
				return bad("no mark")
			}
			stack = append(stack, items)
		case 0x86: // TUPLE2
			y, x := pop(), pop()
			stack = append(stack, []any{x, y})
		case 'e', 'a': // APPENDS, APPEND
			var items []any
			ok := true
			if op == 'e' {
				items, ok = cut()
			} else {
				items = []any{pop()}
			}
			if !ok || len(stack) == 0 {
				return bad("nothing to append to")
			}
			l, isList := stack[len(stack)-1].(*list)
			if !isList {
				return bad("append to no list")
			}
			l.items = append(l.items, items...)
		case 'q': // BINPUT
			take(1)
		case 'r':
			take(4)
		case 'K':
			v := take(1)
			if v == nil {
				return bad("cut short")
			}
			stack = append(stack, float64(v[0]))
		case 'M':
			v := take(2)
			if v == nil {
				return bad("cut short")
			}
			stack = append(stack, float64(binary.LittleEndian.Uint16(v)))
		case 'J':
			v := take(4)
			if v == nil {
				return bad("cut short")
			}
			stack = append(stack, float64(int32(binary.LittleEndian.Uint32(v))))
		case 0x8a: // LONG1
			n := take(1)
			if n == nil {
				return bad("cut short")
			}
			v := take(int(n[0]))
			if v == nil || len(v) > 8 {
				return bad("long")
			}
			var whole uint64
			for i, d := range v {
				whole |= uint64(d) << (8 * i)
			}
			stack = append(stack, float64(int64(whole)))
		case 'G':
			v := take(8)
			if v == nil {
				return bad("cut short")
			}
			stack = append(stack, floatFromBits(binary.BigEndian.Uint64(v)))
		case 'I', 'L', 'F': // a number as text, to the line's end
			line, rest, ok := strings.Cut(string(b), "\n")
			if !ok {
				return bad("cut short")
			}
			b = b[len(b)-len(rest):]
			v, err := strconv.ParseFloat(strings.TrimSuffix(line, "L"), 64)
			if err != nil {
				return bad(err.Error())
			}
			stack = append(stack, v)
		case 'U', 'X', 'T': // SHORT_BINSTRING, BINUNICODE, BINSTRING
			size := 4
			if op == 'U' {
				size = 1
			}
			n := take(size)
			if n == nil {
				return bad("cut short")
			}
			length := int(n[0])
			if size == 4 {
				length = int(binary.LittleEndian.Uint32(n))
			}
			v := take(length)
			if v == nil {
				return bad("cut short")
			}
			stack = append(stack, string(v))
		case '.':
			l, ok := pop().(*list)
			if !ok {
				return bad("no list")
			}
			var points []Point
			for _, item := range l.items {
				outer, ok1 := item.([]any)
				if !ok1 || len(outer) != 2 {
					return bad("an entry is no pair")
				}
				name, ok2 := outer[0].(string)
				inner, ok3 := outer[1].([]any)
				if !ok2 || !ok3 || len(inner) != 2 {
					return bad("an entry is not (path, (time, value))")
				}
				at, ok4 := inner[0].(float64)
				v, ok5 := inner[1].(float64)
				if !ok4 || !ok5 {
					return bad("time or value is no number")
				}
				points = append(points, Point{name, at, v})
			}
			return points, nil
		default:
			return bad(fmt.Sprintf("opcode %q", op))
		}
	}
	return bad("no end")
}
