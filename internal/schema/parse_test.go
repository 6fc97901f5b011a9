package schema

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"
)

// slow is Parse by the library's tokens: the obvious model.
func slow(data []byte) (map[string]any, []Problem, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var twice []Problem
	v, err := slowly(d, "", &twice, 0)
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

func slowly(d *json.Decoder, place string, twice *[]Problem, deep int) (any, error) {
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
			v, err := slowly(d, fmt.Sprintf("%s[%d]", place, len(list)), twice, deep+1)
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
		at := joinPlace(place, name)
		v, err := slowly(d, at, twice, deep+1)
		if err != nil {
			return nil, err
		}
		if _, dup := m[name]; dup {
			*twice = append(*twice, Problem{at, "given twice"})
		}
		m[name] = v
	}
	_, err = d.Token()
	return m, err
}

// seeds are documents whole, broken and odd.
func seeds() []string {
	return []string{
		"", "{", "{}", " {\r\n\t} ", "[]", "7", `{"a":1}{}`, `{"a":1,}`, `{"a" 1}`, `{a:1}`, `{"a":}`, `{,}`, `{"a":[1,]}`, `{"a":[1 2]}`, `{"a":[,]}`,
		`{"a":1,"a":2}`, `{"a":{"b":[{"c":1,"c":2,"c":3},{"c":1,"c":[]}]},"a":0}`, `{"a":true,"b":false,"c":null,"d":nul}`, `{"a":truefalse}`, `{"a":nullx}`,
		`{"a":-0,"b":0.5,"c":-12.5e+3,"d":1E9,"e":123456789012345678901234567890}`, `{"a":01}`, `{"a":-}`, `{"a":1.}`, `{"a":.5}`, `{"a":1e}`, `{"a":+1}`, `{"a":1e400}`,
		`{"a":"\\\"\/\b\f\n\r\t\u00e9\ud83d\ude00\ud83d"}`, `{"a":"\x"}`, `{"a":"\u12"}`, `{"a":"\`, `{"a":"é€😀"}`, "{\"a\":\"\xff\xc3\"}", "{\"\xff\":1,\"\xfe\":2}",
		"{\"a\":\"\n\"}", "{\"a\":\"\x7f\"}", `{"a":"b`, `{"\u0061":1,"a":2}`, "\ufeff{}", "{}\x00", `{"a":"\\"}`, `{"":{"":1,"":2}}`, "{\"a\":\"\\\x01\"}",
		strings.Repeat(`{"a":`, 32) + "1" + strings.Repeat("}", 32), strings.Repeat(`{"a":`, 33) + "1" + strings.Repeat("}", 33),
		strings.Repeat("[", 40), `{"a":` + strings.Repeat("[", 32) + strings.Repeat("]", 32) + `}`, `{"a":` + strings.Repeat("[", 31) + strings.Repeat("]", 31) + `}`,
	}
}

// alike wants of Parse what the model gives.
func alike(t *testing.T, data []byte) {
	t.Helper()
	m, twice, err := Parse(data)
	sm, stwice, serr := slow(data)
	if (err == nil) != (serr == nil) {
		t.Fatalf("%q: got %v, the model %v", data, err, serr)
	}
	if err == nil && (!reflect.DeepEqual(m, sm) || !reflect.DeepEqual(twice, stwice)) {
		t.Fatalf("%q:\n%v %v, the model\n%v %v", data, m, twice, sm, stwice)
	}
}

// TestParse: the reader by hand takes what the library takes, gives the same
// and names the same names given twice.
func TestParse(t *testing.T) {
	for _, s := range seeds() {
		alike(t, []byte(s))
	}
	// Every cut and every changed byte of a whole document.
	whole := `{"a":[1,-2.5e3,{"b":"x\u00e9y","b":null}],"c":{"d":true,"e":[]}}`
	for i := range whole {
		alike(t, []byte(whole[:i]))
		for _, c := range "{}[]\":,0-e. \\x\x01é" {
			alike(t, []byte(whole[:i]+string(c)+whole[i+1:]))
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range seeds() {
		f.Add([]byte(s))
	}
	f.Fuzz(alike)
}

// TestNumbers: a whole number may be written with a fraction that is none.
func TestNumbers(t *testing.T) {
	for s, want := range map[string]any{"250": int64(250), "250.0": int64(250), "2.5e2": int64(250), "550.0000000000001": int64(550), "67108864.0": int64(67108864),
		"-3.0": int64(-3), "0.0": int64(0), "1.5": nil, "250.0001": nil, "0.999": nil, "1e300": nil, "1e999": nil, "9223372036854775807": int64(9223372036854775807), "9223372036854775808": nil} {
		got, err := convert(Count, json.Number(s))
		if got != want || (err == nil) != (want != nil) {
			t.Errorf("%s: got %v %v, want %v", s, got, err, want)
		}
	}
}

// TestWord is the rule for names, byte by byte.
func TestWord(t *testing.T) {
	for s, good := range map[string]bool{"a": true, "9a": true, "A.b-c_d": true, "": false, ".a": false, "-a": false, "_a": false, "a b": false, "é": false, "a/": false,
		strings.Repeat("x", 64): true, strings.Repeat("x", 65): false} {
		if (IsName(s) == nil) != good {
			t.Errorf("%q: %v", s, IsName(s))
		}
	}
	if IsName(7) == nil {
		t.Error("a number is no name")
	}
}
