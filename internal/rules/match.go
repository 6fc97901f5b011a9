package rules

import (
	"strconv"
	"strings"
)

// Match finds the route of a request. A route for the request's host goes before one without a
// host, then the longest prefix wins, then a route for the method before one for any method. The
// cost grows with the number of segments of the URL, not with the number of routes.
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

// normalizeHost returns a host in lower case and without its port.
func normalizeHost(host string) string {
	// An IPv6 address has colons of its own, inside the brackets.
	if i := strings.LastIndexByte(host, ':'); i >= 0 && i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// hostRoutes holds the routes of one host by method and prefix.
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

// RouteByName returns the route of that name, or nil.
func (r *Rules) RouteByName(name string) *Route { return r.routesByName[name] }

// Arm picks the arm of a request by a hash of its ID, so that every ingress picks the same one.
func (r *Route) Arm(requestID string) *Arm {
	if r.Trial == 0 {
		return &r.Base
	}
	if hashFraction(strconv.FormatUint(r.Trial, 10), requestID)*100 < r.Slice {
		return &r.New
	}
	return &r.Base
}

// hashFraction maps a request ID to a number in [0, 1), by FNV-1a with a final mixing step. Each
// salt gives an independent mapping.
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
