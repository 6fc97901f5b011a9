package actors

import (
	"bufio"
	"io"
	"strings"
)

// lastByteReader remembers the last byte that came over a connection.
type lastByteReader struct {
	io.Reader
	last byte
}

func (t *lastByteReader) Read(buffer []byte) (int, error) {
	count, err := t.Reader.Read(buffer)
	if count > 0 {
		t.last = buffer[count-1]
	}
	return count, err
}

// truncatedInHeader tells that an answer is unreadable only because the connection
// ended within a line of its headers: that is a cut, not another's bytes. A
// line that came whole and is no header stays what it is.
func (t *lastByteReader) truncatedInHeader(buffered *bufio.Reader, err error) bool {
	if !strings.HasPrefix(err.Error(), "malformed MIME header: missing colon") || t.last == '\n' || buffered.Buffered() > 0 {
		return false
	}
	_, err = buffered.Peek(1)
	return err != nil
}
