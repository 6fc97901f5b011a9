package workerconn

import (
	"context"
	"io"
	"net/http"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/responsedigest"
)

// ErrWrongWorker says that somebody else than the worker stands at its address.
var ErrWrongWorker = fault.New(fault.Refused, "another stands at the address")

// identityBytes bounds the answer of a worker that is asked for its name.
const identityBytes = 64 << 10

// dialPart is, as a divisor of the longest idle time, how long a connection may take
// to come about.
const dialPart = 4

// Open makes a new connection to a worker. A connection belongs to one process: whoever
// took it is asked for its name before any request goes over it, unless each request
// names whom it is meant for and a stranger leaves it unrun.
func (p *Pool) Open(ctx context.Context, worker, addr string) (*Conn, error) {
	for kept := true; ; {
		c, err := p.dial(ctx, worker, addr)
		// The one exception: a worker that keeps no connection was asked just now on
		// one of its own; its request goes out on the next.
		if err != nil || !kept || !p.identifies {
			return c, err
		}
		kept, err = p.identify(ctx, c)
		if err != nil {
			p.Discard(c)
			return nil, err
		}
		if kept {
			return c, nil
		}
		p.Discard(c)
	}
}

// dial makes a connection. A machine that is dark says nothing: that none came about
// within a part of the bound is word enough, and nothing was sent.
func (p *Pool) dial(ctx context.Context, worker, addr string) (*Conn, error) {
	short, stop := context.WithTimeout(ctx, p.idleMost/dialPart)
	defer stop()
	conn, err := p.net.Dial(short, addr)
	if err != nil {
		return nil, err
	}
	return p.newConn(conn, worker, addr), nil
}

// identify checks that the worker is at the other end, and tells whether it keeps the
// connection.
func (p *Pool) identify(ctx context.Context, c *Conn) (kept bool, err error) {
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(p.idleMost)
	}
	named, kept, err := c.identity(end)
	if err == nil && named != c.worker {
		err = ErrWrongWorker
	}
	return kept, err
}

// identity finds out who is at the other end of a connection, which stays open only if
// the worker keeps it.
func (c *Conn) identity(end time.Time) (named string, kept bool, err error) {
	_ = c.conn.SetDeadline(end)
	c.limited.N = identityBytes
	r, err := http.NewRequest(http.MethodGet, "http://"+c.addr+"/puffin/fitness", nil)
	if err != nil {
		return "", false, err
	}
	r.Header.Set(responsedigest.WorkerHeader, c.worker)
	if err := c.write(r); err != nil {
		return "", false, err
	}
	w, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return "", false, err
	}
	_, err = io.Copy(io.Discard, w.Body)
	_ = w.Body.Close()
	if err != nil || w.StatusCode >= 500 {
		return "", false, fault.New(fault.Refused, "the worker says that it isn't well")
	}
	return w.Header.Get(responsedigest.WorkerHeader), !w.Close && w.ProtoAtLeast(1, 1) && c.reader.Buffered() == 0, nil
}
