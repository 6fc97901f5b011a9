package membership

import (
	"sort"
	"sync"
)

// List is one state of the list of members. It never changes; With makes the
// next one, which shares the fellows that stay.
type List struct {
	all    []*Member // by name
	hash   uint64
	fronts int
	once   sync.Once
	rings  map[string]*ring
}

// NewList makes a book of a list.
func NewList(all []Member) *List { return (&List{}).Apply(all, nil) }

// Apply gives the book after some fellows came, in place of what they were
// before, and others went.
func (b *List) Apply(come []Member, gone []string) *List {
	out := map[string]*Member{}
	var names []string
	note := func(n string, f *Member) {
		if _, ok := out[n]; !ok {
			names = append(names, n)
		}
		out[n] = f
	}
	for _, n := range gone {
		note(n, nil)
	}
	for i := range come {
		f := come[i]
		note(f.Node, &f)
	}
	sort.Strings(names)
	next := &List{all: make([]*Member, 0, len(b.all)+len(come)), hash: b.hash, fronts: b.fronts}
	at := 0
	for _, n := range names {
		to := at + sort.Search(len(b.all)-at, func(i int) bool { return b.all[at+i].Node >= n })
		next.all = append(next.all, b.all[at:to]...)
		at = to
		if at < len(b.all) && b.all[at].Node == n {
			next.count(b.all[at], -1)
			at++
		}
		if f := out[n]; f != nil {
			next.all = append(next.all, f)
			next.count(f, 1)
		}
	}
	next.all = append(next.all, b.all[at:]...)
	return next
}

func (b *List) count(f *Member, by int) {
	b.hash ^= sign(f)
	if f.Role == "proxy" {
		b.fronts += by
	}
}

// Hash names the list: equal lists have equal hashes, whatever way led there.
func (b *List) Hash() uint64 { return b.hash }

// Len counts the members.
func (b *List) Len() int { return len(b.all) }

// ProxyCount counts the members that take callers' requests.
func (b *List) ProxyCount() int { return b.fronts }

// Get finds a member by name, nil when it isn't one.
func (b *List) Get(node string) *Member {
	i := sort.Search(len(b.all), func(i int) bool { return b.all[i].Node >= node })
	if i < len(b.all) && b.all[i].Node == node {
		return b.all[i]
	}
	return nil
}

// ByAddr finds a member by its inner address, nil when nobody has it.
func (b *List) ByAddr(inner string) *Member {
	for _, f := range b.all {
		if f.InternalAddr == inner {
			return f
		}
	}
	return nil
}

// Has tells whether a node is a member.
func (b *List) Has(node string) bool { return b.Get(node) != nil }

// Members copies the members out, by name.
func (b *List) Members() []Member {
	out := make([]Member, len(b.all))
	for i, f := range b.all {
		out[i] = *f
	}
	return out
}

// Random gives the member that a random number picks, of one area or of all.
func (b *List) Random(area string, intn func(int) int) *Member {
	if area == "" {
		if len(b.all) == 0 {
			return nil
		}
		return b.all[intn(len(b.all))]
	}
	if r := b.ringsOf()[area]; r != nil {
		return r.all[intn(len(r.all))].f
	}
	return nil
}

// bucket is the part of n that a node's entry is in.
func bucket(node string, n int) int { return int(mix(node) >> 32 % uint64(n)) }

// PartCount is into how many parts a book is best cut to find what differs: the
// list of digests is then about as long as one part.
func (b *List) PartCount() int { return PartCount(len(b.all)) }

// PartCount is the same for a list of some length.
func PartCount(long int) int {
	n := 16
	for n*n < long {
		n *= 2
	}
	return n
}

// Digests sums up each of n parts.
func (b *List) Digests(n int) []uint64 {
	out := make([]uint64, n)
	for _, f := range b.all {
		out[bucket(f.Node, n)] ^= sign(f)
	}
	return out
}

// DifferingParts gives the parts that differ from the digests, and their fellows here:
// as many parts as have at most most fellows together, one at the least. More
// tells that others differ too.
func (b *List) DifferingParts(theirs []uint64, most int) (parts []int, list []Member, more bool) {
	n := len(theirs)
	in := make([][]*Member, n)
	for _, f := range b.all {
		k := bucket(f.Node, n)
		in[k] = append(in[k], f)
	}
	for i, d := range b.Digests(n) {
		if d == theirs[i] {
			continue
		}
		if len(parts) > 0 && len(list)+len(in[i]) > most {
			more = true
			continue
		}
		parts = append(parts, i)
		for _, f := range in[i] {
			list = append(list, *f)
		}
	}
	return parts, list, more
}

// ReplaceParts takes the fellows of some of n parts in the place of what was there.
func (b *List) ReplaceParts(n int, parts []int, list []Member) *List {
	in := map[int]bool{}
	for _, p := range parts {
		in[p] = true
	}
	var gone []string
	for _, f := range b.all {
		if in[bucket(f.Node, n)] {
			gone = append(gone, f.Node)
		}
	}
	return b.Apply(list, gone)
}
