package httpapi

import (
	"strings"
	"testing"
)

// framingInParts scans a text that is read in parts of the given size.
func framingInParts(text string, size int) Framing {
	var scanner headScanner
	scanner.start()
	for i := 0; i < len(text); i += size {
		scanner.scan([]byte(text[i:min(i+size, len(text))]))
	}
	return scanner.framing()
}

// TestFraming checks that an ambiguous head is detected however its bytes are split into
// reads, and that text in a body or in a header's value isn't taken for a header.
func TestFraming(t *testing.T) {
	for text, want := range map[string]Framing{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n":                                                               FramingPlain,
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\na\nb":                                                FramingPlain,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na\nb\r\n0\r\n\r\n":                     FramingPlain,
		"POST / HTTP/1.1\r\nContent-Length: 30\r\n\r\nX\r\nTransfer-Encoding: chunked\r\n\r\n":            FramingPlain,
		"POST / HTTP/1.1\r\nX: Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n":                   FramingPlain,
		"POST / HTTP/1.1\r\nContent-Lengthy: 3\r\nTransfer-Encoding: chunked\r\n\r\n":                     FramingPlain,
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n":                      FramingAmbiguous,
		"POST / HTTP/1.1\r\nTRANSFER-encoding:chunked\r\nX: y\r\ncontent-length:3\r\n\r\n":                FramingAmbiguous,
		"GET / HTTP/1.1\nHost: a\r\n\r\n":                                                                 FramingBareLF,
		"GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n":                                                         FramingBareLF,
		"GET / HTTP/1.1\r\nHost: a\r\n\n":                                                                 FramingBareLF,
		"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 300) + "\nY: b\r\n\r\n":                             FramingBareLF,
		"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 300) + "\r\nContent-Length: 1\r\n\r\n":              FramingPlain,
		"GET /" + strings.Repeat("x", 58) + "\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n": FramingAmbiguous,
	} {
		for size := 1; size <= len(text); size++ {
			if got := framingInParts(text, size); got != want {
				t.Errorf("%q in parts of %d: %d, want %d", text, size, got, want)
			}
		}
	}
	var scanner headScanner
	if scanner.scan([]byte("GET / HTTP/1.1\r\n\r\n")); scanner.framing() != FramingUnknown {
		t.Error("the framing of a head that was not scanned is known")
	}
}

// FuzzFraming checks that the result doesn't depend on how the bytes are split into reads.
func FuzzFraming(f *testing.F) {
	f.Add("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", 7)
	f.Add("GET / HTTP/1.1\nHost: a\r\n\r\n", 1)
	f.Fuzz(func(t *testing.T, text string, size int) {
		size = max(size%97, 1)
		if whole, parts := framingInParts(text, len(text)+1), framingInParts(text, size); whole != parts {
			t.Errorf("%q: %d whole, %d in parts of %d", text, whole, parts, size)
		}
	})
}
