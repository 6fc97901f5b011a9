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

// modelParse is Parse by the tokens of encoding/json: the straightforward model.
func modelParse(data []byte) (map[string]any, []Problem, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var duplicates []Problem
	v, err := modelValue(decoder, "", &duplicates, 0)
	if err != nil {
		return nil, nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, nil, errors.New("more follows after the document")
	}
	object, ok := v.(map[string]any)
	if !ok {
		return nil, nil, errors.New("the document must be an object")
	}
	return object, duplicates, nil
}

func modelValue(decoder *json.Decoder, place string, duplicates *[]Problem, depth int) (any, error) {
	// The bound on nesting is that of Parse.
	if depth > 32 {
		return nil, errors.New("nested too deep")
	}
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	delimiter, ok := token.(json.Delim)
	if !ok {
		return token, nil
	}
	if delimiter == '[' {
		list := []any{}
		for decoder.More() {
			v, err := modelValue(decoder, fmt.Sprintf("%s[%d]", place, len(list)), duplicates, depth+1)
			if err != nil {
				return nil, err
			}
			list = append(list, v)
		}
		_, err = decoder.Token()
		return list, err
	}
	object := map[string]any{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		name, _ := token.(string)
		memberPlace := joinPlace(place, name)
		v, err := modelValue(decoder, memberPlace, duplicates, depth+1)
		if err != nil {
			return nil, err
		}
		if _, duplicate := object[name]; duplicate {
			*duplicates = append(*duplicates, Problem{memberPlace, "given twice"})
		}
		object[name] = v
	}
	_, err = decoder.Token()
	return object, err
}

// seeds returns valid, broken and unusual documents.
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

// checkParse checks that Parse gives the same result as the model.
func checkParse(t *testing.T, data []byte) {
	t.Helper()
	got, gotDuplicates, err := Parse(data)
	want, wantDuplicates, wantErr := modelParse(data)
	if (err == nil) != (wantErr == nil) {
		t.Fatalf("%q: got %v, the model %v", data, err, wantErr)
	}
	if err == nil && (!reflect.DeepEqual(got, want) || !reflect.DeepEqual(gotDuplicates, wantDuplicates)) {
		t.Fatalf("%q:\n%v %v, the model\n%v %v", data, got, gotDuplicates, want, wantDuplicates)
	}
}

// TestParse checks that the parser accepts what encoding/json accepts, with the same result and the
// same duplicate names.
func TestParse(t *testing.T) {
	for _, s := range seeds() {
		checkParse(t, []byte(s))
	}
	// A whole document is cut at every byte, and every byte of it is replaced.
	whole := `{"a":[1,-2.5e3,{"b":"x\u00e9y","b":null}],"c":{"d":true,"e":[]}}`
	for i := range whole {
		checkParse(t, []byte(whole[:i]))
		for _, c := range "{}[]\":,0-e. \\x\x01é" {
			checkParse(t, []byte(whole[:i]+string(c)+whole[i+1:]))
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range seeds() {
		f.Add([]byte(s))
	}
	f.Fuzz(checkParse)
}

// TestWholeNumbers checks that a whole number may be written with a fraction of zero.
func TestWholeNumbers(t *testing.T) {
	for s, want := range map[string]any{"250": int64(250), "250.0": int64(250), "2.5e2": int64(250), "550.0000000000001": int64(550), "67108864.0": int64(67108864),
		"-3.0": int64(-3), "0.0": int64(0), "1.5": nil, "250.0001": nil, "0.999": nil, "1e300": nil, "1e999": nil, "9223372036854775807": int64(9223372036854775807), "9223372036854775808": nil} {
		got, err := convert(Count, json.Number(s))
		if got != want || (err == nil) != (want != nil) {
			t.Errorf("%s: got %v %v, want %v", s, got, err, want)
		}
	}
}

// TestIsName checks the rule for names byte by byte.
func TestIsName(t *testing.T) {
	for s, valid := range map[string]bool{"a": true, "9a": true, "A.b-c_d": true, "": false, ".a": false, "-a": false, "_a": false, "a b": false, "é": false, "a/": false,
		strings.Repeat("x", 64): true, strings.Repeat("x", 65): false} {
		if (IsName(s) == nil) != valid {
			t.Errorf("%q: %v", s, IsName(s))
		}
	}
	if IsName(7) == nil {
		t.Error("a number was accepted as a name")
	}
}
