package statemachine

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"

	"puffincrank/internal/fault"
)

// MaxRequests bounds how many answered requests are remembered: the oldest is
// forgotten first. Each is part of every snapshot, with 100 bytes or so.
const MaxRequests = 2048

// AnsweredRequest is an operator's request that was taken, with its first answer.
type AnsweredRequest struct {
	ID     string `msgpack:"i"`
	Digest []byte `msgpack:"d"` // of the content that was sent under the id
	Result Result `msgpack:"r"`
}

// Request is a command that its sender may send again after a lost answer: the
// first that is taken under an id is done once, and whoever sends the same
// content under that id later gets its answer. Other content under the same id
// is turned away.
type Request struct {
	ID      string `msgpack:"i"`
	Digest  []byte `msgpack:"d"`
	Number  uint64 `msgpack:"n,omitempty"` // the operator's own number of a configuration
	Command Packed `msgpack:"c"`

	inner Command // Cmd, opened
}

// open readies the command inside. A request in a request is refused.
func (c *Request) open() error {
	if c.Command.Kind == KindRequest {
		return fault.New(fault.Input, "a request can't hold another")
	}
	inner, err := c.Command.Unpack()
	c.inner = inner
	return err
}

// Inner gives the command inside, nil when it was not opened.
func (c *Request) Inner() Command { return c.inner }

// Apply runs the command inside, unless its answer is known already. Only what
// was done is remembered: what was turned away left no trace, so it may be
// tried again when the reason has gone.
func (c *Request) Apply(s *State) Result {
	if old, ok := s.Answered(c.ID); ok {
		return old.ResultForRetry(c.Digest)
	}
	if c.Number > 0 && s.otherUnder(c.Number, c.Digest) {
		return Result{Code: Reused, Version: s.Config().Version, Message: fmt.Sprintf("version %d stands with another content", c.Number)}
	}
	got := c.inner.Apply(s)
	if got.Code == OK {
		s.remember(AnsweredRequest{ID: c.ID, Digest: c.Digest, Result: got})
	}
	return got
}

// ResultForRetry gives the first answer again to whoever sends the same content.
func (a AnsweredRequest) ResultForRetry(digest []byte) Result {
	if bytes.Equal(a.Digest, digest) {
		return a.Result
	}
	return Result{Code: Reused, Version: a.Result.Version, Message: "another content was taken under this request id or number"}
}

// otherUnder tells whether the configuration that stands has this very number
// and another content. It covers what stood before requests were remembered,
// and what has been forgotten since.
func (s *State) otherUnder(number uint64, digest []byte) bool {
	now := s.Config()
	return now.Version == number && !bytes.Equal(DocumentDigest(now.Doc), digest)
}

// Answered gives the answered request of an id.
func (s *State) Answered(id string) (AnsweredRequest, bool) {
	at, ok := s.answers[id]
	if !ok {
		return AnsweredRequest{}, false
	}
	return s.Requests[at-s.CompactedRequests], true
}

// remember adds an answered request, and forgets the oldest beyond the bound.
func (s *State) remember(a AnsweredRequest) {
	s.answers[a.ID] = s.CompactedRequests + uint64(len(s.Requests))
	s.Requests = append(s.Requests, a)
	if len(s.Requests) > MaxRequests {
		s.forget(s.CompactedRequests + 1)
	}
}

// forget drops the answered requests before a place in the row of all.
func (s *State) forget(to uint64) {
	n := 0
	for ; n < len(s.Requests) && s.CompactedRequests < to; n++ {
		delete(s.answers, s.Requests[n].ID)
		s.CompactedRequests++
	}
	s.Requests = append([]AnsweredRequest(nil), s.Requests[n:]...)
}

// TotalRequests counts the requests that were ever answered.
func (s *State) TotalRequests() uint64 { return s.CompactedRequests + uint64(len(s.Requests)) }

// CompactRequests forgets the oldest answered requests. The leader proposes it
// from its own count of time, so that Apply needs no clock.
type CompactRequests struct {
	To uint64 `msgpack:"t"` // how many requests, counted from the first ever, are old enough
}

// Apply forgets them.
func (c *CompactRequests) Apply(s *State) Result {
	s.forget(c.To)
	return Result{Code: OK}
}

// NumberRequestID is the request id of a configuration under the operator's own
// number: one number stands for one content.
func NumberRequestID(number uint64) string { return fmt.Sprintf("number/%d", number) }

// DocumentDigest identifies a document by its meaning: the order of its fields
// and its white space don't count. One that is not JSON is identified by its
// bytes.
func DocumentDigest(doc []byte) []byte {
	plain := doc
	read := json.NewDecoder(bytes.NewReader(doc))
	read.UseNumber()
	var v any
	if read.Decode(&v) == nil {
		if b, err := json.Marshal(v); err == nil {
			plain = b
		}
	}
	sum := sha256.Sum256(plain)
	return sum[:]
}
