package receivers

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// The opcodes of Python's pickle protocols 0 to 3 that lists of (path, (time, value)) are written with
// (Lib/pickletools.py describes each).
const (
	opProto          = 0x80
	opMark           = '('
	opEmptyList      = ']'
	opList           = 'l'
	opTuple          = 't'
	opTuple2         = 0x86
	opAppends        = 'e'
	opAppend         = 'a'
	opBinPut         = 'q'
	opLongBinPut     = 'r'
	opBinInt1        = 'K'
	opBinInt2        = 'M'
	opBinInt         = 'J'
	opLong1          = 0x8a
	opBinFloat       = 'G'
	opInt            = 'I'
	opLong           = 'L'
	opFloat          = 'F'
	opShortBinString = 'U'
	opBinUnicode     = 'X'
	opBinString      = 'T'
	opStop           = '.'
)

var (
	errPickleShort  = errors.New("cut short")
	errPickleNoMark = errors.New("no mark")
)

// numberSizes are the sizes in bytes of the numbers behind the opcodes.
var numberSizes = map[byte]int{
	opBinInt1:  1,
	opBinInt2:  2,
	opBinInt:   4,
	opBinFloat: 8,
}

// pickleMark is what opMark pushes.
type pickleMark struct{}

// pickleList is a list on the stack; lists grow in place, tuples ([]any) don't.
type pickleList struct{ items []any }

// unpickler is the state of the pickle machine.
type unpickler struct {
	input []byte // not read yet
	stack []any
}

// DecodePickle reads a pickle of a list of (path, (time, value)).
func DecodePickle(b []byte) ([]Point, error) {
	u := &unpickler{input: b}
	for len(u.input) > 0 {
		op := u.input[0]
		u.input = u.input[1:]
		if op == opStop {
			points, err := pointsOf(u.pop())
			if err != nil {
				return nil, fmt.Errorf("receivers: pickle: %w", err)
			}
			return points, nil
		}
		if err := u.step(op); err != nil {
			return nil, fmt.Errorf("receivers: pickle: %w", err)
		}
	}
	return nil, errors.New("receivers: pickle: no end")
}

// step executes one opcode.
func (u *unpickler) step(op byte) error {
	switch op {
	case opProto, opBinPut: // the protocol's number and the memo are of no use here
		u.take(1)
	case opLongBinPut:
		u.take(4)
	case opMark:
		u.push(pickleMark{})
	case opEmptyList:
		u.push(&pickleList{})
	case opList, opTuple, opTuple2, opAppends, opAppend:
		return u.stepCollection(op)
	case opBinInt1, opBinInt2, opBinInt, opLong1, opBinFloat, opInt, opLong, opFloat:
		return u.stepNumber(op)
	case opShortBinString:
		return u.pushString(1)
	case opBinUnicode, opBinString:
		return u.pushString(4)
	default:
		return fmt.Errorf("opcode %q", op)
	}
	return nil
}

// stepCollection executes an opcode that makes or extends a list or a tuple.
func (u *unpickler) stepCollection(op byte) error {
	switch op {
	case opTuple2:
		second := u.pop()
		first := u.pop()
		u.push([]any{first, second})
		return nil
	case opAppend:
		return u.extendList([]any{u.pop()})
	}
	items, ok := u.popToMark()
	switch {
	case !ok && op == opAppends:
		return errors.New("nothing to append to")
	case !ok:
		return errPickleNoMark
	case op == opAppends:
		return u.extendList(items)
	case op == opList:
		u.push(&pickleList{items})
	default:
		u.push(items)
	}
	return nil
}

// stepNumber executes an opcode that pushes a number.
func (u *unpickler) stepNumber(op byte) error {
	switch op {
	case opLong1:
		return u.pushLong()
	case opInt, opLong, opFloat:
		return u.pushText()
	}
	b := u.take(numberSizes[op])
	if b == nil {
		return errPickleShort
	}
	switch op {
	case opBinInt1:
		u.push(float64(b[0]))
	case opBinInt2:
		u.push(float64(binary.LittleEndian.Uint16(b)))
	case opBinInt:
		u.push(float64(int32(binary.LittleEndian.Uint32(b))))
	case opBinFloat:
		u.push(math.Float64frombits(binary.BigEndian.Uint64(b)))
	}
	return nil
}

