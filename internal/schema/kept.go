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
func ParseRows(data []byte, kept map[string][]ParsedRow) (doc map[string]any, raw map[string][]string, bad []Problem, err error) {
	p := &parser{text: string(data), kept: kept, raw: map[string][]string{}}
	doc, bad, err = p.document()
	return doc, p.raw, bad, err
}

// spare is how many rows of the old list may be gone at one place without the
// search for the next one starting to miss.
const spare, far = 4, 256

// rows is the walk over one list of the document beside the one before it.
type rows struct {
	kept  []ParsedRow
	at    int // the next row there
	lacks int // rows in a row that were not found
	found []ParsedRow
}

// row reads an element of one of the document's lists.
func (p *parser) row(w *rows, deep int) (any, error) {
	p.blank()
	from := p.at
	// A row that changed stands in the place of one there, one that is new
	// before it, and where some are gone those after them follow.
	for i := w.at; i < min(len(w.kept), w.at+w.lacks+spare, w.at+far); i++ {
		// What ends with a brace and begins alike is the whole value.
		if k := w.kept[i]; strings.HasPrefix(p.text[from:], k.Raw) {
			p.at += len(k.Raw)
			w.at, w.lacks = i+1, 0
			// One room for all of them, since there are thousands.
			w.found = append(w.found, ParsedRow{p.text[from:p.at], k.Value})
			return &w.found[len(w.found)-1], nil
		}
	}
	w.lacks++
	v, err := p.value(deep)
	if err != nil || w.kept == nil {
		return v, err
	}
	// Its texts are parts of the document, which would be held for as long as
	// the row stays, each time another one.
	own := &parser{text: strings.Clone(p.text[from:p.at])}
	return own.value(deep)
}

func (p *parser) list(deep int) (any, error) {
	out := []any{}
	if p.sign(']') {
		return out, nil
	}
	p.steps = append(p.steps, step{})
	last := len(p.steps) - 1
	var walk *rows
	name := ""
	if p.raw != nil && last == 1 {
		name = p.steps[0].name
		walk = &rows{kept: p.kept[name]}
		if n := len(walk.kept); n > 0 {
			walk.found, out = make([]ParsedRow, 0, n), make([]any, 0, n+spare)
		}
		p.raw[name] = make([]string, 0, cap(out))
	}
	for {
		p.steps[last].num = len(out)
		p.blank()
		from := p.at
		var v any
		var err error
		if walk != nil {
			v, err = p.row(walk, deep+1)
		} else {
			v, err = p.value(deep + 1)
		}
		if err != nil {
			return nil, err
		}
		out = append(out, v)
		if walk != nil {
			p.raw[name] = append(p.raw[name], p.text[from:p.at])
		}
		if p.sign(',') {
			continue
		}
		if !p.sign(']') {
			return nil, p.wrong("no , or ]")
		}
		p.steps = p.steps[:last]
		return out, nil
	}
}
