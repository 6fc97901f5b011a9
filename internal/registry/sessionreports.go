package registry

import (
	"context"
	"time"

	"puffincrank/internal/membership"
	"puffincrank/internal/protocol"
	"puffincrank/internal/transport"
)

// idleReportInterval is the number of heartbeats between two reports while nothing changes.
// With it, two reports in a row may be lost before the session TTL ends.
const idleReportInterval = 3

// peerNode is another control node and what it last reported of its sessions.
type peerNode struct {
	member    membership.Member
	listHash  uint64 // hash of its session list as last reported, 0 for none
	lastHeard time.Time
	// Whether its report counts; cleared after the session TTL without contact.
	active bool
	// When the oldest report to it that is still unanswered was sent; zero if none.
	silentSince        time.Time
	lastAnsweredSentAt time.Time // when the newest report that it answered was sent
	excluded           bool      // removed from the member list because it was unreachable
}

// reportSessions reports the sessions held here to the other control nodes: the changes
// since the last round, and more to those that answer that they lack it.
func (r *Registry) reportSessions(context.Context) {
	r.env.PollSettings()
	r.mu.Lock()
	r.expireSessions()
	r.dropUnreachable()
	if !r.confirmedAt.IsZero() && time.Since(r.confirmedAt) <= r.Settings.ConfirmationTTL() {
		r.replica.SetCompleteUntil(time.Now().Add(r.Settings.SessionTTL()))
	}
	r.updateLinks()
	// Unless there was a change, or a control node came or went within the session TTL, a
	// report every few rounds is enough, since a report counts for ten heartbeats.
	_, reachableHash := r.reachableNodes()
	if reachableHash != r.reachableHash {
		r.reachableHash, r.reachableChangedAt = reachableHash, time.Now()
	}
	unchanged := r.localMembers.Hash() == r.reportedHash && !r.reportDue && time.Since(r.reachableChangedAt) > r.Settings.SessionTTL()
	r.reportRounds++
	skip := unchanged && r.reportRounds%idleReportInterval != 0
	var targets []string
	if skip {
		if targets = r.unreachablePeers(); len(targets) == 0 {
			r.mu.Unlock()
			return
		}
	}
	r.reportDue = false
	report := protocol.SessionReport{Sender: r.self, Hash: r.localMembers.Hash()}
	if diff, ok := r.localMembers.Since(r.reportedHash); ok && r.reportedHash != report.Hash && len(diff.Added)+len(diff.Removed) <= membersPerPage {
		report.IsDiff, report.BaseHash, report.Added, report.Removed = true, r.reportedHash, diff.Added, diff.Removed
	}
	r.reportedHash = report.Hash
	report.ReachableHash = reachableHash
	if !skip {
		targets = r.reportTargets()
	}
	r.mu.Unlock()
	for _, addr := range targets {
		if addr == r.Settings.InternalAddr {
			continue
		}
		r.group.Go("share-one", func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, r.Settings.CallTimeout())
			defer cancel()
			sentAt := time.Now()
			response, err := transport.Call[protocol.SessionReportResponse](ctx, r.node, addr, "session.share", report)
			r.recordAnswer(addr, sentAt, err == nil)
			if err == nil {
				r.recordIndirectPeers(response.Reachable)
			}
			if err == nil && response.NeedMore {
				_, _ = transport.Call[protocol.SessionReportResponse](ctx, r.node, addr, "session.share", r.fullerReport(response))
			}
		})
	}
}

// fullerReport builds the report for a control node that lacks more: the difference from
// the list that it holds, if that list is known here, or else the full list.
func (r *Registry) fullerReport(response protocol.SessionReportResponse) protocol.SessionReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := protocol.SessionReport{Sender: r.self, Hash: r.localMembers.Hash()}
	if diff, ok := r.localMembers.Since(response.Hash); ok && response.AcceptsDiff && response.Hash != 0 {
		report.IsDiff, report.BaseHash, report.Added, report.Removed = true, response.Hash, diff.Added, diff.Removed
	} else {
		report.Complete, report.Members = true, r.localMembers.List().Members()
	}
	if response.AcceptsCompact && len(report.Members)+len(report.Added)+len(report.Removed) > maxPlainDiff {
		report.Compact = membership.Diff{Added: append(report.Added, report.Members...), Removed: report.Removed}.Encode()
		report.Members, report.Added, report.Removed = nil, nil, nil
	}
	return report
}

func (r *Registry) onSessionReport(_ context.Context, _ transport.Hello, report protocol.SessionReport) (protocol.SessionReportResponse, error) {
	if len(report.Compact) > 0 {
		diff, err := membership.DecodeDiff(report.Compact)
		if err != nil {
			return protocol.SessionReportResponse{}, err
		}
		if report.Complete {
			report.Members = diff.Added
		} else {
			report.Added, report.Removed = diff.Added, diff.Removed
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	sender := report.Sender.Node
	peer := r.peerNodes[sender]
	if peer == nil {
		peer = &peerNode{}
		r.peerNodes[sender] = peer
	}
	// A control node that restarted or was unreachable lacks this node's sessions.
	r.reportDue = r.reportDue || !peer.active || peer.member.Incarnation != report.Sender.Incarnation
	peer.recordContact(report.Sender)
	r.members.Set(sender, report.Sender)
	switch {
	case report.Complete:
		r.members.Replace(sender, append(report.Members, report.Sender))
		peer.listHash = report.Hash
	case report.IsDiff && report.BaseHash == peer.listHash && peer.listHash != report.Hash:
		for _, member := range report.Added {
			r.members.Set(sender, member)
		}
		for _, node := range report.Removed {
			r.members.Remove(sender, node)
		}
		peer.listHash = report.Hash
	}
	r.updateLinks()
	// The last known list is kept until the rest arrives.
	response := protocol.SessionReportResponse{NeedMore: report.Hash != peer.listHash, Responder: r.self, AcceptsDiff: true, Hash: peer.listHash, AcceptsCompact: true}
	if reachable, reachableHash := r.reachableNodes(); reachableHash != report.ReachableHash {
		response.Reachable = reachable
	}
	return response, nil
}
