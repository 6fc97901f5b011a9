package workerconn

import (
	"context"
	"io"
	"net/http"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/responsedigest"
)

// ErrWrongWorker means that another process than the worker answers at its address.
var ErrWrongWorker = fault.New(fault.Refused, "another process answered at the address of the worker")

// maxIdentityBytes bounds the response to an identity check.
const maxIdentityBytes = 64 << 10

// dialTimeoutDivisor sets the dial timeout: Pool.maxIdle divided by this.
const dialTimeoutDivisor = 4

// Open makes a new connection to a worker. A connection leads to one process, so it is
// enough to verify the worker's identity once, before the first request. The check is
// left out (Pool.verifyIdentity) where each request names the worker that it is meant
// for and any other worker refuses to run it.
func (p *Pool) Open(ctx context.Context, worker, addr string) (*Conn, error) {
	for reusable := true; ; {
		conn, err := p.dial(ctx, worker, addr)
		// The second pass: the worker closes each connection after one response, and
		// its identity was verified a moment ago on the previous one. The request goes
		// out on this one, unverified.
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

// dial connects with a short timeout of its own: a machine without power never answers,
// not even with a refusal. When dial fails, nothing of a request has been sent.
func (p *Pool) dial(ctx context.Context, worker, addr string) (*Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.maxIdle/dialTimeoutDivisor)
	defer cancel()
	conn, err := p.network.Dial(dialCtx, addr)
	if err != nil {
		return nil, err
	}
	return p.newConn(conn, worker, addr), nil
}

// checkIdentity verifies that the worker is at the other end, and reports whether it keeps
// the connection open.
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

// requestIdentity asks the process at the other end for its worker ID. The connection can
// be used afterwards only if reusable is true.
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
		return "", false, fault.New(fault.Refused, "the worker reports that it is unhealthy")
	}
	return resp.Header.Get(responsedigest.WorkerHeader), !resp.Close && resp.ProtoAtLeast(1, 1) && c.reader.Buffered() == 0, nil
}
