package checker

import "hash/maphash"

// Body is what a body is known by.
type Body struct {
	Size int
	Sum  uint64
}

var hashSeed = maphash.MakeSeed()

// BodyOf sums a body up.
func BodyOf(content []byte) Body { return Body{len(content), maphash.Bytes(hashSeed, content)} }
