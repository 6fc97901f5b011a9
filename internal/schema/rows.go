package schema

import "strings"

// ParsedRow is a row of a document that was read before: its text, and what the
// reader made of it.
type ParsedRow struct {
	Raw   string
	Value any
}

// ParseRows is Parse for one who has read much of a document before: an object
// in one of the lists of the document that stands there letter for letter as
// one of the rows kept under that list's name becomes a pointer to that Kept, unread. Raw
// gives the texts of all rows of all lists, by their names.
func ParseRows(data []byte, previous map[string][]ParsedRow) (doc map[string]any, rawRows map[string][]string, problems []Problem, err error) {
	p := &parser{text: string(data), previousRows: previous, rawRows: map[string][]string{}}
	doc, problems, err = p.document()
	return doc, p.rawRows, problems, err
}

// lookahead is how many rows of the old list may be gone at one place without the
// search for the next one starting to miss.
const lookahead, maxLookahead = 4, 256

// rowMatcher is the walk over one list of the document beside the one before it.
type rowMatcher struct {
	previous []ParsedRow
	next     int // the next row there
	misses   int // rows in a row that were not found
	reused   []ParsedRow
}

// rowValue reads an element of one of the document's lists.
func (p *parser) rowValue(matcher *rowMatcher, depth int) (any, error) {
	p.skipSpace()
	start := p.pos
	// A row that changed stands in the place of one there, one that is new
	// before it, and where some are gone those after them follow.
	for i := matcher.next; i < min(len(matcher.previous), matcher.next+matcher.misses+lookahead, matcher.next+maxLookahead); i++ {
		// What ends with a brace and begins alike is the whole value.
		if previous := matcher.previous[i]; strings.HasPrefix(p.text[start:], previous.Raw) {
			p.pos += len(previous.Raw)
			matcher.next, matcher.misses = i+1, 0
			// One room for all of them, since there are thousands.
			matcher.reused = append(matcher.reused, ParsedRow{p.text[start:p.pos], previous.Value})
			return &matcher.reused[len(matcher.reused)-1], nil
		}
	}
	matcher.misses++
	v, err := p.value(depth)
	if err != nil || matcher.previous == nil {
		return v, err
	}
	// Its texts are parts of the document, which would be held for as long as
	// the row stays, each time another one.
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
