package transport

import (
	"encoding/binary"
	"math"

	"puffincrank/internal/fault"
)

// The field names of a frame. The body comes last, so that a reader does not have to
// search for its end.
const (
	keyKind, keyID, keyTimeout, keySentAt, keyErrorCode, keyErrorText = 'k', 'i', 'l', 't', 'e', 's'
	keyLane, keyBodyID, keyRemaining, keyBody, keyChunk               = 'g', 'n', 'r', 'b', 'c'
)

// maxHeadSize is the longest encoded head without its texts.
const maxHeadSize = 128

// maxDepth is the deepest nesting of values that is accepted.
const maxDepth = 64

// appendTo appends an encoded frame to b: its length, its head, and a body or one chunk of
// a body.
func (h *head) appendTo(b, body []byte, chunk bool) []byte {
	offset := len(b)
	// The length and the number of fields are filled in at the end.
	b = append(b, 0, 0, 0, 0, 0)
	fields := byte(0)
	text := func(key byte, s string) {
		if s != "" {
			fields++
			b = append(b, 0xa1, key)
			b = append(appendLength(b, 0xd9, len(s)), s...)
		}
	}
	count := func(key byte, n uint64) {
		if n != 0 {
			fields++
			b = appendUint(append(b, 0xa1, key), n)
		}
	}
	text(keyKind, h.kind)
	count(keyID, h.id)
	count(keyTimeout, uint64(max(h.timeoutMS, 0)))
	count(keySentAt, uint64(max(h.sentAtMS, 0)))
	text(keyErrorCode, h.errorCode)
	text(keyErrorText, h.errorText)
	count(keyLane, uint64(max(h.lane, h.responseLane)))
	count(keyBodyID, h.bodyID)
	if h.remaining < 0 {
		fields++
		b = append(b, 0xa1, keyRemaining, 0xff)
	} else {
		count(keyRemaining, uint64(h.remaining))
	}
	if chunk {
		fields++
		b = append(appendLength(append(b, 0xa1, keyChunk), 0xc4, len(body)), body...)
	} else if len(body) > 0 {
		fields++
		b = append(append(b, 0xa1, keyBody), body...)
	}
	b[offset+4] = 0x80 | fields
	binary.BigEndian.PutUint32(b[offset:], uint32(len(b)-offset-4))
	return b
}

// appendLength appends the length of a string (0xd9) or of a byte string (0xc4).
func appendLength(b []byte, code byte, n int) []byte {
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

func appendUint(b []byte, n uint64) []byte {
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

var errTruncated = fault.New(fault.Input, "message ends too early")

// bigEndian decodes an unsigned integer of n bytes and returns it with the remaining input.
func bigEndian(b []byte, n int) (uint64, []byte, error) {
	if len(b) < n {
		return 0, nil, errTruncated
	}
	value := uint64(0)
	for _, c := range b[:n] {
		value = value<<8 | uint64(c)
	}
	return value, b[n:], nil
}

// skipValue skips one encoded value and returns the remaining input. It checks every
// length against the bytes that are present.
func skipValue(b []byte, depth int) ([]byte, error) {
	if len(b) == 0 {
		return nil, errTruncated
	}
	if depth == 0 {
		return nil, fault.New(fault.Input, "message is too deep")
	}
	c, b := b[0], b[1:]
	size, elements := uint64(0), uint64(0)
	var err error
	switch {
	case c < 0x80 || c >= 0xe0 || c == 0xc0 || c == 0xc2 || c == 0xc3:
	case c < 0x90:
		elements = 2 * uint64(c&0x0f)
	case c < 0xa0:
		elements = uint64(c & 0x0f)
	case c < 0xc0:
		size = uint64(c & 0x1f)
	case c >= 0xc4 && c <= 0xc6:
		size, b, err = bigEndian(b, 1<<(c-0xc4))
	case c >= 0xc7 && c <= 0xc9:
		size, b, err = bigEndian(b, 1<<(c-0xc7))
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
		size, b, err = bigEndian(b, 1<<(c-0xd9))
	case c == 0xdc || c == 0xdd:
		elements, b, err = bigEndian(b, 2<<(c-0xdc))
	case c == 0xde || c == 0xdf:
		elements, b, err = bigEndian(b, 2<<(c-0xde))
		elements *= 2
	default:
		return nil, fault.New(fault.Input, "code %#x stands for nothing", c)
	}
	if err != nil {
		return nil, err
	}
	if size > uint64(len(b)) || elements > uint64(len(b)) {
		return nil, errTruncated
	}
	b = b[size:]
	for range elements {
		if b, err = skipValue(b, depth-1); err != nil {
			return nil, err
		}
	}
	return b, nil
}
