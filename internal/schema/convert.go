package schema

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strings"
)

func convert(t Type, raw any) (any, error) {
	switch t {
	case Text:
		// The interface value is returned as it is: boxing the string again would cost one more
		// allocation for each setting of each row.
		if _, ok := raw.(string); ok {
			return raw, nil
		}
	case Count, Duration:
		if n, ok := raw.(json.Number); ok {
			if i, err := n.Int64(); err == nil {
				return i, nil
			}
			if i, ok := wholeNumber(n); ok {
				return i, nil
			}
		}
		return nil, errors.New("must be a whole number")
	case Number:
		if n, ok := raw.(json.Number); ok {
			if f, err := n.Float64(); err == nil && !math.IsInf(f, 0) {
				return f, nil
			}
		}
		return nil, errors.New("must be a number")
	case Flag:
		if _, ok := raw.(bool); ok {
			return raw, nil
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
	case Objects:
		if _, ok := raw.([]any); ok {
			return raw, nil
		}
		return nil, errors.New("must be a list of objects")
	case Object:
		if _, ok := raw.(map[string]any); ok {
			return raw, nil
		}
		return nil, errors.New("must be an object")
	}
	return nil, errors.New("must be a text")
}

// wholeNumber accepts a number with a fraction that is zero, such as 250.0, or zero up to the
// rounding error of a unit conversion, such as 550.0000000000001.
func wholeNumber(n json.Number) (int64, bool) {
	value, err := n.Float64()
	rounded := math.Round(value)
	// Beyond 2^53 a float64 cannot represent every whole number.
	if err != nil || math.Abs(rounded) > 1<<53 || math.Abs(value-rounded) > math.Abs(value)*1e-14 {
		return 0, false
	}
	return int64(rounded), true
}

// IsAddr checks that a text is an IP address with a port.
func IsAddr(s string) error {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		return fmt.Errorf("%q is not an IP number and port", s)
	}
	return nil
}

// IsName checks that a value is a valid name.
func IsName(v any) error {
	s, ok := v.(string)
	ok = ok && len(s) > 0 && len(s) <= 64
	for i := 0; ok && i < len(s); i++ {
		c := s[i]
		plain := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		ok = plain || i > 0 && (c == '.' || c == '_' || c == '-')
	}
	if !ok {
		return errors.New("must be 1 to 64 letters, digits, dots, dashes or underscores")
	}
	return nil
}

// IntRange returns a check that a whole number is within bounds.
func IntRange(low, high int64) func(any) error {
	return func(v any) error {
		if number, ok := v.(int64); !ok || number < low || number > high {
			return fmt.Errorf("must be from %d to %d", low, high)
		}
		return nil
	}
}

// FloatRange returns a check that a number is within bounds.
func FloatRange(low, high float64) func(any) error {
	return func(v any) error {
		if number, ok := v.(float64); !ok || number < low || number > high {
			return fmt.Errorf("must be from %g to %g", low, high)
		}
		return nil
	}
}

// OneOf returns a check that a text is one of the allowed ones.
func OneOf(allowed ...string) func(any) error {
	return func(v any) error {
		for _, a := range allowed {
			if v == a {
				return nil
			}
		}
		return fmt.Errorf("must be one of %v", allowed)
	}
}

// FromFlag converts the text of a command-line flag into the raw value of its type.
func FromFlag(t Type, text string) any {
	switch t {
	case Count, Duration, Number:
		return json.Number(text)
	case Flag:
		return text == "true"
	case Addrs:
		list := []any{}
		for _, address := range strings.Split(text, ",") {
			list = append(list, strings.TrimSpace(address))
		}
		return list
	}
	return text
}
