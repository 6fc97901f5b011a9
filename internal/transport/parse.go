package transport

import (
	"puffincrank/internal/fault"
)

// parse reads a frame's bytes. The kind is looked up by known, so that the
// usual ones need no room of their own.
func (f *frame) parse(b []byte, known func([]byte) string) error {
	fields, b, err := span(b, 0x80, 0xde)
	if err != nil {
		return err
	}
	for i := range fields {
		key, rest, err := chars(b)
		if err != nil {
			return err
		}
		b = rest
		// The names are one letter long; others came later.
		name := byte(0)
		if len(key) == 1 {
			name = key[0]
		}
		val := b
		if name == keyBody && i == fields-1 {
			f.body = b
			return nil
		}
		if b, err = walk(b, deepest); err != nil {
			return err
		}
		if err := f.set(name, val[:len(val)-len(b)], known); err != nil {
			return err
		}
	}
	return nil
}

func (f *frame) set(name byte, val []byte, known func([]byte) string) error {
	var raw []byte
	var n int64
	var err error
	switch name {
	case keyKind, keyBad, keySay, keyCut:
		raw, _, err = chars(val)
	case keyID, keyLeft, keyAt, keyLane, keyPart, keyRest:
		n, err = whole(val)
	}
	if err != nil {
		return err
	}
	switch name {
	case keyKind:
		f.kind = known(raw)
	case keyBad:
		f.bad = string(raw)
	case keySay:
		f.say = string(raw)
	case keyID:
		f.id = uint64(n)
	case keyLeft:
		f.left = n
	case keyAt:
		f.at = n
	case keyLane:
		f.lane = int(max(0, min(n, LaneBulk)))
	case keyPart:
		f.part = uint64(n)
	case keyRest:
		f.rest = n
	case keyBody:
		f.body = val
	case keyCut:
		f.body, f.cut = raw, true
	}
	return nil
}

// span reads how many values a map (0x80, 0xde) holds.
func span(b []byte, fix, code byte) (int, []byte, error) {
	if len(b) == 0 {
		return 0, nil, errShort
	}
	switch c := b[0]; {
	case c&0xf0 == fix:
		return int(c & 0x0f), b[1:], nil
	case c == code || c == code+1:
		n, rest, err := big(b[1:], 2<<(c-code))
		return int(n), rest, err
	}
	return 0, nil, fault.New(fault.Input, "frame is no map")
}

// chars reads a text or bytes; nothing stands for none.
func chars(b []byte) ([]byte, []byte, error) {
	if len(b) == 0 {
		return nil, nil, errShort
	}
	c, b := b[0], b[1:]
	n := uint64(0)
	var err error
	switch {
	case c == 0xc0:
	case c&0xe0 == 0xa0:
		n = uint64(c & 0x1f)
	case c >= 0xc4 && c <= 0xc6:
		n, b, err = big(b, 1<<(c-0xc4))
	case c >= 0xd9 && c <= 0xdb:
		n, b, err = big(b, 1<<(c-0xd9))
	default:
		return nil, nil, fault.New(fault.Input, "field is no text")
	}
	if err != nil {
		return nil, nil, err
	}
	if n > uint64(len(b)) {
		return nil, nil, errShort
	}
	return b[:n], b[n:], nil
}

// whole reads a whole number.
func whole(b []byte) (int64, error) {
	if len(b) == 0 {
		return 0, errShort
	}
	c := b[0]
	switch {
	case c < 0x80 || c >= 0xe0:
		return int64(int8(c)), nil
	case c == 0xc0:
		return 0, nil
	case c >= 0xcc && c <= 0xcf:
		n, _, err := big(b[1:], 1<<(c-0xcc))
		return int64(n), err
	case c >= 0xd0 && c <= 0xd3:
		size := 1 << (c - 0xd0)
		n, _, err := big(b[1:], size)
		// The sign stands in the first of its bytes.
		gap := 64 - 8*size
		return int64(n<<gap) >> gap, err
	}
	return 0, fault.New(fault.Input, "field is no number")
}
