package actors

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"puffincrank/internal/standin/checker"
)

// responseHead writes the status line and headers of an answer.
func (s *workerRequest) responseHead(code int, extra ...string) (string, bool) {
	worker := s.worker
	closing := worker.leaving() || s.req.Close || worker.random.fraction() < worker.Behavior.Hop
	var builder strings.Builder
	fmt.Fprintf(&builder, "HTTP/1.1 %d %s\r\n", code, http.StatusText(code))
	if s.attemptID != "" {
		fmt.Fprintf(&builder, "%s: %s\r\n", worker.dialect.AttemptID, s.attemptID)
	}
	for i := 0; i+1 < len(extra); i += 2 {
		fmt.Fprintf(&builder, "%s: %s\r\n", extra[i], extra[i+1])
	}
	if closing {
		builder.WriteString("Connection: close\r\n")
	} else if worker.Behavior.Idle > 0 {
		fmt.Fprintf(&builder, "Keep-Alive: timeout=%d\r\n", int(worker.Behavior.Idle/time.Second))
	}
	return builder.String(), !closing
}

// decline turns the request away unrun.
func (s *workerRequest) decline(code int) bool {
	s.worker.recorder.Update(func() { s.arrival.DeclinedStatus, s.arrival.Status = code, code })
	head, keepOpen := s.responseHead(code, s.worker.dialect.NotExecuted, "1", "Content-Length", "0")
	_, err := s.conn.Write([]byte(head + "\r\n"))
	return keepOpen && err == nil
}

// answerHealth answers whoever asks how the worker is: for a slot it waits like a
// request.
func (s *workerRequest) answerHealth() bool {
	worker := s.worker
	code := http.StatusServiceUnavailable
	if worker.slots.acquire(s.deadline, s.callerLeft) == admitted {
		workTime := worker.scaledTime(s.conn, worker.random.around(6*time.Millisecond))
		<-time.After(workTime)
		worker.slots.release()
		if !worker.leaving() && !worker.faultsFor(s.conn).Sick {
			code = http.StatusOK
		}
	}
	head, keepOpen := s.responseHead(code, worker.dialect.WorkerID, worker.Name, "Content-Length", "0")
	_, err := s.conn.Write([]byte(head + "\r\n"))
	return keepOpen && err == nil
}

// The ways in which an answer is spoiled.
const (
	cutShort        = iota // fewer bytes than it says
	unendedChunks          // chunks without an end
	malformedAnswer        // bytes that are no answer
	bytesAfterEnd          // bytes after the end
	repeatedAtOnce         // the whole answer once more, at once
	repeatedLater          // the whole answer once more, where the next is due
	spoilKindCount
)

// writeAnswer writes the worker's answer, whole or spoiled.
func (s *workerRequest) writeAnswer(code, size int, spoil bool) bool {
	worker := s.worker
	body := make([]byte, max(size, 1))
	digest := fmt.Sprintf("%x.%s", worker.random.uint64(), worker.Name)
	fillRepeating(body, digest)
	spoilKind := -1
	if spoil {
		spoilKind = worker.random.intN(spoilKindCount)
	}
	worker.recorder.Update(func() {
		s.arrival.Status, s.arrival.Digest, s.arrival.AnswerBody, s.arrival.End = code, digest, checker.BodyOf(body), time.Now()
		// What follows a whole answer takes nothing from it.
		s.arrival.WorkerFailed, s.arrival.ExtraBytes = spoilKind >= 0 && spoilKind <= malformedAnswer, spoilKind > malformedAnswer
	})
	chunks := spoilKind == unendedChunks || spoilKind < 0 && worker.random.intN(4) == 0
	framing := []string{"Content-Length", strconv.Itoa(len(body))}
	if chunks {
		framing = []string{"Transfer-Encoding", "chunked"}
	}
	head, keepOpen := s.responseHead(code, append([]string{worker.dialect.ResponseDigest, digest, "X-From", worker.Service}, framing...)...)
	if spoilKind == malformedAnswer {
		head, keepOpen = fmt.Sprintf("%x", worker.random.uint64()), false
	}
	if s.surplusBefore != "" {
		_, _ = s.conn.Write([]byte(s.surplusBefore))
	}
	var whole bytes.Buffer
	whole.WriteString(head + "\r\n")
	if chunks {
		for part := body; len(part) > 0; {
			size := min(len(part), 1+worker.random.intN(16<<10))
			fmt.Fprintf(&whole, "%x\r\n%s\r\n", size, part[:size])
			part = part[size:]
		}
		if spoilKind != unendedChunks {
			whole.WriteString("0\r\n\r\n")
		}
	} else if spoilKind != malformedAnswer {
		whole.Write(body)
	}
	written := whole.Bytes()
	switch spoilKind {
	case cutShort:
		written, keepOpen = written[:len(written)-1-worker.random.intN(len(body))], false
	case unendedChunks:
		keepOpen = false
	case bytesAfterEnd:
		written = append(written, []byte(fmt.Sprintf("%x\r\n", worker.random.uint64()))...)
	case repeatedAtOnce:
		written = append(written, whole.Bytes()...)
	case repeatedLater:
		s.surplusAfter = whole.String()
	}
	err := s.writeChunks(written)
	worker.recorder.Update(func() { s.arrival.End = time.Now() })
	return keepOpen && err == nil
}

// writeChunks sends an answer in pieces, as a large one is made.
func (s *workerRequest) writeChunks(content []byte) error {
	for len(content) > 0 {
		size := min(len(content), 64<<10)
		if _, err := s.conn.Write(content[:size]); err != nil {
			return err
		}
		content = content[size:]
	}
	return nil
}
