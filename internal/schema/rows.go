package schema

import "strings"

// ParsedRow is a row of a document that was read earlier: its text and the value that the reader
// made of it.
type ParsedRow struct {
	Raw   string
	Value any
}

// ParseRows is an incremental Parse. An object in one of the document's top-level lists that is
// byte for byte equal to a previous row of that list is not parsed again: it becomes a pointer to a
// ParsedRow with the previous value. rawRows holds the texts of all rows by the name of their list.
func ParseRows(data []byte, previous map[string][]ParsedRow) (doc map[string]any, rawRows map[string][]string, problems []Problem, err error) {
	p := &parser{text: string(data), previousRows: previous, rawRows: map[string][]string{}}
	doc, problems, err = p.document()
	return doc, p.rawRows, problems, err
}

// lookahead is how many rows may have been removed at one place before the search for the next
// match starts to miss; it widens with each miss. maxLookahead bounds the search.
const lookahead, maxLookahead = 4, 256

// rowMatcher matches one list of the document with the same list of the previous document.
type rowMatcher struct {
	previous []ParsedRow
	next     int // index of the next candidate in previous
	misses   int // rows without a match since the last match
	reused   []ParsedRow
}

// rowValue reads an element of one of the document's top-level lists.
func (p *parser) rowValue(matcher *rowMatcher, depth int) (any, error) {
	p.skipSpace()
	start := p.pos
	// A changed row takes the position of an old one, a new row comes before one, and after removed
	// rows the following ones move up.
	for i := matcher.next; i < min(len(matcher.previous), matcher.next+matcher.misses+lookahead, matcher.next+maxLookahead); i++ {
		// A text that begins with a whole object, closing brace included, has exactly that object
		// as its next value.
		if previous := matcher.previous[i]; strings.HasPrefix(p.text[start:], previous.Raw) {
			p.pos += len(previous.Raw)
			matcher.next, matcher.misses = i+1, 0
			// All reused rows share one allocation, since there can be thousands.
			matcher.reused = append(matcher.reused, ParsedRow{p.text[start:p.pos], previous.Value})
			return &matcher.reused[len(matcher.reused)-1], nil
		}
	}
	matcher.misses++
	v, err := p.value(depth)
	if err != nil || matcher.previous == nil {
		return v, err
	}
	// Parsed strings refer to the text of the document. A row is kept over many versions and would
	// hold each version's whole document in memory, so it is parsed from a copy of its own text.
	copied := &parser{text: strings.Clone(p.text[start:p.pos])}
	return copied.value(depth)
}

func (p *parser) arrayValue(depth int) (any, error) {
	array := []any{}
	if p.accept(']') {
		return array, nil
	}
	p.path = append(p.path, pathElement{})
	last := len(p.path) - 1
	var matcher *rowMatcher
	name := ""
	if p.rawRows != nil && last == 1 {
		name = p.path[0].name
		matcher = &rowMatcher{previous: p.previousRows[name]}
		if n := len(matcher.previous); n > 0 {
			matcher.reused, array = make([]ParsedRow, 0, n), make([]any, 0, n+lookahead)
		}
		p.rawRows[name] = make([]string, 0, cap(array))
	}
	for {
		p.path[last].index = len(array)
		p.skipSpace()
		start := p.pos
		var v any
		var err error
		if matcher != nil {
			v, err = p.rowValue(matcher, depth+1)
		} else {
			v, err = p.value(depth + 1)
		}
		if err != nil {
			return nil, err
		}
		array = append(array, v)
		if matcher != nil {
			p.rawRows[name] = append(p.rawRows[name], p.text[start:p.pos])
		}
		if p.accept(',') {
			continue
		}
		if !p.accept(']') {
			return nil, p.syntaxError("no , or ]")
		}
		p.path = p.path[:last]
		return array, nil
	}
}
