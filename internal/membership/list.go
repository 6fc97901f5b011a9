package membership

import (
	"sort"
	"sync"
)

// List is one state of the list of members. It never changes; With makes the
// next one, which shares the fellows that stay.
type List struct {
	members []*Member // by name
	hash    uint64
	proxies int
	once    sync.Once
	rings   map[string]*ring
}

// NewList makes a book of a list.
func NewList(members []Member) *List { return (&List{}).Apply(members, nil) }

// Apply gives the book after some fellows came, in place of what they were
// before, and others went.
func (b *List) Apply(added []Member, removed []string) *List {
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
	next := &List{members: make([]*Member, 0, len(b.members)+len(added)), hash: b.hash, proxies: b.proxies}
	position := 0
	for _, name := range names {
		end := position + sort.Search(len(b.members)-position, func(i int) bool { return b.members[position+i].Node >= name })
		next.members = append(next.members, b.members[position:end]...)
		position = end
		if position < len(b.members) && b.members[position].Node == name {
			next.account(b.members[position], -1)
			position++
		}
		if member := changes[name]; member != nil {
			next.members = append(next.members, member)
			next.account(member, 1)
		}
	}
	next.members = append(next.members, b.members[position:]...)
	return next
}

func (b *List) account(member *Member, delta int) {
	b.hash ^= memberHash(member)
	if member.Role == "proxy" {
		b.proxies += delta
	}
}

// Hash names the list: equal lists have equal hashes, whatever way led there.
func (b *List) Hash() uint64 { return b.hash }

// Len counts the members.
func (b *List) Len() int { return len(b.members) }

// ProxyCount counts the members that take callers' requests.
func (b *List) ProxyCount() int { return b.proxies }

// Get finds a member by name, nil when it isn't one.
func (b *List) Get(node string) *Member {
	i := sort.Search(len(b.members), func(i int) bool { return b.members[i].Node >= node })
	if i < len(b.members) && b.members[i].Node == node {
		return b.members[i]
	}
	return nil
}

// ByAddr finds a member by its inner address, nil when nobody has it.
func (b *List) ByAddr(internalAddr string) *Member {
	for _, member := range b.members {
		if member.InternalAddr == internalAddr {
			return member
		}
	}
	return nil
}

// Has tells whether a node is a member.
func (b *List) Has(node string) bool { return b.Get(node) != nil }

// Members copies the members out, by name.
func (b *List) Members() []Member {
	out := make([]Member, len(b.members))
	for i, member := range b.members {
		out[i] = *member
	}
	return out
}

// Random gives the member that a random number picks, of one area or of all.
func (b *List) Random(zone string, intn func(int) int) *Member {
	if zone == "" {
		if len(b.members) == 0 {
			return nil
		}
		return b.members[intn(len(b.members))]
	}
	if r := b.zoneRings()[zone]; r != nil {
		return r.points[intn(len(r.points))].member
	}
	return nil
}

// partOf is the part of n that a node's entry is in.
func partOf(node string, n int) int { return int(hashStrings(node) >> 32 % uint64(n)) }

// PartCount is into how many parts a book is best cut to find what differs: the
// list of digests is then about as long as one part.
func (b *List) PartCount() int { return PartCount(len(b.members)) }

// PartCount is the same for a list of some length.
func PartCount(length int) int {
	n := 16
	for n*n < length {
		n *= 2
	}
	return n
}

// Digests sums up each of n parts.
func (b *List) Digests(n int) []uint64 {
	out := make([]uint64, n)
	for _, member := range b.members {
		out[partOf(member.Node, n)] ^= memberHash(member)
	}
	return out
}

// DifferingParts gives the parts that differ from the digests, and their fellows here:
// as many parts as have at most most fellows together, one at the least. More
// tells that others differ too.
func (b *List) DifferingParts(remoteDigests []uint64, limit int) (parts []int, members []Member, more bool) {
	n := len(remoteDigests)
	byPart := make([][]*Member, n)
	for _, member := range b.members {
		part := partOf(member.Node, n)
		byPart[part] = append(byPart[part], member)
	}
	for i, digest := range b.Digests(n) {
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

// ReplaceParts takes the fellows of some of n parts in the place of what was there.
func (b *List) ReplaceParts(n int, parts []int, members []Member) *List {
	replaced := map[int]bool{}
	for _, part := range parts {
		replaced[part] = true
	}
	var removed []string
	for _, member := range b.members {
		if replaced[partOf(member.Node, n)] {
			removed = append(removed, member.Node)
		}
	}
	return b.Apply(members, removed)
}
