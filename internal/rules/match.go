package rules

import (
	"strconv"
	"strings"
)

// Match finds the path of a job: one with the job's host before one without,
// then the longest prefix, then the method by name before any. Its cost grows
// with the segments of the URL, not with the paths.
func (r *Rules) Match(host, method, url string) *Route {
	if len(r.routesByHost) > 1 || r.routesByHost[""] == nil {
		if hostName := normalizeHost(host); hostName != "" {
			if route := r.routesByHost[hostName].match(method, url); route != nil {
				return route
			}
		}
	}
	return r.routesByHost[""].match(method, url)
}

// normalizeHost is a host without its port and case.
func normalizeHost(host string) string {
	// An IPv6 number has colons of its own, within brackets.
	if i := strings.LastIndexByte(host, ':'); i >= 0 && i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// hostRoutes is the paths of one host: method to prefix to path.
type hostRoutes map[string]map[string]*Route

func (m hostRoutes) match(method, url string) *Route {
	if m == nil {
		return nil
	}
	exactMethod, anyMethod := m[method], m["any"]
	for prefix := strings.TrimRight(url, "/"); ; {
		if prefix == "" {
			prefix = "/"
		}
		if route := exactMethod[prefix]; route != nil {
			return route
		}
		if route := anyMethod[prefix]; route != nil {
			return route
		}
		i := strings.LastIndexByte(prefix, '/')
		if prefix == "/" || i < 0 {
			return nil
		}
		prefix = prefix[:i]
	}
}

// RouteByName finds a path by its name.
func (r *Rules) RouteByName(name string) *Route { return r.routesByName[name] }

// Arm picks the arm of a job by the hash of its id: every front picks alike.
func (p *Route) Arm(requestID string) *Arm {
	if p.Trial == 0 {
		return &p.Base
	}
	if hashFraction(strconv.FormatUint(p.Trial, 10), requestID)*100 < p.Slice {
		return &p.New
	}
	return &p.Base
}

// hashFraction gives a job's place between 0 and 1, another one for each salt.
func hashFraction(salt, requestID string) float64 {
	const offsetBasis, prime = 0xcbf29ce484222325, 0x100000001b3
	hash := uint64(offsetBasis)
	for i := range len(salt) {
		hash = (hash ^ uint64(salt[i])) * prime
	}
	hash = (hash ^ '/') * prime
	for i := range len(requestID) {
		hash = (hash ^ uint64(requestID[i])) * prime
	}
	hash ^= hash >> 32
	hash *= 0x9e3779b97f4a7c15
	return float64(hash>>11) / float64(1<<53)
}
