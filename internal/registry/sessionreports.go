package registry

import (
	"context"
	"time"

	"puffincrank/internal/membership"
	"puffincrank/internal/protocol"
	"puffincrank/internal/transport"
)

// idleReportInterval is how many beats pass between two words without news; two in a row
// may be lost.
const idleReportInterval = 3

// peerNode is another control node's word on its sessions.
type peerNode struct {
	member    membership.Member
	listHash  uint64 // of the list as last heard, 0 for none
	lastHeard time.Time
	// What it said counts; it does not after a session's time without a word.
	active bool
	// Since when words to it were not answered, zero for not at all.
	silentSince       time.Time
	lastAnsweredStart time.Time // when the newest word began that was
	excluded          bool      // it is left out of the list for that
}

// reportSessions tells the other control nodes of the sessions here: what changed since
// the last round, and to those who lack more what they lack.
func (r *Registry) reportSessions(context.Context) {
	r.env.PollSettings()
	r.mu.Lock()
	r.expireSessions()
	r.dropUnreachable()
	if !r.confirmedAt.IsZero() && time.Since(r.confirmedAt) <= r.Settings.ConfirmationTTL() {
		r.replica.SetCompleteUntil(time.Now().Add(r.Settings.SessionTTL()))
	}
	r.updateLinks()
	// Unless something changed or somebody came or went lately, a word now and
	// then is enough: what was said counts for ten beats.
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

// fullerReport gives a control node what it lacks: what differs from the list that it
// holds, if that is known here, or else the whole.
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
	// Who begins anew or was away lacks what is said here.
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
	// What is known is kept until more comes.
	response := protocol.SessionReportResponse{NeedMore: report.Hash != peer.listHash, Responder: r.self, AcceptsDiff: true, Hash: peer.listHash, AcceptsCompact: true}
	if reachable, reachableHash := r.reachableNodes(); reachableHash != report.ReachableHash {
		response.Reachable = reachable
	}
	return response, nil
}
