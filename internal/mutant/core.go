package mutant

var core = []Mutant{
	{"unsynced", Kept, "internal/disk/disk.go", "	if err == nil {\n		err = f.Sync()\n	}\n	if end := f.Close(); err == nil {\n		err = end\n	}\n	if err == nil {\n		err = fs.Rename", "	if end := f.Close(); err == nil {\n		err = end\n	}\n	if err == nil {\n		err = fs.Rename", "sim", "TestCoreFaults/all_three"},
	{"one-is-enough", Kept, "internal/store/campaign.go", "	return out, len(out)/2 + 1\n", "	return out, 1\n", "sim", "TestCoreFaults|TestCutWriter|TestLinearizable"},
	{"shares-not-added", Kept, "internal/rules/rules.go", "math.Abs(sum-100) > 1e-6", "math.Abs(sum-100) > 1e6", "sim", "TestCommands"},
	{"accepted-forgotten", Kept, "internal/store/campaign.go", "		if pick == nil {\n			break\n		}\n", "		if pick == nil || len(votes) > 0 {\n			break\n		}\n", "sim", "TestCoreFaults|TestLinearizable|TestLockHolders|TestPower"},
	{"promise-sinks", Kept, "internal/paxos/keep.go", "	if vow := a.Vow(); n.Less(vow) {\n", "	if vow := a.Vow(); n.Less(vow) && n.Round > 1<<40 {\n", "paxos", "TestPromises"},
	{"aside-forgotten", Kept, "internal/paxos/acceptor.go", "disk.Adopt(fs, \"v-\")", "disk.Adopt(fs, \"none-\")", "paxos", "TestAdded"},
	{"torn-taken-up", Kept, "internal/disk/disk.go", "		if _, err := Load(fs, n); err != nil {\n			continue\n", "		if _, err := Load(fs, n); fault.Is(err, fault.Disk) {\n			continue\n", "paxos", "TestAdopt|TestAdded"},
	{"step-anyhow", Kept, "internal/ledger/step.go", "	if err != nil && !old {\n", "	if err != nil && old {\n", "ledger", "TestStepRefused"},
	{"voters-stay", Kept, "internal/store/spread.go", "	if least == 0 {\n", "	if least < 1<<40 {\n", "sim", "TestCoreBearsAreas"},

	{"request-lost-in-snapshot", Kept, "internal/ledger/state.go", "	for i, a := range s.Requests {\n", "	for i, a := range s.Requests[:0] {\n", "ledger", "TestOneNumberOneContent"},
	{"other-content-confirmed", Kept, "internal/ledger/request.go", "	if bytes.Equal(a.Digest, digest) {\n", "	if len(a.Digest) == len(digest) {\n", "ledger", "TestOneNumberOneContent"},
	{"order-not-remembered", Kept, "internal/store/requests.go", "	if s.level() < ledger.LevelRequests {\n", "	if s.level() < 1<<20 {\n", "sim", "TestOrderSentAgain|TestNumberRaces"},

	{"change-without-holders", Kept, "internal/store/holders.go", "		if held {\n			return true\n		}\n", "		if held || need > 0 {\n			return true\n		}\n", "sim", "TestLeaveWhileOneLags"},
	{"cut-vote-trusted", Kept, "internal/store/campaign.go", "		if slot > toldUpTo(votes) {\n", "		if slot > toldUpTo(votes) && slot == 0 {\n", "store", "TestCutVote"},
	{"snapshot-unchecked", Kept, "internal/store/download.go", "!bytes.Equal(sum[:], head.ID) {", "len(sum) != len(head.ID) {", "store", "TestBadSnapshots"},
	{"going-counted", Kept, "internal/store/holders.go", "		if !t.contacts[m.ID].going.IsZero() {\n", "		if !t.contacts[m.ID].going.IsZero() && slot == 0 {\n", "store", "TestGoingNotCounted"},
	{"others-not-asked", Kept, "internal/store/leave.go", "	return err == nil && got.Held\n", "	return err == nil && (got.Held || !got.Held)\n", "sim", "TestSecondLoss"},

	{"lock-cut-short", Rising, "internal/store/leases.go", "end := now.Add(withDrift(time.Duration(c.TTL) * time.Millisecond))", "end := now.Add(withDrift(time.Duration(c.TTL) * time.Millisecond / 2))", "sim", "TestLockHolders"},
	{"renewal-shortens", Rising, "internal/store/leases.go", "old.fence == out[i].Lock.Fence && old.end.After(end) {", "old.fence == out[i].Lock.Fence && old.end.After(end.Add(time.Hour)) {", "sim", "TestLockHolders"},
	{"number-twice", Rising, "internal/ledger/coord.go", "	s.Numbers[c.Name]++\n	return", "	if s.Numbers[c.Name]%16 != 15 || s.Rev%2 == 0 {\n		s.Numbers[c.Name]++\n	}\n	return", "sim", "TestCoreFaults"},
	{"late-release", Rising, "internal/store/batch.go", "	if !held || l.Owner != in.Owner || in.Same {", "	if !held || l.Owner != in.Owner || in.TTL > 0 {", "sim", "TestLateRelease"},
	{"late-call", Rising, "internal/store/proposals.go", "		if !o.latest.IsZero() && now.After(o.latest) {", "		if o.latest.IsZero() && now.After(o.latest) {", "store", "TestTooOld"},
	{"read-after-freeze", Rising, "internal/registry/app.go", "	if time.Since(r.pulse.Woke()) < r.P.Beat() {", "	if r.P.Beat() == 0 {", "sim", "TestLateApp"},
	{"clock-anew", Rising, "internal/store/store.go", "	s.recordLeases(cmds, out)\n", "	s.recordLeases(cmds, out)\n	s.restartLeases()\n", "sim", "TestLockTime"},
	{"sent-again-anew", Rising, "internal/ledger/cells.go", "; rev > 0 {", "; rev > 1<<40 {", "ledger", "TestCells"},
	{"renewal-not-seen", Rising, "internal/ledger/coord.go", "	if !held || l.Fence != c.Fence || l.Renew != c.Renew {", "	if !held || l.Fence != c.Fence {", "ledger", "TestExpireAfterRenewal"},

	{"read-without-round", Reads, "internal/store/serve.go", "	if err := t.confirmLeadership(ctx); err != nil {\n		return g, err\n	}\n", "", "sim", "TestCutWriter"},
	{"history-short", Reads, "internal/store/leases.go", "	keep, long := s.P.History+s.P.History/5,", "	keep, long := s.P.History/5,", "sim", "TestHistory"},
	{"puts-forgotten", Reads, "internal/store/leases.go", "s.P.History+s.P.History*3/5\n", "s.P.History/5\n", "sim", "TestAppWatch"},
	{"watch-skips", Reads, "internal/registry/keys.go", "		next = got.Changes[255].Rev + 1\n", "		next = got.Rev + 1\n", "sim", "TestLongWatch"},

	{"vacant-not-kept", Return, "internal/ballot/ballot.go", "	if n != v.left {\n		v.heard = time.Now()\n	}\n	return true, n\n", "	v.heard = time.Now()\n	return true, n\n", "ballot", "TestVacated"},
	{"lost-writer-missed", Return, "internal/store/remove.go", "	if !lost {\n		return\n	}\n", "	if !lost || vow.Round < 1<<40 {\n		return\n	}\n", "sim", "TestCoreGone/killed,_the"},
	{"duty-left-vacant", Return, "internal/store/campaign.go", "	case quiet < s.P.Vacant():\n		return s.P.Vacant() - quiet + ", "	case quiet < 40*s.P.Vacant():\n		return 40*s.P.Vacant() - quiet + ", "store", "TestVacant"},
	{"session-kept", Return, "internal/touch/round.go", "	ballot.Poll(round, t.x.G, core, t.look", "	ballot.Poll(round, t.x.G, core[:1], t.look", "sim", "TestPower"},
	{"stand-by-not-awaited", Return, "internal/store/leave.go", "		t.s.e.Pause(ctx, t.s.P.Beat()/40)\n", "		return false\n", "sim", "TestLeftBusy"},
	{"not-afresh", Return, "internal/proxy/beat.go", "g.state.Is(\"up\", \"draining\") && x.rep.OwnDead(dot)", "g.state.Is(\"draining\") && x.rep.OwnDead(dot)", "sim", "TestNodeFaults"},
	{"dot-without-start", Return, "internal/replica/replica.go", "dot: self.Node + \"#\" + self.Start,", "dot: self.Node,", "replica", "TestDotOfAStart"},
	{"place-not-learned", Return, "internal/store/join.go", "		if err == nil && got.Slot == 0 && got.Has > ask.Slot &&", "		if err == nil && got.Slot == 0 && got.Has > 1<<60 &&", "sim", "TestLeaveWhileOneLags"},
}
