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

// maxIdentityBytes bounds the answer of a worker that is asked for its name.
const maxIdentityBytes = 64 << 10

// dialTimeoutDivisor is, as a divisor of the longest idle time, how long a connection may take
// to come about.
const dialTimeoutDivisor = 4

// Open makes a new connection to a worker. A connection belongs to one process: whoever
// took it is asked for its name before any request goes over it, unless each request
// names whom it is meant for and a stranger leaves it unrun.
func (p *Pool) Open(ctx context.Context, worker, addr string) (*Conn, error) {
	for reusable := true; ; {
		conn, err := p.dial(ctx, worker, addr)
		// The one exception: a worker that keeps no connection was asked just now on
		// one of its own; its request goes out on the next.
		if err != nil || !reusable || !p.verifyIdentity {
			return conn, err
		}
		reusable, err = p.checkIdentity(ctx, conn)
		if err != nil {
			p.Discard(conn)
			return nil, err
		}
		if reusable {
			return conn, nil
		}
		p.Discard(conn)
	}
}

// dial makes a connection. A machine that is dark says nothing: that none came about
// within a part of the bound is word enough, and nothing was sent.
func (p *Pool) dial(ctx context.Context, worker, addr string) (*Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.maxIdle/dialTimeoutDivisor)
	defer cancel()
	conn, err := p.network.Dial(dialCtx, addr)
	if err != nil {
		return nil, err
	}
	return p.newConn(conn, worker, addr), nil
}

// checkIdentity checks that the worker is at the other end, and tells whether it keeps the
// connection.
func (p *Pool) checkIdentity(ctx context.Context, conn *Conn) (reusable bool, err error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(p.maxIdle)
	}
	workerID, reusable, err := conn.requestIdentity(deadline)
	if err == nil && workerID != conn.worker {
		err = ErrWrongWorker
	}
	return reusable, err
}

// requestIdentity finds out who is at the other end of a connection, which stays open only if
// the worker keeps it.
func (c *Conn) requestIdentity(deadline time.Time) (workerID string, reusable bool, err error) {
	_ = c.netConn.SetDeadline(deadline)
	c.limitedReader.N = maxIdentityBytes
	req, err := http.NewRequest(http.MethodGet, "http://"+c.addr+"/puffin/fitness", nil)
	if err != nil {
		return "", false, err
	}
	req.Header.Set(responsedigest.WorkerHeader, c.worker)
	if err := c.writeRequest(req); err != nil {
		return "", false, err
	}
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return "", false, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil || resp.StatusCode >= 500 {
		return "", false, fault.New(fault.Refused, "the worker says that it isn't well")
	}
	return resp.Header.Get(responsedigest.WorkerHeader), !resp.Close && resp.ProtoAtLeast(1, 1) && c.reader.Buffered() == 0, nil
}
