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

// head writes the status line and headers of an answer.
func (s *send) head(code int, more ...string) (string, bool) {
	k := s.k
	last := k.leaving() || s.req.Close || k.dice.share() < k.W.Hop
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", code, http.StatusText(code))
	if s.id != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", k.say.AttemptID, s.id)
	}
	for i := 0; i+1 < len(more); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", more[i], more[i+1])
	}
	if last {
		b.WriteString("Connection: close\r\n")
	} else if k.W.Idle > 0 {
		fmt.Fprintf(&b, "Keep-Alive: timeout=%d\r\n", int(k.W.Idle/time.Second))
	}
	return b.String(), !last
}

// decline turns the request away unrun.
func (s *send) decline(code int) bool {
	s.k.wit.Change(func() { s.v.Declined, s.v.Status = code, code })
	h, on := s.head(code, s.k.say.NotExecuted, "1", "Content-Length", "0")
	_, err := s.c.Write([]byte(h + "\r\n"))
	return on && err == nil
}

// fitness answers whoever asks how the worker is: for a slot it waits like a
// request.
func (s *send) fitness() bool {
	k := s.k
	code := http.StatusServiceUnavailable
	if k.room.enter(s.end, s.left) == in {
		task := k.pace(s.c, k.dice.about(6*time.Millisecond))
		<-time.After(task)
		k.room.leave()
		if !k.leaving() && !k.ill(s.c).Sick {
			code = http.StatusOK
		}
	}
	h, on := s.head(code, k.say.WorkerID, k.Name, "Content-Length", "0")
	_, err := s.c.Write([]byte(h + "\r\n"))
	return on && err == nil
}

// The ways in which an answer is spoiled.
const (
	cutShort  = iota // fewer bytes than it says
	cutChunks        // chunks without an end
	noAnswer         // bytes that are no answer
	more             // bytes after the end
	twiceSoon        // the whole answer once more, at once
	twiceLate        // the whole answer once more, where the next is due
	spoilKinds
)

// answer writes the worker's answer, whole or spoiled.
func (s *send) answer(code, size int, spoil bool) bool {
	k := s.k
	body := make([]byte, max(size, 1))
	mark := fmt.Sprintf("%x.%s", k.dice.word(), k.Name)
	fill(body, mark)
	how := -1
	if spoil {
		how = k.dice.below(spoilKinds)
	}
	k.wit.Change(func() {
		s.v.Status, s.v.Stamp, s.v.Gave, s.v.End = code, mark, checker.BodyOf(body), time.Now()
		// What follows a whole answer takes nothing from it.
		s.v.Broke, s.v.Odd = how >= 0 && how <= noAnswer, how > noAnswer
	})
	chunks := how == cutChunks || how < 0 && k.dice.below(4) == 0
	frame := []string{"Content-Length", strconv.Itoa(len(body))}
	if chunks {
		frame = []string{"Transfer-Encoding", "chunked"}
	}
	h, on := s.head(code, append([]string{k.say.ResponseDigest, mark, "X-From", k.Service}, frame...)...)
	if how == noAnswer {
		h, on = fmt.Sprintf("%x", k.dice.word()), false
	}
	if s.late != "" {
		_, _ = s.c.Write([]byte(s.late))
	}
	var all bytes.Buffer
	all.WriteString(h + "\r\n")
	if chunks {
		for part := body; len(part) > 0; {
			n := min(len(part), 1+k.dice.below(16<<10))
			fmt.Fprintf(&all, "%x\r\n%s\r\n", n, part[:n])
			part = part[n:]
		}
		if how != cutChunks {
			all.WriteString("0\r\n\r\n")
		}
	} else if how != noAnswer {
		all.Write(body)
	}
	out := all.Bytes()
	switch how {
	case cutShort:
		out, on = out[:len(out)-1-k.dice.below(len(body))], false
	case cutChunks:
		on = false
	case more:
		out = append(out, []byte(fmt.Sprintf("%x\r\n", k.dice.word()))...)
	case twiceSoon:
		out = append(out, all.Bytes()...)
	case twiceLate:
		s.after = all.String()
	}
	err := s.write(out)
	k.wit.Change(func() { s.v.End = time.Now() })
	return on && err == nil
}

// write sends an answer in pieces, as a large one is made.
func (s *send) write(b []byte) error {
	for len(b) > 0 {
		n := min(len(b), 64<<10)
		if _, err := s.c.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
