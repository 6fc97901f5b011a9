package rules

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// Match finds the path of a job: the longest prefix, the method by name
// before any. Its cost grows with the segments of the URL, not with the paths.
func (r *Rules) Match(method, url string) *Path {
	own, any := r.by[method], r.by["any"]
	for at := strings.TrimRight(url, "/"); ; {
		if at == "" {
			at = "/"
		}
		if p := own[at]; p != nil {
			return p
		}
		if p := any[at]; p != nil {
			return p
		}
		i := strings.LastIndexByte(at, '/')
		if at == "/" || i < 0 {
			return nil
		}
		at = at[:i]
	}
}

// Named finds a path by its name.
func (r *Rules) Named(name string) *Path { return r.names[name] }

// Arm picks the arm of a job by the hash of its id: every front picks alike.
func (p *Path) Arm(job string) *Arm {
	if p.Trial == 0 {
		return &p.Base
	}
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d/%s", p.Trial, job)
	x := h.Sum64()
	x ^= x >> 32
	x *= 0x9e3779b97f4a7c15
	if float64(x>>11)/float64(1<<53)*100 < p.Slice {
		return &p.New
	}
	return &p.Base
}
