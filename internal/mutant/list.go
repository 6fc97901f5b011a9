package mutant

// All lists every mutant, two at least for each promise.
var All = append(jobs, core...)

var jobs = []Mutant{
	{"repeat-unknown", AtMostOnce, "internal/proxy/evaluate.go", "	if req.arm.Repeatable && canRetry {", "	if canRetry {", "sim", "TestBadWorkers"},
	{"send-again", AtMostOnce, "internal/proxy/callworker.go",
		`		return attempt.outcomeUnknown("no whole answer from the worker: " + withoutAddresses(err))`, `		return attempt.refuse("no whole answer from the worker: " + withoutAddresses(err))`, "sim", "TestWorkerKilled"},
	{"lost-owner-refused", AtMostOnce, "internal/proxy/steps.go",
		`		return protocol.AttemptResult{Outcome: protocol.Unknown, Reason: reasonNoResponse,`, `		return protocol.AttemptResult{Outcome: protocol.Refused, Reason: reasonNoResponse,`, "sim", "TestHalfOpen"},
	{"slash-supplied", AtMostOnce, "internal/rules/match.go", "cmp.Or(exactMethod[path].bare, anyMethod[path].bare)", "cmp.Or(exactMethod[path].bare, exactMethod[path].below, anyMethod[path].bare, anyMethod[path].below)", "sim", "TestRouteEdges"},

	{"busy-for-unknown", BusyMeansNotRun, "internal/proxy/respond.go", "	case req.lost != nil:\n		code := http.StatusBadGateway", "	case req.lost != nil && req.lost.TimedOut:\n		code := http.StatusBadGateway", "sim", "TestWorkerKilled"},
	{"worker-busy-believed", BusyMeansNotRun, "internal/proxy/checkresponse.go", `	notRun := x.reportsNotRun(result)`, `	notRun := true`, "sim", "TestStorms"},
	{"unknown-forgotten", BusyMeansNotRun, "internal/proxy/evaluate.go", "		req.lost = &lostAttempt{AttemptResult: req.result, entry: req.entry}\n", "		_ = &lostAttempt{AttemptResult: req.result, entry: req.entry}\n", "sim", "TestBadWorkers"},

	{"fitness-always-told", RecoveryTime, "internal/proxy/health.go", " && x.healthUpdates.Take(time.Now()) {", " && !time.Now().IsZero() {", "proxy", "TestFlappingHealth"},

	{"seal-not-compared", CompleteResponse, "internal/proxy/checkresponse.go",
		" || headerValue(result, x.dialect.ResponseDigest) != responsedigest.Of(attempt.req.AttemptID, attempt.req.Worker, result.Status, result.Body) {", " || responsedigest.Of(\"\", \"\", 0, nil) == \"\" {", "sim", "TestBadWorkers"},
	{"seal-without-body", CompleteResponse, "internal/responsedigest/digest.go", "	hash.Write(body)\n", "	_ = body\n", "sim", "TestBadWorkers"},
	{"answers-swapped", CompleteResponse, "internal/workerconn/conn.go", "	reusable = !resp.Close && resp.ProtoAtLeast(1, 1) && conn.reader.Buffered() == 0", "	reusable = !resp.Close && resp.ProtoAtLeast(1, 1)\n	if len(body) > 40 {\n		body = body[:len(body)-1]\n	}", "sim", "TestBootstrapAndServe"},

	{"nobody-asked", CallerAuthorization, "internal/workerconn/open.go", "	if err == nil && workerID != conn.worker {", "	if err == nil && workerID == \"\" {", "sim", "TestPassedAddress"},
	{"any-service", CallerAuthorization, "internal/replica/index.go", "	return r.index[service]", "	var all []ormap.Entry\n	for _, l := range r.index {\n		all = append(all, l...)\n	}\n	return all", "replica", "TestIndex"},

	{"gate-not-asked", NoRequestAfterLeave, "internal/proxy/localworker.go", "	if !local.lastUp.After(pauseEnd) || time.Since(local.lastUp) > x.Settings.WorkerTimeout() {", "	if local.lastUp.IsZero() && pauseEnd.IsZero() {", "sim", "TestPausedOwner"},
	{"draining-ignored", NoRequestAfterLeave, "internal/proxy/heartbeat.go", "	case \"draining\":\n		x.drainWorker(local)", "	case \"draining\":\n		x.recordContact(local, true)", "sim", "TestDrain"},

	{"sign-off-forgotten", NoRequestAfterLeave, "internal/ormap/ormap.go", "		if dots := m.departed[e.Worker]; len(dots) > 0 {", "		if dots := m.departed[e.Worker]; len(dots) > len(d.Adds)+len(m.live)+9 {", "ormap", "TestDepartedNeverLive"},
	{"departure-not-applied", NoRequestAfterLeave, "internal/ormap/ormap.go", "	if departures {", "	if departures && now.IsZero() {", "ormap", "TestDepartedNeverLive"},
	{"departure-untold", NoRequestAfterLeave, "internal/replica/registration.go", "	r.apply(r.entries.DepartureDelta(worker, reason, func() ormap.Dot { return ormap.Dot{Node: r.dotNode, Stamp: r.clock.Now()} }), true)", "	r.apply(r.entries.RemovalDelta(reason, func(e ormap.Entry) bool { return e.Worker == worker && e.Owner == r.self.Node }), true)", "sim", "TestLeaveOutlivesNode"},
	{"leave-not-kept", NoRequestAfterLeave, "internal/proxy/acknowledge.go", "	if state != stateUp && !x.leaveRecorded(r.Context(), worker, state) {", "	if !x.leaveRecorded(r.Context(), worker, state) && state == stateUp {", "sim", "TestLeaveWithoutAnswer"},
	{"older-call-taken", NoRequestAfterLeave, "internal/proxy/workercall.go", "	outdated := call.number != 0 && call.number <= newest.number", "	outdated := call.number != 0 && call.number == newest.number", "proxy", "TestOutOfOrderCalls"},

	{"run-goes-on", AbandonedRequests, "internal/proxy/callerleft.go", "		if !nodeEnding && !attempt.req.Repeatable {", "		if !nodeEnding {", "sim", "TestCallersLeave"},
	{"leaving-not-passed-on", AbandonedRequests, "internal/transport/call.go", "	if waiting && !unsent {\n		l.sendCancel", "	if waiting && unsent {\n		l.sendCancel", "sim", "TestCallersLeave"},
	{"begun-for-nobody", AbandonedRequests, "internal/proxy/owner.go", "	if transport.CanceledByCaller(ctx) {\n		return attempt.refuse", "	if transport.CanceledByCaller(ctx) && attempt.slotHeld && !attempt.slotHeld {\n		return attempt.refuse", "proxy", "TestNotStartedWithoutCaller"},
	{"lost-front-awaited", AbandonedRequests, "internal/transport/link.go", "		l.cancelInbound()\n", "", "transport", "TestCallsCanceledWithLink"},

	{"front-not-confirmed", MonotonicVersion, "internal/controlclient/probe.go", "	if confidence := c.Confidence(); confidence != protocol.Unconfirmed {\n		return confidence\n	}\n	ctx, cancel", "	return protocol.Confirmed\n	ctx, cancel", "sim", "TestPausedIngress"},
	{"step-back", MonotonicVersion, "internal/proxy/start.go", "		if current != nil && current.Version >= version {", "		if current != nil && current.Version == version {", "proxy", "TestConfigNeverReverts"},
	{"late-is-cut", MonotonicVersion, "internal/controlclient/probe.go", "	return \"\", c.classifyOutage(startedAt, disconnectedNodes, <-pinged || linkFast), startedAt", "	return \"\", max(protocol.Disconnected, protocol.Confidence(-disconnectedNodes)), startedAt", "sim", "TestCongestedNodeIsNotPartitioned"},
	{"confirmed-too-long", MonotonicVersion, "internal/settings/derived.go", "p.BaseInterval() * 8 / 10 }", "p.BaseInterval() * 13 / 10 }", "settings", "TestConfirmationTTL"},
	{"older-rules-run", MonotonicVersion, "internal/proxy/ownerconfig.go", "	if attempt.req.Confidence == protocol.Disconnected || attempt.req.Confidence == protocol.Unconfirmed {\n", "	if attempt.req.Confidence > protocol.Unconfirmed {\n", "proxy", "TestOlderConfiguration"},
	{"frozen-round", MonotonicVersion, "internal/controlclient/probe.go", "c.disconnected && c.lastDisconnectedRound.After(pauseEnd) &&", "c.disconnected && (pauseEnd.IsZero() || !pauseEnd.IsZero()) &&", "controlclient", "TestPauseDuringProbeRound"},

	{"repeats-not-asked", BoundedRetries, "internal/proxy/steps.go", "	paid := req.reached == 0 || x.retryBudget.Allow(req.service)\n", "	paid := req.reached == 0 || x.retryBudget.Allow(req.service) || req.attempts <= 5\n", "sim", "TestStorms"},
	{"repeat-not-paid", BoundedRetries, "internal/proxy/callrates.go", "	if attempt.req.NeedsRetryBudget && !x.retryBudget.Allow(attempt.req.Service) {", "	if attempt.req.NeedsRetryBudget && attempt.req.Worker == \"\" {", "sim", "TestRetriesOfOthers"},
	{"never-borrows", BoundedRetries, "internal/proxy/steps.go", "req.needsRetryBudget = !paid && req.mayBorrowRetry;", "req.needsRetryBudget = !paid && req.mayBorrowRetry && req.attempts < 0;", "sim", "TestRetriesOfOthers"},
	{"missed-still-counts", BoundedRetries, "internal/retrybudget/budget.go", "	b.countsFor(service, now).first.add(now, retryShare-1)\n", "	b.countsFor(service, now).first.add(now, 0)\n", "retrybudget", "TestUndeliveredAttempts"},
	{"part-of-others", BoundedRetries, "internal/retrybudget/budget.go", "		allowanceShare = b.allowance / float64(b.proxies)", "		allowanceShare = b.allowance", "retrybudget", "."},
	{"repeat-not-counted", BoundedRetries, "internal/retrybudget/budget.go", "	counts.retries.add(now, 1)\n", "	counts.first.add(now, 1)\n", "retrybudget", "."},
	{"calls-not-held", BoundedRetries, "internal/retrybudget/budget.go", "		b.services[service].reserved += count\n", "		b.services[service].reserved += 0 * count\n", "retrybudget", "TestNestedReservation"},

	{"folder-not-synced", DurableUpdates, "internal/disk/disk.go", "	return fault.Wrap(fault.Disk, fs.SyncDir(), \"sync folder\")", "	return nil", "paxos", "TestPowerLossPerName"},
	{"own-runs-not-ended", GracefulShutdown, "internal/proxy/callerleft.go", "		if released || !nodeEnding && !transport.CanceledByCaller(ctx) {", "		if released || !transport.CanceledByCaller(ctx) {", "sim", "TestAnswersInStop"},
	{"late-work-begun", GracefulShutdown, "internal/proxy/stop.go", "	if schedule == nil || req.receivedAt.Before(schedule.LongWorkDeadline()) ||", "	if schedule == nil || req.receivedAt.Before(schedule.End()) ||", "sim", "TestAnswersInStop"},
	{"end-not-told", GracefulShutdown, "internal/proxy/stop.go", "	x.notifyRunEnds(schedule)\n", "", "sim", "TestRunsOutlastTheirNode"},
	{"own-runs-not-hedged", GracefulShutdown, "internal/proxy/stop.go", "	x.notifyAttemptsOfStop(schedule.WaitDeadline())\n", "", "sim", "TestRunsOutlastTheirNode"},
	{"hedge-ends-first", GracefulShutdown, "internal/proxy/hedge.go", "	a.second = second\n", "	a.second = second\n	a.cancel()\n", "sim", "TestRunsOutlastTheirNode"},
	{"lost-run-refused", GracefulShutdown, "internal/proxy/queuewait.go", "	if attempt.req.AllowUnfinishedRun && x.mayFinish(attempt) {", "	if attempt.req.AllowUnfinishedRun && x.mayFinish(attempt) && attempt.req.Worker == \"\" {", "sim", "TestRunsOutlastTheirNode"},
	{"unknown-times-begun", GracefulShutdown, "internal/proxy/queuewait.go", "	if needed == 0 {\n		local = 0\n	}\n", "", "sim", "TestFreshNodeInStop"},
	{"failure-ends-first", GracefulShutdown, "internal/proxy/hedge.go", "	case second.request.answered():\n", "	case second.request.result.Outcome == protocol.Done:\n", "sim", "TestRunsOutlastTheirNode"},
	{"second-run-forgotten", BusyMeansNotRun, "internal/proxy/hedge.go", "		req.lost = second.lost\n", "", "proxy", "TestMerge"},
	{"own-stop-unseen", GracefulShutdown, "internal/proxy/queuewait.go", "	local := schedule.RemainingWait() - 2*needed\n", "	local := schedule.RemainingWait()\n", "sim", "TestAnswersInStop"},
	{"ends-before-last-sixth", GracefulShutdown, "internal/shutdown/schedule.go", "return s.AnswerDeadline().Add(-s.gracePeriod / answerDivisor)\n}", "return s.AnswerDeadline().Add(-s.gracePeriod / answerDivisor * 2) }", "shutdown", "TestSchedule"},
	{"jobs-not-awaited", GracefulShutdown, "internal/proxy/stop.go", "	for active() > 0 && ctx.Err() == nil {", "	for active() > 1<<40 && ctx.Err() == nil {", "sim", "TestLongStop"},
	{"shut-at-once", GracefulShutdown, "internal/proxy/stop.go", "	task.Sleep(ctx, x.Settings.LeaveBound*3/4)\n	x.workersLeaving.Store(true)\n	x.drainWorkers()\n	task.Sleep(ctx, x.Settings.LeaveBound/2)\n", "	x.workersLeaving.Store(true)\n	x.drainWorkers()\n", "sim", "TestTracker"},
	{"no-goodbye", GracefulShutdown, "internal/transport/goodbye.go", "func (n *Node) CloseGracefully(timeout time.Duration) {\n", "func (n *Node) CloseGracefully(timeout time.Duration) {\n	if timeout > 0 {\n		return\n	}\n", "transport", "TestGoodbye"},

	{"one-lane", PriorityOrder, "internal/proxy/steps.go", "x.beginAttempt(transport.WithLane(ctx, x.requestLane(req)), req, out.AttemptID)", "x.beginAttempt(transport.WithLane(ctx, transport.LaneRequests), req, out.AttemptID)", "sim", "TestThinLinks"},
	{"window-open", PriorityOrder, "internal/transport/congestion.go", "return !w.enabled || w.hasTurn && !w.paused && w.inFlight < w.window", "return true", "sim", "TestThinLinks"},
	{"answers-not-booked", PriorityOrder, "internal/transport/bulk.go", "	if !ok {\n		return release, l.retryDelay(), false\n	}\n", "", "transport", "TestReserveResponse"},
	{"doubles-after-rest", PriorityOrder, "internal/transport/congestion.go", "now-w.lastDelay >= quietTimeouts*silenceTimeout", "now-w.lastDelay >= silenceTimeout", "transport", "TestWindowAfterIdle"},
	{"long-line", PriorityOrder, "internal/transport/bulk.go", "l.estimatedWait(size) <= limit && l.estimatedWait(0) <= limit*2/3", "l.estimatedWait(size) <= limit", "transport", "TestBulkAdmission"},
}
