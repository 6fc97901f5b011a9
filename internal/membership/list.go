package membership

import (
	"sort"
	"sync"
)

// List is an immutable list of the members. Apply returns a changed list, which shares
// the unchanged members.
type List struct {
	members []*Member // by name
	hash    uint64
	proxies int
	once    sync.Once
	rings   map[string]*ring
}

// NewList creates a list of the given members.
func NewList(members []Member) *List { return (&List{}).Apply(members, nil) }

// Apply returns the list with some members added, or replaced if they are in it already,
// and others removed.
func (l *List) Apply(added []Member, removed []string) *List {
	changes := map[string]*Member{}
	var names []string
	record := func(name string, member *Member) {
		if _, ok := changes[name]; !ok {
			names = append(names, name)
		}
		changes[name] = member
	}
	for _, name := range removed {
		record(name, nil)
	}
	for i := range added {
		member := added[i]
		record(member.Node, &member)
	}
	sort.Strings(names)
	next := &List{members: make([]*Member, 0, len(l.members)+len(added)), hash: l.hash, proxies: l.proxies}
	position := 0
	for _, name := range names {
		end := position + sort.Search(len(l.members)-position, func(i int) bool { return l.members[position+i].Node >= name })
		next.members = append(next.members, l.members[position:end]...)
		position = end
		if position < len(l.members) && l.members[position].Node == name {
			next.account(l.members[position], -1)
			position++
		}
		if member := changes[name]; member != nil {
			next.members = append(next.members, member)
			next.account(member, 1)
		}
	}
	next.members = append(next.members, l.members[position:]...)
	return next
}

// account updates the hash and the number of proxies for a member that is added (delta 1)
// or removed (delta -1).
func (l *List) account(member *Member, delta int) {
	l.hash ^= memberHash(member)
	if member.Role == "proxy" {
		l.proxies += delta
	}
}

// Hash returns a hash of the contents, which does not depend on the order of changes.
func (l *List) Hash() uint64 { return l.hash }

// Len returns the number of members.
func (l *List) Len() int { return len(l.members) }

// ProxyCount returns the number of proxies, which take callers' requests.
func (l *List) ProxyCount() int { return l.proxies }

// Get returns the member with a name, or nil.
func (l *List) Get(node string) *Member {
	i := sort.Search(len(l.members), func(i int) bool { return l.members[i].Node >= node })
	if i < len(l.members) && l.members[i].Node == node {
		return l.members[i]
	}
	return nil
}

// ByAddr returns the member with an internal address, or nil.
func (l *List) ByAddr(internalAddr string) *Member {
	for _, member := range l.members {
		if member.InternalAddr == internalAddr {
			return member
		}
	}
	return nil
}

// Has reports whether a node is a member.
func (l *List) Has(node string) bool { return l.Get(node) != nil }

// Members returns a copy of the members, sorted by name.
func (l *List) Members() []Member {
	out := make([]Member, len(l.members))
	for i, member := range l.members {
		out[i] = *member
	}
	return out
}

// Random returns a random member of a zone, or of all zones for "". It returns nil if there
// is none.
func (l *List) Random(zone string, intn func(int) int) *Member {
	if zone == "" {
		if len(l.members) == 0 {
			return nil
		}
		return l.members[intn(len(l.members))]
	}
	if r := l.zoneRings()[zone]; r != nil {
		return r.points[intn(len(r.points))].member
	}
	return nil
}

// partOf returns which of n parts a node belongs to.
func partOf(node string, n int) int { return int(hashStrings(node) >> 32 % uint64(n)) }

// PartCount returns the number of parts to divide the list into to find differences. The
// number of digests is then about the number of members in one part.
func (l *List) PartCount() int { return PartCount(len(l.members)) }

// PartCount returns the number of parts for a list of some length: a power of two, 16 or
// more, whose square is at least the length.
func PartCount(length int) int {
	n := 16
	for n*n < length {
		n *= 2
	}
	return n
}

// Digests returns a digest of each of n parts.
func (l *List) Digests(n int) []uint64 {
	out := make([]uint64, n)
	for _, member := range l.members {
		out[partOf(member.Node, n)] ^= memberHash(member)
	}
	return out
}

// DifferingParts returns the parts whose digests differ from the given ones, with their
// members. It returns at least one differing part, and more as long as they have at most
// limit members together. more reports whether further parts differ.
func (l *List) DifferingParts(remoteDigests []uint64, limit int) (parts []int, members []Member, more bool) {
	n := len(remoteDigests)
	byPart := make([][]*Member, n)
	for _, member := range l.members {
		part := partOf(member.Node, n)
		byPart[part] = append(byPart[part], member)
	}
	for i, digest := range l.Digests(n) {
		if digest == remoteDigests[i] {
			continue
		}
		if len(parts) > 0 && len(members)+len(byPart[i]) > limit {
			more = true
			continue
		}
		parts = append(parts, i)
		for _, member := range byPart[i] {
			members = append(members, *member)
		}
	}
	return parts, members, more
}

// ReplaceParts returns the list with the members of some of n parts replaced.
func (l *List) ReplaceParts(n int, parts []int, members []Member) *List {
	replaced := map[int]bool{}
	for _, part := range parts {
		replaced[part] = true
	}
	var removed []string
	for _, member := range l.members {
		if replaced[partOf(member.Node, n)] {
			removed = append(removed, member.Node)
		}
	}
	return l.Apply(members, removed)
}