// pushLong pushes a whole number of at most eight bytes, little-endian behind its length.
func (u *unpickler) pushLong() error {
	size := u.take(1)
	if size == nil {
		return errPickleShort
	}
	digits := u.take(int(size[0]))
	if digits == nil || len(digits) > 8 {
		return errors.New("long")
	}
	var whole uint64
	for i, digit := range digits {
		whole |= uint64(digit) << (8 * i)
	}
	u.push(float64(int64(whole)))
	return nil
}

// pushText pushes a number that is written as text up to the line's end.
func (u *unpickler) pushText() error {
	line, rest, ok := strings.Cut(string(u.input), "\n")
	if !ok {
		return errPickleShort
	}
	u.input = u.input[len(u.input)-len(rest):]
	v, err := strconv.ParseFloat(strings.TrimSuffix(line, "L"), 64)
	if err != nil {
		return err
	}
	u.push(v)
	return nil
}

// pushString pushes a string whose length stands before it in one or four bytes.
func (u *unpickler) pushString(lengthSize int) error {
	b := u.take(lengthSize)
	if b == nil {
		return errPickleShort
	}
	length := int(b[0])
	if lengthSize == 4 {
		length = int(binary.LittleEndian.Uint32(b))
	}
	text := u.take(length)
	if text == nil {
		return errPickleShort
	}
	u.push(string(text))
	return nil
}

func (u *unpickler) push(v any) { u.stack = append(u.stack, v) }

// pop returns and removes what is on top of the stack; nil if it is empty.
func (u *unpickler) pop() any {
	if len(u.stack) == 0 {
		return nil
	}
	top := u.stack[len(u.stack)-1]
	u.stack = u.stack[:len(u.stack)-1]
	return top
}

// popToMark pops everything above the last mark, and the mark itself.
func (u *unpickler) popToMark() (items []any, ok bool) {
	for i := len(u.stack) - 1; i >= 0; i-- {
		if u.stack[i] == (pickleMark{}) {
			items = append([]any(nil), u.stack[i+1:]...)
			u.stack = u.stack[:i]
			return items, true
		}
	}
	return nil, false
}

// extendList appends items to the list on top of the stack.
func (u *unpickler) extendList(items []any) error {
	if len(u.stack) == 0 {
		return errors.New("nothing to append to")
	}
	list, ok := u.stack[len(u.stack)-1].(*pickleList)
	if !ok {
		return errors.New("append to no list")
	}
	list.items = append(list.items, items...)
	return nil
}

// take removes n bytes from the input; nil if there are fewer.
func (u *unpickler) take(n int) []byte {
	if n < 0 || n > len(u.input) {
		return nil
	}
	taken := u.input[:n]
	u.input = u.input[n:]
	return taken
}

// pointsOf converts the list that a pickle holds.
func pointsOf(v any) (points []Point, err error) {
	list, ok := v.(*pickleList)
	if !ok {
		return nil, errors.New("no list")
	}
	for _, item := range list.items {
		entry, ok := item.([]any)
		if !ok || len(entry) != 2 {
			return nil, errors.New("an entry is no pair")
		}
		name, nameOK := entry[0].(string)
		sample, sampleOK := entry[1].([]any)
		if !nameOK || !sampleOK || len(sample) != 2 {
			return nil, errors.New("an entry is not (path, (time, value))")
		}
		at, timeOK := sample[0].(float64)
		value, valueOK := sample[1].(float64)
		if !timeOK || !valueOK {
			return nil, errors.New("time or value is no number")
		}
		points = append(points, Point{name, at, value})
	}
	return points, nil
}
