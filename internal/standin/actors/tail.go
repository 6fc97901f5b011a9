package actors

import (
	"bufio"
	"io"
	"strings"
)

// tail remembers the last byte that came over a connection.
type tail struct {
	io.Reader
	last byte
}

func (t *tail) Read(b []byte) (int, error) {
	n, err := t.Reader.Read(b)
	if n > 0 {
		t.last = b[n-1]
	}
	return n, err
}

// cutInHead tells that an answer is unreadable only because the connection
// ended within a line of its headers: that is a cut, not another's bytes. A
// line that came whole and is no header stays what it is.
func (t *tail) cutInHead(r *bufio.Reader, err error) bool {
	if !strings.HasPrefix(err.Error(), "malformed MIME header: missing colon") || t.last == '\n' || r.Buffered() > 0 {
		return false
	}
	_, err = r.Peek(1)
	return err != nil
}
