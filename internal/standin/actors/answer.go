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

// responseHead returns the status line and headers of an answer, and whether the connection
// stays open after it. extra holds further names and values of headers.
func (r *workerRequest) responseHead(code int, extra ...string) (string, bool) {
	worker := r.worker
	closing := worker.leaving() || r.request.Close || worker.random.fraction() < worker.Behavior.CloseShare
	var builder strings.Builder
	fmt.Fprintf(&builder, "HTTP/1.1 %d %s\r\n", code, http.StatusText(code))
	if r.attemptID != "" {
		fmt.Fprintf(&builder, "%s: %s\r\n", worker.dialect.AttemptID, r.attemptID)
	}
	for i := 0; i+1 < len(extra); i += 2 {
		fmt.Fprintf(&builder, "%s: %s\r\n", extra[i], extra[i+1])
	}
	if closing {
		builder.WriteString("Connection: close\r\n")
	} else if worker.Behavior.IdleTimeout > 0 {
		fmt.Fprintf(&builder, "Keep-Alive: timeout=%d\r\n", int(worker.Behavior.IdleTimeout/time.Second))
	}
	return builder.String(), !closing
}

// decline answers with the given status and a header saying that the request was not executed.
func (r *workerRequest) decline(code int) bool {
	r.worker.recorder.Update(func() { r.arrival.DeclinedStatus, r.arrival.Status = code, code })
	head, keepOpen := r.responseHead(code, r.worker.dialect.NotExecuted, "1", "Content-Length", "0")
	_, err := r.conn.Write([]byte(head + "\r\n"))
	return keepOpen && err == nil
}

// answerHealth answers a health check. Like a request it waits for a slot first.
func (r *workerRequest) answerHealth() bool {
	worker := r.worker
	code := http.StatusServiceUnavailable
	if worker.slots.acquire(r.deadline, r.callerLeft) == admitted {
		workTime := worker.scaledTime(r.conn, worker.random.around(6*time.Millisecond))
		<-time.After(workTime)
		worker.slots.release()
		if !worker.leaving() && !worker.faultsFor(r.conn).Sick {
			code = http.StatusOK
		}
	}
	head, keepOpen := r.responseHead(code, worker.dialect.WorkerID, worker.Name, "Content-Length", "0")
	_, err := r.conn.Write([]byte(head + "\r\n"))
	return keepOpen && err == nil
}

// The ways in which an answer is corrupted.
const (
	cutShort        = iota // fewer bytes than Content-Length says
	unendedChunks          // chunks without the final one
	malformedAnswer        // bytes that are not an HTTP answer
	bytesAfterEnd          // further bytes after a complete answer
	repeatedAtOnce         // the complete answer a second time, immediately
	repeatedLater          // the complete answer a second time, before the next answer
	spoilKindCount
)

// writeAnswer writes the worker's answer, corrupted in a random way if spoil is set.
func (r *workerRequest) writeAnswer(code, size int, spoil bool) bool {
	worker := r.worker
	body := make([]byte, max(size, 1))
	digest := fmt.Sprintf("%x.%s", worker.random.uint64(), worker.Name)
	fillRepeating(body, digest)
	spoilKind := -1
	if spoil {
		spoilKind = worker.random.intN(spoilKindCount)
	}
	worker.recorder.Update(func() {
		r.arrival.Status, r.arrival.Digest, r.arrival.AnswerBody, r.arrival.End = code, digest, checker.BodyOf(body), time.Now()
		// Extra bytes after a complete answer do not make the answer itself wrong.
		r.arrival.WorkerFailed, r.arrival.ExtraBytes = spoilKind >= 0 && spoilKind <= malformedAnswer, spoilKind > malformedAnswer
	})
	chunks := spoilKind == unendedChunks || spoilKind < 0 && worker.random.intN(4) == 0
	framing := []string{"Content-Length", strconv.Itoa(len(body))}
	if chunks {
		framing = []string{"Transfer-Encoding", "chunked"}
	}
	head, keepOpen := r.responseHead(code, append([]string{worker.dialect.ResponseDigest, digest, "X-From", worker.Service}, framing...)...)
	if spoilKind == malformedAnswer {
		head, keepOpen = fmt.Sprintf("%x", worker.random.uint64()), false
	}
	if r.surplusBefore != "" {
		_, _ = r.conn.Write([]byte(r.surplusBefore))
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
		r.surplusAfter = whole.String()
	}
	err := r.writeChunks(written)
	worker.recorder.Update(func() { r.arrival.End = time.Now() })
	return keepOpen && err == nil
}

// writeChunks writes an answer in pieces of 64 KiB, like a worker that produces it gradually.
func (r *workerRequest) writeChunks(content []byte) error {
	for len(content) > 0 {
		size := min(len(content), 64<<10)
		if _, err := r.conn.Write(content[:size]); err != nil {
			return err
		}
		content = content[size:]
	}
	return nil
}
