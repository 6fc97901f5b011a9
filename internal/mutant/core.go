package mutant

var core = []Mutant{
	{"unsynced", Kept, "internal/disk/disk.go", "	if err == nil {\n		err = f.Sync()\n	}\n	if end := f.Close(); err == nil {\n		err = end\n	}\n	if err == nil {\n		err = fs.Rename", "	if end := f.Close(); err == nil {\n		err = end\n	}\n	if err == nil {\n		err = fs.Rename", "sim", "TestCoreFaults/all_three"},
	{"one-is-enough", Kept, "internal/store/stand.go", "	return out, len(out)/2 + 1\n", "	return out, 1\n", "sim", "TestCoreFaults|TestCutWriter|TestLinearizable"},
	{"shares-not-added", Kept, "internal/rules/rules.go", "math.Abs(sum-100) > 1e-6", "math.Abs(sum-100) > 1e6", "sim", "TestCommands"},
	{"accepted-forgotten", Kept, "internal/store/stand.go", "		if pick == nil {\n			break\n		}\n", "		if pick == nil || len(votes) > 0 {\n			break\n		}\n", "sim", "TestCoreFaults|TestLinearizable|TestLockHolders|TestPower"},

	{"lock-cut-short", Rising, "internal/store/clocks.go", "now.Add(time.Duration(l.TTL) * time.Millisecond)}", "now.Add(time.Duration(l.TTL) * time.Millisecond / 2)}", "sim", "TestLockHolders"},
	{"renewal-shortens", Rising, "internal/ledger/coord.go", "	l.TTL = max(l.TTL, c.TTL)", "	l.TTL = c.TTL", "sim", "TestLockHolders"},
	{"number-twice", Rising, "internal/ledger/coord.go", "	s.Numbers[c.Name]++\n	return", "	if s.Numbers[c.Name]%16 != 15 || s.Rev%2 == 0 {\n		s.Numbers[c.Name]++\n	}\n	return", "sim", "TestCoreFaults"},
	{"late-release", Rising, "internal/store/plain.go", "	if !held || l.Owner != in.Owner {", "	if !held || l.Owner != in.Owner || in.TTL > 0 {", "sim", "TestLateRelease"},
	{"renewal-not-seen", Rising, "internal/ledger/coord.go", "	if !held || l.Fence != c.Fence || l.Renew != c.Renew {", "	if !held || l.Fence != c.Fence {", "ledger", "TestExpireAfterRenewal"},

	{"read-without-round", Reads, "internal/store/serve.go", "	if err := t.sure(ctx); err != nil {\n		return g, err\n	}\n", "", "sim", "TestCutWriter"},
	{"history-short", Reads, "internal/store/clocks.go", "	keep := s.P.History + s.P.History/5\n", "	keep := s.P.History / 5\n", "sim", "TestHistory"},
	{"watch-skips", Reads, "internal/registry/keys.go", "		next = got.Changes[255].Rev + 1\n", "		next = got.Rev + 1\n", "sim", "TestLongWatch"},

	{"duty-left-vacant", Return, "internal/store/stand.go", "	if _, quiet := s.vote.Vow(); quiet < s.P.Lease() {", "	if _, quiet := s.vote.Vow(); quiet < 40*s.P.Lease() {", "sim", "TestCoreFaults/writer_killed"},
	{"session-kept", Return, "internal/proxy/touch.go", "	ballot.Poll(round, t.x.g, core, func", "	ballot.Poll(round, t.x.g, core[:1], func", "sim", "TestPower"},
	{"not-afresh", Return, "internal/proxy/beat.go", "g.state.Is(\"up\", \"draining\") && x.rep.OwnDead(dot)", "g.state.Is(\"draining\") && x.rep.OwnDead(dot)", "sim", "TestNodeFaults"},
	{"dot-without-start", Return, "internal/replica/replica.go", "dot: self.Node + \"#\" + self.Start,", "dot: self.Node,", "replica", "TestDotOfAStart"},
}
