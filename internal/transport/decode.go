package transport

import (
	"puffincrank/internal/fault"
)

// parse decodes a frame. internKind maps the bytes of a kind to a string, so that known
// kinds need no allocation.
func (f *frame) parse(b []byte, internKind func([]byte) string) error {
	fields, b, err := mapLength(b, 0x80, 0xde)
	if err != nil {
		return err
	}
	for i := range fields {
		key, rest, err := textOrBytes(b)
		if err != nil {
			return err
		}
		b = rest
		// All known fields have names of one letter; others are from later versions and are
		// skipped.
		name := byte(0)
		if len(key) == 1 {
			name = key[0]
		}
		val := b
		if name == keyBody && i == fields-1 {
			f.body = b
			return nil
		}
		if b, err = skipValue(b, maxDepth); err != nil {
			return err
		}
		if err := f.setField(name, val[:len(val)-len(b)], internKind); err != nil {
			return err
		}
	}
	return nil
}

func (f *frame) setField(name byte, val []byte, internKind func([]byte) string) error {
	var raw []byte
	var number int64
	var err error
	switch name {
	case keyKind, keyErrorCode, keyErrorText, keyChunk:
		raw, _, err = textOrBytes(val)
	case keyID, keyTimeout, keySentAt, keyLane, keyBodyID, keyRemaining:
		number, err = integer(val)
	}
	if err != nil {
		return err
	}
	switch name {
	case keyKind:
		f.kind = internKind(raw)
	case keyErrorCode:
		f.errorCode = string(raw)
	case keyErrorText:
		f.errorText = string(raw)
	case keyID:
		f.id = uint64(number)
	case keyTimeout:
		f.timeoutMS = number
	case keySentAt:
		f.sentAtMS = number
	case keyLane:
		f.lane = int(max(0, min(number, LaneBulk)))
	case keyBodyID:
		f.bodyID = uint64(number)
	case keyRemaining:
		f.remaining = number
	case keyBody:
		f.body = val
	case keyChunk:
		f.body, f.chunk = raw, true
	}
	return nil
}

// mapLength decodes the header of a map (fixCode or code) and returns its number of entries.
func mapLength(b []byte, fixCode, code byte) (int, []byte, error) {
	if len(b) == 0 {
		return 0, nil, errTruncated
	}
	switch c := b[0]; {
	case c&0xf0 == fixCode:
		return int(c & 0x0f), b[1:], nil
	case c == code || c == code+1:
		n, rest, err := bigEndian(b[1:], 2<<(c-code))
		return int(n), rest, err
	}
	return 0, nil, fault.New(fault.Input, "frame is not a map")
}

// textOrBytes decodes a string or a byte string; nil is read as empty.
func textOrBytes(b []byte) ([]byte, []byte, error) {
	if len(b) == 0 {
		return nil, nil, errTruncated
	}
	c, b := b[0], b[1:]
	n := uint64(0)
	var err error
	switch {
	case c == 0xc0:
	case c&0xe0 == 0xa0:
		n = uint64(c & 0x1f)
	case c >= 0xc4 && c <= 0xc6:
		n, b, err = bigEndian(b, 1<<(c-0xc4))
	case c >= 0xd9 && c <= 0xdb:
		n, b, err = bigEndian(b, 1<<(c-0xd9))
	default:
		return nil, nil, fault.New(fault.Input, "frame field is not a string")
	}
	if err != nil {
		return nil, nil, err
	}
	if n > uint64(len(b)) {
		return nil, nil, errTruncated
	}
	return b[:n], b[n:], nil
}

// integer decodes an integer.
func integer(b []byte) (int64, error) {
	if len(b) == 0 {
		return 0, errTruncated
	}
	c := b[0]
	switch {
	case c < 0x80 || c >= 0xe0:
		return int64(int8(c)), nil
	case c == 0xc0:
		return 0, nil
	case c >= 0xcc && c <= 0xcf:
		n, _, err := bigEndian(b[1:], 1<<(c-0xcc))
		return int64(n), err
	case c >= 0xd0 && c <= 0xd3:
		size := 1 << (c - 0xd0)
		n, _, err := bigEndian(b[1:], size)
		// Shifting there and back extends the sign.
		shift := 64 - 8*size
		return int64(n<<shift) >> shift, err
	}
	return 0, fault.New(fault.Input, "frame field is not an integer")
}
