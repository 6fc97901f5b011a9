package mesh

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// Answer is what a client saw of one request.
type Answer struct {
	Attempt  string
	Sent     time.Time
	Took     time.Duration
	Code     int // 0: the connection ended without an answer, or the time was over
	Complete bool
	Err      string
}

// Request sends one request to the outbound address of a machine, on a connection of its own,
// and waits for its answer until its deadline.
func (m *Mesh) Request(machine *Machine, method, path, body string, deadline time.Duration) Answer {
	return m.RequestOn(&http.Transport{DisableKeepAlives: true}, machine, method, path, body, deadline)
}

// RequestOn does the same over the connections of a transport.
func (m *Mesh) RequestOn(transport *http.Transport, machine *Machine, method, path, body string, deadline time.Duration) Answer {
	attempt := fmt.Sprintf("%016x", 0x1000+attempts.Add(1))
	answer := Answer{Attempt: attempt, Sent: time.Now()}
	req, err := http.NewRequest(method, "http://"+machine.Outbound()+path, strings.NewReader(body))
	if err != nil {
		answer.Err = err.Error()
		return answer
	}
	req.Host = "reader.example"
	req.Header.Set("X-Puffincrank-Attempt-Id", attempt)
	req.Header.Set("X-Puffincrank-Deadline-Remaining", fmt.Sprint(deadline.Milliseconds()))
	c := &http.Client{Timeout: deadline, Transport: transport}
	resp, err := c.Do(req)
	answer.Took = time.Since(answer.Sent)
	if err != nil {
		answer.Err = err.Error()
		return answer
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	answer.Took = time.Since(answer.Sent)
	answer.Code, answer.Complete = resp.StatusCode, err == nil
	if resp.StatusCode != http.StatusOK {
		answer.Err = strings.TrimSpace(string(raw))
	}
	return answer
}
