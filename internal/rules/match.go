package rules

import (
	"cmp"
	"strconv"
	"strings"
)

// Match finds the route of a request. A route for the request's host goes before one without a
// host, then the longest prefix that begins the path wins, then a route for the method before one
// for any method. The path is one that PathOf returned. The cost grows with the number of its
// segments, not with the number of routes.
func (r *Rules) Match(host, method, path string) *Route {
	if len(r.routesByHost) > 1 || r.routesByHost[""] == nil {
		if hostName := normalizeHost(host); hostName != "" {
			if route := r.routesByHost[hostName].match(method, path); route != nil {
				return route
			}
		}
	}
	return r.routesByHost[""].match(method, path)
}

// normalizeHost returns a host in lower case and without its port.
func normalizeHost(host string) string {
	// An IPv6 address has colons of its own, inside the brackets.
	if i := strings.LastIndexByte(host, ':'); i >= 0 && i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// PathOf returns the path of a request target as it was sent: escapes and doubled slashes stay, and
// only the query is cut off. Every node reads the path of a request in this way.
func PathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// hostRoutes holds the routes of one host by method and by prefix without its last slash.
type hostRoutes map[string]map[string]routePair

// routePair holds the routes of two prefixes that differ only by the last slash.
type routePair struct {
	bare  *Route // of the prefix without the slash: matches the path itself and all below it
	below *Route // of the prefix with the slash: matches only what is below it, and takes precedence there
}

// match returns the route with the longest prefix that begins the path. It looks up what stands
// before each slash of the path, the longest first.
func (m hostRoutes) match(method, path string) *Route {
	if m == nil || !strings.HasPrefix(path, "/") {
		return nil
	}
	exactMethod, anyMethod := m[method], m["any"]
	if route := cmp.Or(exactMethod[path].bare, anyMethod[path].bare); route != nil {
		return route
	}
	for i := strings.LastIndexByte(path, '/'); i >= 0; i = strings.LastIndexByte(path[:i], '/') {
		exact, other := exactMethod[path[:i]], anyMethod[path[:i]]
		if route := cmp.Or(exact.below, other.below, exact.bare, other.bare); route != nil {
			return route
		}
	}
	return nil
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
