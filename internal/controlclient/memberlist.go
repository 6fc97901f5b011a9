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

// membersPerPage is the maximum number of members in one message. maxPlainMembers is how
// many are sent uncompressed: for so few, the overhead of the compact encoding is not worth
// it.
const (
	membersPerPage  = 512
	maxPlainMembers = 2
)

// repairMembers replaces the parts of a list that differ from the control node's. If the
// control node has used up its refill capacity, it fetches them from a peer.
func (c *Client) repairMembers(ctx context.Context, controlNode string, list *membership.List, wantHash uint64, proxyCount int) *membership.List {
	list, response, _ := c.fetchParts(ctx, controlNode, list, proxyCount, func(uint64) bool { return true })
	if !response.Busy {
		return list
	}
	sources := []string{""}
	if len(response.Alternatives) > 0 {
		sources[0] = response.Alternatives[rand.IntN(len(response.Alternatives))]
	}
	if member := list.Random(c.deps.Self.Zone, rand.IntN); member != nil && member.Role == "proxy" && member.Node != c.deps.Self.Node {
		sources = append(sources, member.InternalAddr)
	}
	for _, addr := range sources {
		if addr == "" {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, c.deps.Settings.CallTimeout()/4)
		// A list that is not the wanted one might undo newer changes held here. But a node
		// that knows less than half of the proxies takes any list, and later heartbeats
		// correct it.
		repaired, _, ok := c.fetchParts(callCtx, addr, list, proxyCount, func(hash uint64) bool { return hash == wantHash || 2*list.Len() < proxyCount })
		cancel()
		if ok {
			return repaired
		}
	}
	return list
}

// fetchParts fetches the parts that differ from a node's list, if accept agrees to the hash
// of that list. The boolean tells whether all parts arrived.
func (c *Client) fetchParts(ctx context.Context, addr string, list *membership.List, proxyCount int, accept func(hash uint64) bool) (*membership.List, protocol.MemberListResponse, bool) {
	partCount := max(list.PartCount(), membership.PartCount(proxyCount))
	for {
		response, err := transport.Call[protocol.MemberListResponse](ctx, c.deps.Node, addr, "session.members", protocol.MemberListRequest{Digests: list.Digests(partCount), AcceptsCompact: true})
		if err != nil || len(response.Parts) == 0 || !accept(response.Hash) {
			return list, response, false
		}
		if len(response.Compact) > 0 {
			diff, err := membership.DecodeDiff(response.Compact)
			if err != nil {
				return list, response, false
			}
			response.Members = diff.Added
		}
		if list = list.ReplaceParts(partCount, response.Parts, response.Members); !response.More {
			return list, response, true
		}
	}
}

// serveMembers gives peers the parts of this node's list that differ from theirs.
func (c *Client) serveMembers(_ context.Context, from transport.Hello, request protocol.MemberListRequest) (protocol.MemberListResponse, error) {
	c.mu.Lock()
	list, lastRenewed := c.members, c.lastRenewed
	c.mu.Unlock()
	if lastRenewed.IsZero() || time.Since(lastRenewed) > c.deps.Settings.SessionTTL() || !c.deps.Replica.HasRefillCapacity() {
		return protocol.MemberListResponse{Busy: true, Alternatives: c.deps.Replica.RefilledNodes(from.Zone, "")}, nil
	}
	response, err := DiffMembers(list, request)
	c.deps.Replica.RecordRefillBytes(ResponseSize(response))
	return response, err
}

// DiffMembers returns the parts of a list that differ from the requester's digests.
func DiffMembers(list *membership.List, request protocol.MemberListRequest) (protocol.MemberListResponse, error) {
	if len(request.Digests) == 0 || len(request.Digests) > 1<<12 {
		return protocol.MemberListResponse{}, fault.New(fault.Input, "%d digests", len(request.Digests))
	}
	response := protocol.MemberListResponse{Hash: list.Hash()}
	response.Parts, response.Members, response.More = list.DifferingParts(request.Digests, membersPerPage)
	if request.AcceptsCompact && len(response.Members) > maxPlainMembers {
		response.Compact, response.Members = membership.Diff{Added: response.Members}.Encode(), nil
	}
	return response, nil
}

// memberBytes is the approximate size of one uncompressed member, in bytes.
const memberBytes = 125

// ResponseSize returns the approximate size of a response in bytes.
func ResponseSize(response protocol.MemberListResponse) int {
	return len(response.Compact) + memberBytes*len(response.Members)
}
