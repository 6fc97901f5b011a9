package schema

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"
)

// maxDepth bounds the nesting, so that a hostile document cannot exhaust the stack.
const maxDepth = 32

// Parse reads exactly one JSON object. A name given twice in one object is reported as a problem,
// since encoding/json would silently keep the last one.
//
// It does not use encoding/json, because every node reads every new document while requests wait,
// and that package's tokenizer costs eight times as much.
func Parse(data []byte) (map[string]any, []Problem, error) {
	return (&parser{text: string(data)}).document()
}

func (p *parser) document() (map[string]any, []Problem, error) {
	v, err := p.value(0)
	if err != nil {
		return nil, nil, err
	}
	if p.skipSpace(); p.pos < len(p.text) {
		return nil, nil, errors.New("more follows after the document")
	}
	object, ok := v.(map[string]any)
	if !ok {
		return nil, nil, errors.New("the document must be an object")
	}
	return object, p.duplicates, nil
}

// parser reads one document. The strings that it returns are substrings of the document, not
// copies.
type parser struct {
	text         string
	pos          int
	path         []pathElement // path from the root to the current value
	duplicates   []Problem
	previousRows map[string][]ParsedRow
	rawRows      map[string][]string // nil when the caller does not need the row texts
}

// pathElement is a name in an object (index is -1) or an index in a list.
type pathElement struct {
	name  string
	index int
}

// place formats the current path; it is needed only for problems.
func (p *parser) place() string {
	out := ""
	for _, element := range p.path {
		if element.index >= 0 {
			out += fmt.Sprintf("[%d]", element.index)
		} else {
			out = joinPlace(out, element.name)
		}
	}
	return out
}

func (p *parser) syntaxError(problem string) error {
	if p.pos >= len(p.text) {
		return errors.New("the document ends too early")
	}
	return fmt.Errorf("%s at byte %d", problem, p.pos)
}

func (p *parser) skipSpace() {
	for p.pos < len(p.text) {
		switch p.text[p.pos] {
		case ' ', '\t', '\n', '\r':
			p.pos++
		default:
			return
		}
	}
}

// accept skips white space and consumes the character c if it comes next.
func (p *parser) accept(c byte) bool {
	p.skipSpace()
	if p.pos < len(p.text) && p.text[p.pos] == c {
		p.pos++
		return true
	}
	return false
}

func (p *parser) value(depth int) (any, error) {
	if depth > maxDepth {
		return nil, errors.New("nested too deep")
	}
	if p.skipSpace(); p.pos >= len(p.text) {
		return nil, p.syntaxError("")
	}
	switch c := p.text[p.pos]; {
	case c == '{':
		p.pos++
		return p.objectValue(depth)
	case c == '[':
		p.pos++
		return p.arrayValue(depth)
	case c == '"':
		return p.stringValue()
	case c == '-' || c >= '0' && c <= '9':
		return p.numberValue()
	}
	for literal, v := range literals {
		if len(p.text)-p.pos >= len(literal) && p.text[p.pos:p.pos+len(literal)] == literal {
			p.pos += len(literal)
			return v, nil
		}
	}
	return nil, p.syntaxError("no value")
}

var literals = map[string]any{"true": true, "false": false, "null": nil}

func (p *parser) objectValue(depth int) (any, error) {
	object := map[string]any{}
	if p.accept('}') {
		return object, nil
	}
	p.path = append(p.path, pathElement{})
	last := len(p.path) - 1
	for {
		if p.skipSpace(); p.pos >= len(p.text) || p.text[p.pos] != '"' {
			return nil, p.syntaxError("no name")
		}
		name, err := p.stringValue()
		if err != nil {
			return nil, err
		}
		if !p.accept(':') {
			return nil, p.syntaxError("no :")
		}
		p.path[last] = pathElement{name, -1}
		v, err := p.value(depth + 1)
		if err != nil {
			return nil, err
		}
		size := len(object)
		if object[name] = v; len(object) == size {
			p.duplicates = append(p.duplicates, Problem{p.place(), "given twice"})
		}
		if p.accept(',') {
			continue
		}
		if !p.accept('}') {
			return nil, p.syntaxError("no , or }")
		}
		p.path = p.path[:last]
		return object, nil
	}
}

// stringValue reads a string. Strings with escapes or invalid UTF-8 are left to encoding/json.
func (p *parser) stringValue() (string, error) {
	start, needsDecoding := p.pos, false
	for p.pos++; p.pos < len(p.text); p.pos++ {
		switch c := p.text[p.pos]; {
		case c == '"':
			p.pos++
			content := p.text[start+1 : p.pos-1]
			if !needsDecoding || utf8.ValidString(content) && strings.IndexByte(content, '\\') < 0 {
				return content, nil
			}
			var out string
			err := json.Unmarshal([]byte(p.text[start:p.pos]), &out)
			return out, err
		case c == '\\':
			needsDecoding = true
			p.pos++
		case c < ' ':
			return "", p.syntaxError("a bare control byte")
		case c >= utf8.RuneSelf:
			needsDecoding = true
		}
	}
	return "", p.syntaxError("")
}

// numberValue keeps the digits as they were written.
func (p *parser) numberValue() (any, error) {
	start := p.pos
	if p.text[p.pos] == '-' {
		p.pos++
	}
	if p.pos < len(p.text) && p.text[p.pos] == '0' {
		p.pos++
	} else if !p.skipDigits() {
		return nil, p.syntaxError("no digit")
	}
	if p.pos < len(p.text) && p.text[p.pos] == '.' {
		if p.pos++; !p.skipDigits() {
			return nil, p.syntaxError("no digit")
		}
	}
	if p.pos < len(p.text) && (p.text[p.pos] == 'e' || p.text[p.pos] == 'E') {
		if p.pos++; p.pos < len(p.text) && (p.text[p.pos] == '+' || p.text[p.pos] == '-') {
			p.pos++
		}
		if !p.skipDigits() {
			return nil, p.syntaxError("no digit")
		}
	}
	return json.Number(p.text[start:p.pos]), nil
}

func (p *parser) skipDigits() bool {
	start := p.pos
	for p.pos < len(p.text) && p.text[p.pos] >= '0' && p.text[p.pos] <= '9' {
		p.pos++
	}
	return p.pos > start
}
