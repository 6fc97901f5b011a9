package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
	"regexp"
	"strings"
)

func cast(t Type, raw any) (any, error) {
	switch t {
	case Text:
		if s, ok := raw.(string); ok {
			return s, nil
		}
	case Count, Span:
		if n, ok := raw.(json.Number); ok {
			if i, err := n.Int64(); err == nil {
				return i, nil
			}
		}
		return nil, errors.New("must be a whole number")
	case Share:
		if n, ok := raw.(json.Number); ok {
			if f, err := n.Float64(); err == nil && !math.IsInf(f, 0) {
				return f, nil
			}
		}
		return nil, errors.New("must be a number")
	case Flag:
		if b, ok := raw.(bool); ok {
			return b, nil
		}
		return nil, errors.New("must be true or false")
	case Addr:
		if s, ok := raw.(string); ok {
			return s, IsAddr(s)
		}
	case Addrs:
		list, ok := raw.([]any)
		if !ok {
			return nil, errors.New("must be a list of addresses")
		}
		var out []string
		for _, e := range list {
			s, ok := e.(string)
			if !ok {
				return nil, errors.New("must be a list of addresses")
			}
			if err := IsAddr(s); err != nil {
				return nil, err
			}
			out = append(out, s)
		}
		return out, nil
	case Rows:
		if list, ok := raw.([]any); ok {
			return list, nil
		}
		return nil, errors.New("must be a list of objects")
	case Row:
		if m, ok := raw.(map[string]any); ok {
			return m, nil
		}
		return nil, errors.New("must be an object")
	}
	return nil, errors.New("must be a text")
}

// IsAddr checks an IP number with a port.
func IsAddr(s string) error {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		return fmt.Errorf("%q is not an IP number and port", s)
	}
	return nil
}

var word = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$`)

// Word checks a name.
func Word(v any) error {
	if s, ok := v.(string); !ok || !word.MatchString(s) {
		return errors.New("must be 1 to 64 letters, digits, dots, dashes or underscores")
	}
	return nil
}

// In checks that a whole number is within bounds.
func In(low, high int64) func(any) error {
	return func(v any) error {
		if n, ok := v.(int64); !ok || n < low || n > high {
			return fmt.Errorf("must be from %d to %d", low, high)
		}
		return nil
	}
}

// Within checks that a number is within bounds.
func Within(low, high float64) func(any) error {
	return func(v any) error {
		if n, ok := v.(float64); !ok || n < low || n > high {
			return fmt.Errorf("must be from %g to %g", low, high)
		}
		return nil
	}
}

// OneOf checks that a text is one of a few.
func OneOf(all ...string) func(any) error {
	return func(v any) error {
		for _, a := range all {
			if v == a {
				return nil
			}
		}
		return fmt.Errorf("must be one of %v", all)
	}
}

// Parse reads one JSON object whole. Names given twice in one object are
// faults, since a plain decoder would let the last one win in silence.
func Parse(data []byte) (map[string]any, []Fault, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var twice []Fault
	v, err := value(d, "", &twice, 0)
	if err != nil {
		return nil, nil, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, nil, errors.New("more follows after the document")
	}
	m, ok := v.(map[string]any)
	if !ok {
		return nil, nil, errors.New("the document must be an object")
	}
	return m, twice, nil
}

func value(d *json.Decoder, place string, twice *[]Fault, deep int) (any, error) {
	// A bound on nesting keeps a hostile document from using up the stack.
	if deep > 32 {
		return nil, errors.New("nested too deep")
	}
	tok, err := d.Token()
	if err != nil {
		return nil, err
	}
	sign, ok := tok.(json.Delim)
	if !ok {
		return tok, nil
	}
	if sign == '[' {
		list := []any{}
		for d.More() {
			v, err := value(d, fmt.Sprintf("%s[%d]", place, len(list)), twice, deep+1)
			if err != nil {
				return nil, err
			}
			list = append(list, v)
		}
		_, err = d.Token()
		return list, err
	}
	m := map[string]any{}
	for d.More() {
		tok, err := d.Token()
		if err != nil {
			return nil, err
		}
		name, _ := tok.(string)
		at := join(place, name)
		v, err := value(d, at, twice, deep+1)
		if err != nil {
			return nil, err
		}
		if _, dup := m[name]; dup {
			*twice = append(*twice, Fault{at, "given twice"})
		}
		m[name] = v
	}
	_, err = d.Token()
	return m, err
}

// FromFlag turns the text of a flag into the raw value of its type.
func FromFlag(t Type, s string) any {
	switch t {
	case Count, Span, Share:
		return json.Number(s)
	case Flag:
		return s == "true"
	case Addrs:
		list := []any{}
		for _, a := range strings.Split(s, ",") {
			list = append(list, strings.TrimSpace(a))
		}
		return list
	}
	return s
}
