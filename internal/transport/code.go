package transport

import (
	"encoding/binary"
	"math"

	"puffincrank/internal/fault"
)

// The names of a frame's fields. The body is the last one, so that nobody has
// to look for its end.
const (
	keyKind, keyID, keyLeft, keyAt, keyBad, keySay = 'k', 'i', 'l', 't', 'e', 's'
	keyLane, keyPart, keyRest, keyBody, keyCut     = 'g', 'n', 'r', 'b', 'c'
)

// most is the longest head, but for its texts.
const most = 128

// deepest is how deep values may lie in each other.
const deepest = 64

// write adds a frame: its length, its head, and a body or a piece of one.
func (h *head) write(b, body []byte, cut bool) []byte {
	from := len(b)
	// The length and the number of fields are known only afterwards.
	b = append(b, 0, 0, 0, 0, 0)
	fields := byte(0)
	text := func(key byte, s string) {
		if s != "" {
			fields++
			b = append(b, 0xa1, key)
			b = append(stretch(b, 0xd9, len(s)), s...)
		}
	}
	count := func(key byte, n uint64) {
		if n != 0 {
			fields++
			b = number(append(b, 0xa1, key), n)
		}
	}
	text(keyKind, h.kind)
	count(keyID, h.id)
	count(keyLeft, uint64(max(h.left, 0)))
	count(keyAt, uint64(max(h.at, 0)))
	text(keyBad, h.bad)
	text(keySay, h.say)
	count(keyLane, uint64(max(h.lane, h.back)))
	count(keyPart, h.part)
	if h.rest < 0 {
		fields++
		b = append(b, 0xa1, keyRest, 0xff)
	} else {
		count(keyRest, uint64(h.rest))
	}
	if cut {
		fields++
		b = append(stretch(append(b, 0xa1, keyCut), 0xc4, len(body)), body...)
	} else if len(body) > 0 {
		fields++
		b = append(append(b, 0xa1, keyBody), body...)
	}
	b[from+4] = 0x80 | fields
	binary.BigEndian.PutUint32(b[from:], uint32(len(b)-from-4))
	return b
}

// stretch adds the length of a text (0xd9) or of bytes (0xc4).
func stretch(b []byte, code byte, n int) []byte {
	switch {
	case code == 0xd9 && n < 32:
		return append(b, 0xa0|byte(n))
	case n <= math.MaxUint8:
		return append(b, code, byte(n))
	case n <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, code+1), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(b, code+2), uint32(n))
}

func number(b []byte, n uint64) []byte {
	switch {
	case n < 128:
		return append(b, byte(n))
	case n <= math.MaxUint8:
		return append(b, 0xcc, byte(n))
	case n <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, 0xcd), uint16(n))
	case n <= math.MaxUint32:
		return binary.BigEndian.AppendUint32(append(b, 0xce), uint32(n))
	}
	return binary.BigEndian.AppendUint64(append(b, 0xcf), n)
}

var errShort = fault.New(fault.Input, "message ends too early")

// big reads a number of n bytes and gives what follows it.
func big(b []byte, n int) (uint64, []byte, error) {
	if len(b) < n {
		return 0, nil, errShort
	}
	v := uint64(0)
	for _, c := range b[:n] {
		v = v<<8 | uint64(c)
	}
	return v, b[n:], nil
}

// walk passes over one value and gives what follows it. Every length in it is
// held against the bytes that are there.
func walk(b []byte, deep int) ([]byte, error) {
	if len(b) == 0 {
		return nil, errShort
	}
	if deep == 0 {
		return nil, fault.New(fault.Input, "message is too deep")
	}
	c, b := b[0], b[1:]
	size, many := uint64(0), uint64(0)
	var err error
	switch {
	case c < 0x80 || c >= 0xe0 || c == 0xc0 || c == 0xc2 || c == 0xc3:
	case c < 0x90:
		many = 2 * uint64(c&0x0f)
	case c < 0xa0:
		many = uint64(c & 0x0f)
	case c < 0xc0:
		size = uint64(c & 0x1f)
	case c >= 0xc4 && c <= 0xc6:
		size, b, err = big(b, 1<<(c-0xc4))
	case c >= 0xc7 && c <= 0xc9:
		size, b, err = big(b, 1<<(c-0xc7))
		size++
	case c == 0xca || c == 0xcb:
		size = 4 << (c - 0xca)
	case c >= 0xcc && c <= 0xcf:
		size = 1 << (c - 0xcc)
	case c >= 0xd0 && c <= 0xd3:
		size = 1 << (c - 0xd0)
	case c >= 0xd4 && c <= 0xd8:
		size = 1 + 1<<(c-0xd4)
	case c >= 0xd9 && c <= 0xdb:
		size, b, err = big(b, 1<<(c-0xd9))
	case c == 0xdc || c == 0xdd:
		many, b, err = big(b, 2<<(c-0xdc))
	case c == 0xde || c == 0xdf:
		many, b, err = big(b, 2<<(c-0xde))
		many *= 2
	default:
		return nil, fault.New(fault.Input, "code %#x stands for nothing", c)
	}
	if err != nil {
		return nil, err
	}
	if size > uint64(len(b)) || many > uint64(len(b)) {
		return nil, errShort
	}
	b = b[size:]
	for range many {
		if b, err = walk(b, deep-1); err != nil {
			return nil, err
		}
	}
	return b, nil
}
