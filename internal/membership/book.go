package membership

import (
	"sort"
	"sync"
)

// Book is one state of the list of members. It never changes; With makes the
// next one, which shares the fellows that stay.
type Book struct {
	all    []*Fellow // by name
	hash   uint64
	fronts int
	once   sync.Once
	rings  map[string]*ring
}

// NewBook makes a book of a list.
func NewBook(all []Fellow) *Book { return (&Book{}).With(all, nil) }

// With gives the book after some fellows came, in place of what they were
// before, and others went.
func (b *Book) With(come []Fellow, gone []string) *Book {
	out := map[string]*Fellow{}
	var names []string
	note := func(n string, f *Fellow) {
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
	next := &Book{all: make([]*Fellow, 0, len(b.all)+len(come)), hash: b.hash, fronts: b.fronts}
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

func (b *Book) count(f *Fellow, by int) {
	b.hash ^= sign(f)
	if f.Role == "proxy" {
		b.fronts += by
	}
}

// Hash names the list: equal lists have equal hashes, whatever way led there.
func (b *Book) Hash() uint64 { return b.hash }

// Len counts the members.
func (b *Book) Len() int { return len(b.all) }

// Fronts counts the members that take callers' requests.
func (b *Book) Fronts() int { return b.fronts }

// Get finds a member by name, nil when it isn't one.
func (b *Book) Get(node string) *Fellow {
	i := sort.Search(len(b.all), func(i int) bool { return b.all[i].Node >= node })
	if i < len(b.all) && b.all[i].Node == node {
		return b.all[i]
	}
	return nil
}

// At finds a member by its inner address, nil when nobody has it.
func (b *Book) At(inner string) *Fellow {
	for _, f := range b.all {
		if f.Inner == inner {
			return f
		}
	}
	return nil
}

// Has tells whether a node is a member.
func (b *Book) Has(node string) bool { return b.Get(node) != nil }

// List copies the members out, by name.
func (b *Book) List() []Fellow {
	out := make([]Fellow, len(b.all))
	for i, f := range b.all {
		out[i] = *f
	}
	return out
}

// Draw gives the member that a random number picks, of one area or of all.
func (b *Book) Draw(area string, intn func(int) int) *Fellow {
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

// Parts is into how many parts a book is best cut to find what differs: the
// list of digests is then about as long as one part.
func (b *Book) Parts() int { return Parts(len(b.all)) }

// Parts is the same for a list of some length.
func Parts(long int) int {
	n := 16
	for n*n < long {
		n *= 2
	}
	return n
}

// Digests sums up each of n parts.
func (b *Book) Digests(n int) []uint64 {
	out := make([]uint64, n)
	for _, f := range b.all {
		out[bucket(f.Node, n)] ^= sign(f)
	}
	return out
}

// Differ gives the parts that differ from the digests, and their fellows here:
// as many parts as have at most most fellows together, one at the least. More
// tells that others differ too.
func (b *Book) Differ(theirs []uint64, most int) (parts []int, list []Fellow, more bool) {
	n := len(theirs)
	in := make([][]*Fellow, n)
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

// Patch takes the fellows of some of n parts in the place of what was there.
func (b *Book) Patch(n int, parts []int, list []Fellow) *Book {
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
	return b.With(list, gone)
}
