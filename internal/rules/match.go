package rules

import (
	"strconv"
	"strings"
)

// Match finds the path of a job: one with the job's host before one without,
// then the longest prefix, then the method by name before any. Its cost grows
// with the segments of the URL, not with the paths.
func (r *Rules) Match(host, method, url string) *Route {
	if len(r.by) > 1 || r.by[""] == nil {
		if name := bare(host); name != "" {
			if p := r.by[name].match(method, url); p != nil {
				return p
			}
		}
	}
	return r.by[""].match(method, url)
}

// bare is a host without its port and case.
func bare(host string) string {
	// An IPv6 number has colons of its own, within brackets.
	if i := strings.LastIndexByte(host, ':'); i >= 0 && i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// place is the paths of one host: method to prefix to path.
type place map[string]map[string]*Route

func (m place) match(method, url string) *Route {
	if m == nil {
		return nil
	}
	own, any := m[method], m["any"]
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

// RouteByName finds a path by its name.
func (r *Rules) RouteByName(name string) *Route { return r.names[name] }

// Arm picks the arm of a job by the hash of its id: every front picks alike.
func (p *Route) Arm(job string) *Arm {
	if p.Trial == 0 {
		return &p.Base
	}
	if spot(strconv.FormatUint(p.Trial, 10), job)*100 < p.Slice {
		return &p.New
	}
	return &p.Base
}

// spot gives a job's place between 0 and 1, another one for each salt.
func spot(salt, job string) float64 {
	const most, times = 0xcbf29ce484222325, 0x100000001b3
	x := uint64(most)
	for i := range len(salt) {
		x = (x ^ uint64(salt[i])) * times
	}
	x = (x ^ '/') * times
	for i := range len(job) {
		x = (x ^ uint64(job[i])) * times
	}
	x ^= x >> 32
	x *= 0x9e3779b97f4a7c15
	return float64(x>>11) / float64(1<<53)
}
