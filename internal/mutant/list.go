package mutant

// All lists every mutant, two at least for each promise.
var All = append(jobs, core...)

var jobs = []Mutant{
	{"repeat-unknown", Twice, "internal/proxy/steps.go", "	if j.arm.Safe && more {", "	if more {", "sim", "TestBadWorkers"},
	{"send-again", Twice, "internal/proxy/deliver.go",
		`		return v.unknown("no whole answer from the worker: " + plain(err))`, `		return v.refuse("no whole answer from the worker: " + plain(err))`, "sim", "TestWorkerKilled"},
	{"lost-owner-refused", Twice, "internal/proxy/steps.go",
		`		return session.Back{Kind: session.Unknown, Why: "no receipt from the owner",`, `		return session.Back{Kind: session.Refused, Why: "no receipt from the owner",`, "sim", "TestHalfOpen"},

	{"busy-for-unknown", Busy, "internal/proxy/front.go", "	case j.unknown != nil:\n		code := http.StatusBadGateway", "	case j.unknown != nil && j.unknown.Late:\n		code := http.StatusBadGateway", "sim", "TestWorkerKilled"},
	{"worker-busy-believed", Busy, "internal/proxy/owner.go", `	notRun := head(seal.Ran) == "no"`, `	notRun := true`, "sim", "TestStorms"},
	{"unknown-forgotten", Busy, "internal/proxy/steps.go", "		j.unknown = &b\n", "		_ = b\n", "sim", "TestBadWorkers"},

	{"seal-not-compared", Whole, "internal/proxy/owner.go",
		" || head(seal.Mark) != seal.Of(v.in.Attempt, v.in.Worker, b.Status, b.Body) {", " {", "sim", "TestBadWorkers"},
	{"seal-without-body", Whole, "internal/seal/seal.go", "	h.Write(body)\n", "	_ = body\n", "sim", "TestBadWorkers"},
	{"answers-swapped", Whole, "internal/proxy/way.go", "	good = !w.Close && w.ProtoAtLeast(1, 1) && k.r.Buffered() == 0", "	good = !w.Close && w.ProtoAtLeast(1, 1)\n	if len(body) > 40 {\n		body = body[:len(body)-1]\n	}", "sim", "TestWholePath"},

	{"nobody-asked", Stranger, "internal/proxy/probe.go", "		if err == nil && named != worker {", "		if err == nil && named == \"\" {", "sim", "TestPassedAddress"},
	{"any-service", Stranger, "internal/replica/replica.go", "			r.index[e.Service] = append(r.index[e.Service], e)", "			for _, s := range []string{\"pages\", \"lending\", \"scans\", e.Service} {\n				r.index[s] = append(r.index[s], e)\n			}", "sim", "TestWholePath"},

	{"gate-not-asked", Leaving, "internal/proxy/gate.go", "	if !g.word.After(woke) || time.Since(g.word) > x.P.Missed() {", "	if g.word.IsZero() && woke.IsZero() {", "sim", "TestFrozenOwner"},
	{"draining-ignored", Leaving, "internal/proxy/beat.go", "	case \"draining\":\n		x.drain(g)", "	case \"draining\":\n		x.hears(g, true)", "sim", "TestDrain"},

	{"front-not-confirmed", Newest, "internal/proxy/touch.go", "	if t.fresh() {\n		return true\n	}", "	if t.fresh() || true {\n		return true\n	}", "sim", "TestFrozenFront"},
	{"step-back", Newest, "internal/proxy/proxy.go", "		if old != nil && old.Version >= version {", "		if old != nil && old.Version == version {", "sim", "TestStepBack"},
	{"frozen-round", Newest, "internal/proxy/touch.go", "t.lost && t.out.After(woke) &&", "t.lost && (woke.IsZero() || !woke.IsZero()) &&", "sim", "TestFrozenFront"},

	{"repeats-not-asked", Repeats, "internal/proxy/steps.go", "	if !x.again.Again(j.arm.Service) {", "	if !x.again.Again(j.arm.Service) && j.sends > 5 {", "sim", "TestStorms"},
	{"part-of-others", Repeats, "internal/repeats/repeats.go", "		part = b.allow / float64(b.nodes)", "		part = b.allow", "repeats", "."},
	{"repeat-not-counted", Repeats, "internal/repeats/repeats.go", "	r.second = append(r.second, now)\n", "	r.first = append(r.first, now)\n", "repeats", "."},

	{"jobs-not-awaited", Planned, "internal/proxy/proxy.go", "	for under() > 0 && ctx.Err() == nil {", "	for under() > 1<<40 && ctx.Err() == nil {", "sim", "TestLongStop"},
	{"shut-at-once", Planned, "internal/proxy/proxy.go", "	task.Pause(ctx, x.P.Leave)\n", "", "sim", "TestRoll"},
	{"no-goodbye", Planned, "internal/wire/bye.go", "func (n *Node) Leave(long time.Duration) {\n", "func (n *Node) Leave(long time.Duration) {\n	if long > 0 {\n		return\n	}\n", "wire", "TestGoodbye"},
}
