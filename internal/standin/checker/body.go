package checker

import "hash/maphash"

// Body identifies the content of a body by its size and hash.
type Body struct {
	Size int
	Sum  uint64
}

var hashSeed = maphash.MakeSeed()

// BodyOf returns the size and hash of a body.
func BodyOf(content []byte) Body { return Body{len(content), maphash.Bytes(hashSeed, content)} }
