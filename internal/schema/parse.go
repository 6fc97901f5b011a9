package schema

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"
)

// deepest bounds nesting: a hostile document must not use up the stack.
const deepest = 32

// Parse reads one JSON object whole. Names given twice in one object are
// faults, since a plain decoder would let the last one win in silence.
//
// Read by hand: every node reads every new document while jobs wait, and the
// library's tokens cost eight times as much.
func Parse(data []byte) (map[string]any, []Problem, error) {
	return (&parser{text: string(data)}).document()
}

func (p *parser) document() (map[string]any, []Problem, error) {
	v, err := p.value(0)
	if err != nil {
		return nil, nil, err
	}
	if p.blank(); p.at < len(p.text) {
		return nil, nil, errors.New("more follows after the document")
	}
	m, ok := v.(map[string]any)
	if !ok {
		return nil, nil, errors.New("the document must be an object")
	}
	return m, p.twice, nil
}

// parser walks over one document. Texts are parts of it, not copies.
type parser struct {
	text  string
	at    int
	steps []step // where the walk stands
	twice []Problem
	kept  map[string][]ParsedRow
	raw   map[string][]string // nil: nobody asks
}

// step is a name in an object or, without one, a place in a list.
type step struct {
	name string
	num  int
}

// place writes out where the walk stands; only faults need it.
func (p *parser) place() string {
	out := ""
	for _, s := range p.steps {
		if s.num >= 0 {
			out += fmt.Sprintf("[%d]", s.num)
		} else {
			out = join(out, s.name)
		}
	}
	return out
}

func (p *parser) wrong(what string) error {
	if p.at >= len(p.text) {
		return errors.New("the document ends too early")
	}
	return fmt.Errorf("%s at byte %d", what, p.at)
}

func (p *parser) blank() {
	for p.at < len(p.text) {
		switch p.text[p.at] {
		case ' ', '\t', '\n', '\r':
			p.at++
		default:
			return
		}
	}
}

// sign passes over one mark, blanks before it too.
func (p *parser) sign(c byte) bool {
	p.blank()
	if p.at < len(p.text) && p.text[p.at] == c {
		p.at++
		return true
	}
	return false
}

func (p *parser) value(deep int) (any, error) {
	if deep > deepest {
		return nil, errors.New("nested too deep")
	}
	if p.blank(); p.at >= len(p.text) {
		return nil, p.wrong("")
	}
	switch c := p.text[p.at]; {
	case c == '{':
		p.at++
		return p.object(deep)
	case c == '[':
		p.at++
		return p.list(deep)
	case c == '"':
		return p.str()
	case c == '-' || c >= '0' && c <= '9':
		return p.number()
	}
	for word, v := range words {
		if len(p.text)-p.at >= len(word) && p.text[p.at:p.at+len(word)] == word {
			p.at += len(word)
			return v, nil
		}
	}
	return nil, p.wrong("no value")
}

var words = map[string]any{"true": true, "false": false, "null": nil}

func (p *parser) object(deep int) (any, error) {
	out := map[string]any{}
	if p.sign('}') {
		return out, nil
	}
	p.steps = append(p.steps, step{})
	last := len(p.steps) - 1
	for {
		if p.blank(); p.at >= len(p.text) || p.text[p.at] != '"' {
			return nil, p.wrong("no name")
		}
		name, err := p.str()
		if err != nil {
			return nil, err
		}
		if !p.sign(':') {
			return nil, p.wrong("no :")
		}
		p.steps[last] = step{name, -1}
		v, err := p.value(deep + 1)
		if err != nil {
			return nil, err
		}
		had := len(out)
		if out[name] = v; len(out) == had {
			p.twice = append(p.twice, Problem{p.place(), "given twice"})
		}
		if p.sign(',') {
			continue
		}
		if !p.sign('}') {
			return nil, p.wrong("no , or }")
		}
		p.steps = p.steps[:last]
		return out, nil
	}
}

// str reads a text. One with escapes or with bytes that are no UTF-8 is left
// to the library.
func (p *parser) str() (string, error) {
	from, odd := p.at, false
	for p.at++; p.at < len(p.text); p.at++ {
		switch c := p.text[p.at]; {
		case c == '"':
			p.at++
			in := p.text[from+1 : p.at-1]
			if !odd || utf8.ValidString(in) && strings.IndexByte(in, '\\') < 0 {
				return in, nil
			}
			var out string
			err := json.Unmarshal([]byte(p.text[from:p.at]), &out)
			return out, err
		case c == '\\':
			odd = true
			p.at++
		case c < ' ':
			return "", p.wrong("a bare control byte")
		case c >= utf8.RuneSelf:
			odd = true
		}
	}
	return "", p.wrong("")
}

// number keeps the digits as they were written.
func (p *parser) number() (any, error) {
	from := p.at
	if p.text[p.at] == '-' {
		p.at++
	}
	if p.at < len(p.text) && p.text[p.at] == '0' {
		p.at++
	} else if !p.digits() {
		return nil, p.wrong("no digit")
	}
	if p.at < len(p.text) && p.text[p.at] == '.' {
		if p.at++; !p.digits() {
			return nil, p.wrong("no digit")
		}
	}
	if p.at < len(p.text) && (p.text[p.at] == 'e' || p.text[p.at] == 'E') {
		if p.at++; p.at < len(p.text) && (p.text[p.at] == '+' || p.text[p.at] == '-') {
			p.at++
		}
		if !p.digits() {
			return nil, p.wrong("no digit")
		}
	}
	return json.Number(p.text[from:p.at]), nil
}

func (p *parser) digits() bool {
	from := p.at
	for p.at < len(p.text) && p.text[p.at] >= '0' && p.text[p.at] <= '9' {
		p.at++
	}
	return p.at > from
}
