package workerconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/fault"
)

// Conn is one connection to a worker. It is used by one request at a time.
type Conn struct {
	conn         net.Conn
	worker, addr string
	limited      io.LimitedReader
	reader       *bufio.Reader
	writer       *bufio.Writer
	since        time.Time     // when it was released last
	idled        time.Duration // before its newest request; 0: it is new
	idleMost     time.Duration // how long it may idle
	woke         chan bool     // the idle watch's last word: still good
}

func (p *Pool) newConn(conn net.Conn, worker, addr string) *Conn {
	c := &Conn{conn: conn, worker: worker, addr: addr, idleMost: p.idleMost, writer: bufio.NewWriter(conn), woke: make(chan bool, 1)}
	c.limited.R = conn
	c.reader = bufio.NewReader(&c.limited)
	p.mu.Lock()
	p.all[c] = true
	p.mu.Unlock()
	return c
}

// Close ends the connection, and with it the run of the request that is on it.
func (c *Conn) Close() error { return c.conn.Close() }

// usable tells whether the worker kept still while the connection idled: one that
// closed it, or said something that nobody asked for, gets no request on it.
func (c *Conn) usable() bool {
	if still, known := env.IsQuiet(c.conn); known {
		return still
	}
	// The watch is told to end, and says.
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	return <-c.woke
}

// stillIdle waits until the watch on an idle connection is told to end, and tells
// whether nothing came by then.
func (c *Conn) stillIdle() bool {
	_, err := c.reader.Peek(1)
	var late net.Error
	return errors.As(err, &late) && late.Timeout()
}

// RoundTrip writes a request once and reads the answer whole, within the time. The
// answer is nil when anything at all went wrong. An answer that is a surplus one is
// passed over, once. The connection is kept or ended afterwards; it is in use until
// release is called, and false of that means that it was ended meanwhile.
func (p *Pool) RoundTrip(c *Conn, r *http.Request, end time.Time, surplus func(*http.Response) bool, release func() bool) (*http.Response, []byte, error) {
	good := false
	defer func() {
		if release() && good {
			p.Release(c)
		} else {
			p.Discard(c)
		}
	}()
	_ = c.conn.SetDeadline(end)
	c.limited.N = p.answerBytes
	from := time.Now()
	if err := c.write(r); err != nil {
		return nil, nil, p.failed(c, err, from)
	}
	w, body, err := c.answer(r)
	if err == nil && surplus != nil && surplus(w) {
		// What follows it is ours, or nothing whole is.
		w, body, err = c.answer(r)
	}
	if err != nil {
		return nil, nil, p.failed(c, err, from)
	}
	good = !w.Close && w.ProtoAtLeast(1, 1) && c.reader.Buffered() == 0
	c.idleMost = p.idleTime(w.Header.Get("Keep-Alive"))
	return w, body, nil
}

// write sends a request.
func (c *Conn) write(r *http.Request) error {
	if err := r.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// idleTime is how long a connection may idle and be used again: three quarters of what
// the worker told, since both clocks start at different times; what it didn't tell is
// taken to be short.
func (p *Pool) idleTime(told string) time.Duration {
	for _, field := range strings.Split(told, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" && seconds > 0 {
			return time.Duration(seconds) * time.Second * 3 / 4
		}
	}
	return p.idleMost
}

// errNoStatus says that an answer can't be passed on.
var errNoStatus = fault.New(fault.Unknown, "an answer without a status")

// answer reads one answer whole.
func (c *Conn) answer(r *http.Request) (*http.Response, []byte, error) {
	w, err := http.ReadResponse(c.reader, r)
	for err == nil && w.StatusCode >= 100 && w.StatusCode < 200 {
		w, err = http.ReadResponse(c.reader, r)
	}
	if err == nil && w.StatusCode < 200 {
		err = errNoStatus
	}
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(w.Body)
	_ = w.Body.Close()
	if err != nil {
		return nil, nil, err
	}
	return w, body, nil
}
