package mutant

// All lists every mutant, two at least for each promise.
var All = append(jobs, core...)

var jobs = []Mutant{
	{"repeat-unknown", AtMostOnce, "internal/proxy/weigh.go", "	if j.arm.Repeatable && more {", "	if more {", "sim", "TestBadWorkers"},
	{"send-again", AtMostOnce, "internal/proxy/deliver.go",
		`		return v.unknown("no whole answer from the worker: " + plain(err))`, `		return v.refuse("no whole answer from the worker: " + plain(err))`, "sim", "TestWorkerKilled"},
	{"lost-owner-refused", AtMostOnce, "internal/proxy/steps.go",
		`		return protocol.AttemptResult{Outcome: protocol.Unknown, Reason: noReceipt,`, `		return protocol.AttemptResult{Outcome: protocol.Refused, Reason: noReceipt,`, "sim", "TestHalfOpen"},

	{"busy-for-unknown", BusyMeansNotRun, "internal/proxy/answer.go", "	case j.lost != nil:\n		code := http.StatusBadGateway", "	case j.lost != nil && j.lost.TimedOut:\n		code := http.StatusBadGateway", "sim", "TestWorkerKilled"},
	{"worker-busy-believed", BusyMeansNotRun, "internal/proxy/unseal.go", `	notRun := x.notRun(b)`, `	notRun := true`, "sim", "TestStorms"},
	{"unknown-forgotten", BusyMeansNotRun, "internal/proxy/weigh.go", "		j.lost = &lostAttempt{AttemptResult: j.back, entry: j.entry}\n", "		_ = &lostAttempt{AttemptResult: j.back, entry: j.entry}\n", "sim", "TestBadWorkers"},

	{"fitness-always-told", RecoveryTime, "internal/proxy/fit.go", " && x.fitnessNews.Take(time.Now()) {", " && !time.Now().IsZero() {", "proxy", "TestFlappingFitness"},

	{"seal-not-compared", CompleteResponse, "internal/proxy/unseal.go",
		" || headOf(b, x.say.ResponseDigest) != responsedigest.Of(v.in.AttemptID, v.in.Worker, b.Status, b.Body) {", " || responsedigest.Of(\"\", \"\", 0, nil) == \"\" {", "sim", "TestBadWorkers"},
	{"seal-without-body", CompleteResponse, "internal/responsedigest/seal.go", "	h.Write(body)\n", "	_ = body\n", "sim", "TestBadWorkers"},
	{"answers-swapped", CompleteResponse, "internal/workerconn/conn.go", "	good = !w.Close && w.ProtoAtLeast(1, 1) && c.reader.Buffered() == 0", "	good = !w.Close && w.ProtoAtLeast(1, 1)\n	if len(body) > 40 {\n		body = body[:len(body)-1]\n	}", "sim", "TestWholePath"},

	{"nobody-asked", CallerAuthorization, "internal/workerconn/open.go", "	if err == nil && named != c.worker {", "	if err == nil && named == \"\" {", "sim", "TestPassedAddress"},
	{"any-service", CallerAuthorization, "internal/replica/index.go", "	return r.index[service]", "	var all []ormap.Entry\n	for _, l := range r.index {\n		all = append(all, l...)\n	}\n	return all", "replica", "TestIndex"},

	{"gate-not-asked", NoRequestAfterLeave, "internal/proxy/gate.go", "	if !g.word.After(woke) || time.Since(g.word) > x.Settings.WorkerTimeout() {", "	if g.word.IsZero() && woke.IsZero() {", "sim", "TestFrozenOwner"},
	{"draining-ignored", NoRequestAfterLeave, "internal/proxy/beat.go", "	case \"draining\":\n		x.drain(g)", "	case \"draining\":\n		x.hears(g, true)", "sim", "TestDrain"},

	{"sign-off-forgotten", NoRequestAfterLeave, "internal/proxy/workercall.go", "	if c.state != saysGone && (late || x.departed(c.worker)) {", "	if c.state != saysGone && late {", "sim", "TestLateBeatAfterSignOff"},
	{"departure-untold", NoRequestAfterLeave, "internal/replica/replica.go", "	d := r.m.DepartureDelta(worker, why, func(e ormap.Entry) bool { return e.Owner == r.self.Node })", "	d := r.m.RemovalDelta(why, func(e ormap.Entry) bool { return e.Worker == worker && e.Owner == r.self.Node })", "sim", "TestLeaveOutlivesNode"},
	{"leave-not-kept", NoRequestAfterLeave, "internal/proxy/acknowledge.go", "	if state != saysUp && !x.leaveKept(r.Context(), worker, state) {", "	if !x.leaveKept(r.Context(), worker, state) && state == saysUp {", "sim", "TestLeaveUnheard"},
	{"older-call-taken", NoRequestAfterLeave, "internal/proxy/workercall.go", "	late := c.number != 0 && c.number <= newest.number", "	late := c.number != 0 && c.number == newest.number", "proxy", "TestOlderCall"},

	{"run-goes-on", AbandonedRequests, "internal/proxy/callerleft.go", "		if !ending && !v.in.Repeatable {", "		if !ending {", "sim", "TestCallersLeave"},
	{"leaving-not-passed-on", AbandonedRequests, "internal/transport/call.go", "	if waits && !certain {\n		l.abandons", "	if waits && certain {\n		l.abandons", "sim", "TestCallersLeave"},
	{"begun-for-nobody", AbandonedRequests, "internal/proxy/owner.go", "	if transport.CanceledByCaller(ctx) {\n		return v.refuse", "	if transport.CanceledByCaller(ctx) && v.held && !v.held {\n		return v.refuse", "proxy", "TestBegunForNobody"},
	{"lost-front-awaited", AbandonedRequests, "internal/transport/link.go", "		l.abandonAll()\n", "", "transport", "TestAbandonedWithLink"},

	{"front-not-confirmed", MonotonicVersion, "internal/controlclient/round.go", "	if w := t.Confidence(); w != protocol.Unconfirmed {\n		return w\n	}\n	ctx, over", "	return protocol.Confirmed\n	ctx, over", "sim", "TestFrozenFront"},
	{"step-back", MonotonicVersion, "internal/proxy/start.go", "		if old != nil && old.Version >= version {", "		if old != nil && old.Version == version {", "proxy", "TestNeverBack"},
	{"late-is-cut", MonotonicVersion, "internal/controlclient/round.go", "	return \"\", t.verdict(began, outs, <-rung || quick), began", "	return \"\", max(protocol.Disconnected, protocol.Confidence(-outs)), began", "sim", "TestChokedLine"},
	{"confirmed-too-long", MonotonicVersion, "internal/settings/parts.go", "p.BaseInterval() * 8 / 10 }", "p.BaseInterval() * 13 / 10 }", "settings", "TestFresh"},
	{"older-rules-run", MonotonicVersion, "internal/proxy/owner.go", "	if v.in.Confidence == protocol.Disconnected || v.in.Confidence == protocol.Unconfirmed {\n", "	if v.in.Confidence > protocol.Unconfirmed {\n", "proxy", "TestOlderConfiguration"},
	{"frozen-round", MonotonicVersion, "internal/controlclient/round.go", "t.lost && t.out.After(woke) &&", "t.lost && (woke.IsZero() || !woke.IsZero()) &&", "controlclient", "TestFrozenRound"},

	{"repeats-not-asked", BoundedRetries, "internal/proxy/steps.go", "	paid := j.came == 0 || x.again.Allow(j.service)\n", "	paid := j.came == 0 || x.again.Allow(j.service) || j.sends <= 5\n", "sim", "TestStorms"},
	{"repeat-not-paid", BoundedRetries, "internal/proxy/calls.go", "	if v.in.NeedsRetryBudget && !x.again.Allow(v.in.Service) {", "	if v.in.NeedsRetryBudget && v.in.Worker == \"\" {", "sim", "TestRepeatsOfOthers"},
	{"never-borrows", BoundedRetries, "internal/proxy/steps.go", "j.unpaid = !paid && j.borrows;", "j.unpaid = !paid && j.borrows && j.sends < 0;", "sim", "TestRepeatsOfOthers"},
	{"missed-still-counts", BoundedRetries, "internal/retrybudget/repeats.go", "	b.at(service, now).first.add(now, part-1)\n", "	b.at(service, now).first.add(now, 0)\n", "retrybudget", "TestMissed"},
	{"part-of-others", BoundedRetries, "internal/retrybudget/repeats.go", "		part = b.allow / float64(b.nodes)", "		part = b.allow", "retrybudget", "."},
	{"repeat-not-counted", BoundedRetries, "internal/retrybudget/repeats.go", "	r.second.add(now, 1)\n", "	r.first.add(now, 1)\n", "retrybudget", "."},
	{"calls-not-held", BoundedRetries, "internal/retrybudget/repeats.go", "		b.rows[s].held += n\n", "		b.rows[s].held += 0 * n\n", "retrybudget", "TestHold"},

	{"folder-not-synced", DurableUpdates, "internal/disk/disk.go", "	return fault.Wrap(fault.Disk, fs.SyncDir(), \"keep names in folder\")", "	return nil", "paxos", "TestNamesByThemselves"},
	{"own-runs-not-ended", GracefulShutdown, "internal/proxy/callerleft.go", "		if over || !ending && !transport.CanceledByCaller(ctx) {", "		if over || !transport.CanceledByCaller(ctx) {", "sim", "TestAnswersInStop"},
	{"late-work-begun", GracefulShutdown, "internal/proxy/stop.go", "	if plan == nil || j.from.Before(plan.LongWorkDeadline()) ||", "	if plan == nil || j.from.Before(plan.End()) ||", "sim", "TestAnswersInStop"},
	{"end-not-told", GracefulShutdown, "internal/proxy/stop.go", "	x.notifyEnds(plan)\n", "", "sim", "TestRunsOutlastTheirNode"},
	{"own-runs-not-hedged", GracefulShutdown, "internal/proxy/stop.go", "	x.attemptsWaitUntil(plan.WaitDeadline())\n", "", "sim", "TestRunsOutlastTheirNode"},
	{"hedge-ends-first", GracefulShutdown, "internal/proxy/hedge.go", "	a.second = s\n", "	a.second = s\n	a.end()\n", "sim", "TestRunsOutlastTheirNode"},
	{"lost-run-refused", GracefulShutdown, "internal/proxy/ending.go", "	if v.in.AllowUnfinishedRun && x.mayStillEnd(v) {", "	if v.in.AllowUnfinishedRun && x.mayStillEnd(v) && v.in.Worker == \"\" {", "sim", "TestRunsOutlastTheirNode"},
	{"unknown-times-begun", GracefulShutdown, "internal/proxy/ending.go", "	if need == 0 {\n		own = 0\n	}\n", "", "sim", "TestFreshNodeInStop"},
	{"failure-ends-first", GracefulShutdown, "internal/proxy/hedge.go", "	case s.request.answered():\n", "	case s.request.back.Outcome == protocol.Done:\n", "sim", "TestRunsOutlastTheirNode"},
	{"second-run-forgotten", BusyMeansNotRun, "internal/proxy/hedge.go", "		j.lost = s.lost\n", "", "proxy", "TestMerge"},
	{"own-stop-unseen", GracefulShutdown, "internal/proxy/ending.go", "	own := plan.RemainingWait() - 2*need\n", "	own := plan.RemainingWait()\n", "sim", "TestAnswersInStop"},
	{"ends-before-last-sixth", GracefulShutdown, "internal/shutdown/grace.go", "return s.AnswerDeadline().Add(-s.length / answerPart) }", "return s.AnswerDeadline().Add(-s.length / answerPart * 2) }", "shutdown", "TestSchedule"},
	{"jobs-not-awaited", GracefulShutdown, "internal/proxy/stop.go", "	for under() > 0 && ctx.Err() == nil {", "	for under() > 1<<40 && ctx.Err() == nil {", "sim", "TestLongStop"},
	{"shut-at-once", GracefulShutdown, "internal/proxy/stop.go", "	task.Sleep(ctx, x.Settings.LeaveBound*3/4)\n	x.left.Store(true)\n	x.drainWorkers()\n	task.Sleep(ctx, x.Settings.LeaveBound/2)\n", "	x.left.Store(true)\n	x.drainWorkers()\n", "sim", "TestRoll"},
	{"no-goodbye", GracefulShutdown, "internal/transport/bye.go", "func (n *Node) CloseGracefully(long time.Duration) {\n", "func (n *Node) CloseGracefully(long time.Duration) {\n	if long > 0 {\n		return\n	}\n", "transport", "TestGoodbye"},

	{"one-lane", PriorityOrder, "internal/proxy/steps.go", "x.beginAttempt(transport.WithLane(ctx, x.lane(j)), j, h.AttemptID)", "x.beginAttempt(transport.WithLane(ctx, transport.LaneRequests), j, h.AttemptID)", "sim", "TestThinLinks"},
	{"window-open", PriorityOrder, "internal/transport/flow.go", "return !w.on || w.let && !w.rest && w.out < w.win", "return true", "sim", "TestThinLinks"},
	{"answers-not-booked", PriorityOrder, "internal/transport/book.go", "	if !ok {\n		return free, l.come(), false\n	}\n", "", "transport", "TestBook"},
	{"doubles-after-rest", PriorityOrder, "internal/transport/flow.go", "now-w.met >= lull*patience", "now-w.met >= patience", "transport", "TestRested"},
	{"long-line", PriorityOrder, "internal/transport/book.go", "l.hope(size) <= most && l.hope(0) <= most*2/3", "l.hope(size) <= most", "transport", "TestHope"},
}
