package statemachine

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"

	"puffincrank/internal/fault"
)

// MaxRequests bounds the number of retained requests; the oldest is dropped first.
// Each takes about 100 bytes in every snapshot.
const MaxRequests = 2048

// AnsweredRequest is an operator's request that took effect, with its result.
type AnsweredRequest struct {
	ID     string `msgpack:"i"`
	Digest []byte `msgpack:"d"` // of the content that was sent under the request ID
	Result Result `msgpack:"r"`
}

// Request wraps a command so that its sender can safely retry it after losing the
// response. The first request accepted under an ID is applied once. A later request
// with the same ID and content gets the recorded result; one with the same ID and
// different content is refused.
type Request struct {
	ID      string `msgpack:"i"`
	Digest  []byte `msgpack:"d"`
	Number  uint64 `msgpack:"n,omitempty"` // the operator's number of a configuration, 0 if none
	Command Packed `msgpack:"c"`

	inner Command // Command, decoded
}

// unpack decodes the wrapped command. A nested Request is refused.
func (c *Request) unpack() error {
	if c.Command.Kind == KindRequest {
		return fault.New(fault.Input, "a request cannot contain another request")
	}
	inner, err := c.Command.Unpack()
	c.inner = inner
	return err
}

// Inner returns the wrapped command, or nil if it has not been decoded.
func (c *Request) Inner() Command { return c.inner }

// Apply applies the wrapped command, unless a result is already recorded under the
// ID. Only successful results are recorded: a refused command changed nothing, so it
// may be retried once the reason for the refusal is gone.
func (c *Request) Apply(s *State) Result {
	if earlier, ok := s.FindRequest(c.ID); ok {
		return earlier.ResultForRetry(c.Digest)
	}
	if c.Number > 0 && s.numberHasOtherContent(c.Number, c.Digest) {
		return Result{Code: Reused, Version: s.Config().Version, Message: fmt.Sprintf("version %d stands with another content", c.Number)}
	}
	result := c.inner.Apply(s)
	if result.Code == OK {
		s.recordAnswer(AnsweredRequest{ID: c.ID, Digest: c.Digest, Result: result})
	}
	return result
}

// ResultForRetry returns the recorded result if a retry has the same content, and refuses it
// otherwise.
func (a AnsweredRequest) ResultForRetry(digest []byte) Result {
	if bytes.Equal(a.Digest, digest) {
		return a.Result
	}
	return Result{Code: Reused, Version: a.Result.Version, Message: "another content was taken under this request id or number"}
}

// numberHasOtherContent reports whether the current configuration has this number and
// different content. It covers a configuration whose request is not retained: it was
// compacted, or the configuration predates the recording of requests.
func (s *State) numberHasOtherContent(number uint64, digest []byte) bool {
	current := s.Config()
	return current.Version == number && !bytes.Equal(DocumentDigest(current.Doc), digest)
}

// FindRequest returns the recorded request with this ID.
func (s *State) FindRequest(id string) (AnsweredRequest, bool) {
	position, ok := s.answerPositions[id]
	if !ok {
		return AnsweredRequest{}, false
	}
	return s.Requests[position-s.CompactedRequests], true
}

// recordAnswer adds an answered request and drops the oldest one beyond MaxRequests.
func (s *State) recordAnswer(answered AnsweredRequest) {
	s.answerPositions[answered.ID] = s.CompactedRequests + uint64(len(s.Requests))
	s.Requests = append(s.Requests, answered)
	if len(s.Requests) > MaxRequests {
		s.compactRequests(s.CompactedRequests + 1)
	}
}

// compactRequests drops those retained requests that are among the first to of all ever
// recorded.
func (s *State) compactRequests(to uint64) {
	dropped := 0
	for ; dropped < len(s.Requests) && s.CompactedRequests < to; dropped++ {
		delete(s.answerPositions, s.Requests[dropped].ID)
		s.CompactedRequests++
	}
	s.Requests = append([]AnsweredRequest(nil), s.Requests[dropped:]...)
}

// TotalRequests returns the number of requests ever recorded.
func (s *State) TotalRequests() uint64 { return s.CompactedRequests + uint64(len(s.Requests)) }

// CompactRequests drops the oldest recorded requests. The leader decides by its own
// clock which requests are old enough, so that Apply needs no clock.
type CompactRequests struct {
	To uint64 `msgpack:"t"` // the number of requests to drop, counted from the first ever recorded
}

// Apply implements Command.
func (c *CompactRequests) Apply(s *State) Result {
	s.compactRequests(c.To)
	return Result{Code: OK}
}

// NumberRequestID returns the request ID for a configuration with an operator's
// number. It depends on the number alone, so each number has one content.
func NumberRequestID(number uint64) string { return fmt.Sprintf("number/%d", number) }

// DocumentDigest identifies a document by its content, independently of field order
// and white space. A document that is not JSON is identified by its bytes.
func DocumentDigest(doc []byte) []byte {
	canonical := doc
	decoder := json.NewDecoder(bytes.NewReader(doc))
	decoder.UseNumber()
	var value any
	if decoder.Decode(&value) == nil {
		if encoded, err := json.Marshal(value); err == nil {
			canonical = encoded
		}
	}
	sum := sha256.Sum256(canonical)
	return sum[:]
}
