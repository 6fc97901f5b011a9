package actors

import (
	"bufio"
	"io"
	"strings"
)

// lastByteReader remembers the last byte that was read from a connection.
type lastByteReader struct {
	io.Reader
	last byte
}

func (r *lastByteReader) Read(buffer []byte) (int, error) {
	count, err := r.Reader.Read(buffer)
	if count > 0 {
		r.last = buffer[count-1]
	}
	return count, err
}

// truncatedInHeader reports whether an answer is malformed only because the connection ended
// within a header line. That counts as a cut connection, not as foreign bytes. A complete
// line that is not a header is malformed.
func (r *lastByteReader) truncatedInHeader(buffered *bufio.Reader, err error) bool {
	if !strings.HasPrefix(err.Error(), "malformed MIME header: missing colon") || r.last == '\n' || buffered.Buffered() > 0 {
		return false
	}
	_, err = buffered.Peek(1)
	return err != nil
}
