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
func (t *Client) parts(ctx context.Context, to string, b *membership.List, want uint64, fronts int) *membership.List {
	b, got, _ := t.mend(ctx, to, b, fronts, func(uint64) bool { return true })
	if !got.Busy {
		return b
	}
	from := []string{""}
	if len(got.Alternatives) > 0 {
		from[0] = got.Alternatives[rand.IntN(len(got.Alternatives))]
	}
	if f := b.Random(t.x.Self.Zone, rand.IntN); f != nil && f.Role == "proxy" && f.Node != t.x.Self.Node {
		from = append(from, f.InternalAddr)
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
func (t *Client) mend(ctx context.Context, at string, b *membership.List, fronts int, will func(hash uint64) bool) (*membership.List, protocol.MemberListResponse, bool) {
	n := max(b.PartCount(), membership.PartCount(fronts))
	for {
		got, err := transport.Call[protocol.MemberListResponse](ctx, t.x.Node, at, "session.members", protocol.MemberListRequest{Digests: b.Digests(n), AcceptsCompact: true})
		if err != nil || len(got.Parts) == 0 || !will(got.Hash) {
			return b, got, false
		}
		if len(got.Compact) > 0 {
			d, err := membership.DecodeDiff(got.Compact)
			if err != nil {
				return b, got, false
			}
			got.Members = d.Added
		}
		if b = b.ReplaceParts(n, got.Parts, got.Members); !got.More {
			return b, got, true
		}
	}
}

// list gives fellows the parts of the list held here that differ from theirs.
func (t *Client) list(_ context.Context, from transport.Hello, in protocol.MemberListRequest) (protocol.MemberListResponse, error) {
	t.mu.Lock()
	b, since := t.book, t.since
	t.mu.Unlock()
	if since.IsZero() || time.Since(since) > t.x.Settings.SessionTTL() || !t.x.Replica.HasRefillCapacity() {
		return protocol.MemberListResponse{Busy: true, Alternatives: t.x.Replica.RefilledNodes(from.Zone, "")}, nil
	}
	out, err := DiffMembers(b, in)
	t.x.Replica.RecordRefillBytes(ResponseSize(out))
	return out, err
}

// DiffMembers answers who asks for the parts of a list that differ from its own.
func DiffMembers(b *membership.List, in protocol.MemberListRequest) (protocol.MemberListResponse, error) {
	if len(in.Digests) == 0 || len(in.Digests) > 1<<12 {
		return protocol.MemberListResponse{}, fault.New(fault.Input, "%d digests", len(in.Digests))
	}
	out := protocol.MemberListResponse{Hash: b.Hash()}
	out.Parts, out.Members, out.More = b.DifferingParts(in.Digests, page)
	if in.AcceptsCompact && len(out.Members) > few {
		out.Compact, out.Members = membership.Diff{Added: out.Members}.Encode(), nil
	}
	return out, nil
}

// member names take about so many bytes each when they aren't packed.
const whole = 125

// ResponseSize is about how many bytes an answer has.
func ResponseSize(out protocol.MemberListResponse) int {
	return len(out.Compact) + whole*len(out.Members)
}
