package controlclient

import (
	"context"
	"math/rand/v2"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/membership"
	"puffincrank/internal/protocol"
	"puffincrank/internal/transport"
)

// page is how many members one message brings at the most, few how many are not
// worth the short form's own frame.
const (
	page = 512
	few  = 2
)

// parts mends a list part by part until it is the control node's, or that of a
// fellow when the control node has handed out all that it may.
func (t *Touch) parts(ctx context.Context, to string, b *membership.Book, want uint64, fronts int) *membership.Book {
	b, got, _ := t.mend(ctx, to, b, fronts, func(uint64) bool { return true })
	if !got.Busy {
		return b
	}
	from := []string{""}
	if len(got.Try) > 0 {
		from[0] = got.Try[rand.IntN(len(got.Try))]
	}
	if f := b.Draw(t.x.Self.Area, rand.IntN); f != nil && f.Role == "proxy" && f.Node != t.x.Self.Node {
		from = append(from, f.Inner)
	}
	for _, a := range from {
		if a == "" {
			continue
		}
		one, end := context.WithTimeout(ctx, t.x.Settings.CallTimeout()/4)
		// A list that is no newer would undo what is known here; but to one that
		// knows next to nothing any is of use, and the rest comes with the beats.
		next, _, ok := t.mend(one, a, b, fronts, func(hash uint64) bool { return hash == want || 2*b.Len() < fronts })
		end()
		if ok {
			return next
		}
	}
	return b
}

// mend asks one for the parts that differ, if its list will do; the last word
// tells whether all came.
func (t *Touch) mend(ctx context.Context, at string, b *membership.Book, fronts int, will func(hash uint64) bool) (*membership.Book, protocol.ListBack, bool) {
	n := max(b.Parts(), membership.Parts(fronts))
	for {
		got, err := transport.Ask[protocol.ListBack](ctx, t.x.N, at, "session.members", protocol.ListAsk{Digests: b.Digests(n), Short: true})
		if err != nil || len(got.Parts) == 0 || !will(got.Hash) {
			return b, got, false
		}
		if len(got.Short) > 0 {
			d, err := membership.OpenDiff(got.Short)
			if err != nil {
				return b, got, false
			}
			got.List = d.Come
		}
		if b = b.Patch(n, got.Parts, got.List); !got.More {
			return b, got, true
		}
	}
}

// list gives fellows the parts of the list held here that differ from theirs.
func (t *Touch) list(_ context.Context, from transport.Hello, in protocol.ListAsk) (protocol.ListBack, error) {
	t.mu.Lock()
	b, since := t.book, t.since
	t.mu.Unlock()
	if since.IsZero() || time.Since(since) > t.x.Settings.SessionTTL() || !t.x.Rep.Room() {
		return protocol.ListBack{Busy: true, Try: t.x.Rep.Given(from.Area, "")}, nil
	}
	out, err := Differ(b, in)
	t.x.Rep.Spend(Cost(out))
	return out, err
}

// Differ answers who asks for the parts of a list that differ from its own.
func Differ(b *membership.Book, in protocol.ListAsk) (protocol.ListBack, error) {
	if len(in.Digests) == 0 || len(in.Digests) > 1<<12 {
		return protocol.ListBack{}, fault.New(fault.Input, "%d digests", len(in.Digests))
	}
	out := protocol.ListBack{Hash: b.Hash()}
	out.Parts, out.List, out.More = b.Differ(in.Digests, page)
	if in.Short && len(out.List) > few {
		out.Short, out.List = membership.Diff{Come: out.List}.Pack(), nil
	}
	return out, nil
}

// member names take about so many bytes each when they aren't packed.
const whole = 125

// Cost is about how many bytes an answer has.
func Cost(out protocol.ListBack) int { return len(out.Short) + whole*len(out.List) }
