package schema

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strings"
)

func cast(t Type, raw any) (any, error) {
	switch t {
	case Text:
		// The raw value is passed on as it is: another one of the same would be
		// one more allocation for each setting of each row.
		if _, ok := raw.(string); ok {
			return raw, nil
		}
	case Count, Duration:
		if n, ok := raw.(json.Number); ok {
			if i, err := n.Int64(); err == nil {
				return i, nil
			}
			if i, ok := whole(n); ok {
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
	case Row:
		if _, ok := raw.(map[string]any); ok {
			return raw, nil
		}
		return nil, errors.New("must be an object")
	}
	return nil, errors.New("must be a text")
}

// whole reads a number written with a fraction that is none, such as 250.0 or
// what is left of one after a change of units (550.0000000000001).
func whole(n json.Number) (int64, bool) {
	f, err := n.Float64()
	near := math.Round(f)
	// Past 2^53 a float no longer tells whole numbers apart.
	if err != nil || math.Abs(near) > 1<<53 || math.Abs(f-near) > math.Abs(f)*1e-14 {
		return 0, false
	}
	return int64(near), true
}

// IsAddr checks an IP number with a port.
func IsAddr(s string) error {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		return fmt.Errorf("%q is not an IP number and port", s)
	}
	return nil
}

// IsName checks a name.
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

// IntRange checks that a whole number is within bounds.
func IntRange(low, high int64) func(any) error {
	return func(v any) error {
		if n, ok := v.(int64); !ok || n < low || n > high {
			return fmt.Errorf("must be from %d to %d", low, high)
		}
		return nil
	}
}

// FloatRange checks that a number is within bounds.
func FloatRange(low, high float64) func(any) error {
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

// FromFlag turns the text of a flag into the raw value of its type.
func FromFlag(t Type, s string) any {
	switch t {
	case Count, Duration, Number:
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
