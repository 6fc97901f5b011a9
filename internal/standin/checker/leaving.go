package checker

import "time"

// excusedSendPeriod limits which requests a shutdown need not answer: those sent at most this
// long after the stop signal whose worker was still executing them in the last sixth of the
// grace period.
const excusedSendPeriod = 3 * time.Second

// signal is a stop or reload signal to a machine, which must not cut requests off.
type signal struct {
	machine     string
	incarnation int // of the machine's processes, counted up at each restart
	sentAt      time.Time
	reload      bool
}

// StopSignaled records that a machine was told to shut down gracefully. A second signal within the
// grace period does not extend it.
func (w *Recorder) StopSignaled(machine string) { w.addSignal(signal{machine: machine}) }

// ReloadSignaled records that a machine was told to reload its settings.
func (w *Recorder) ReloadSignaled(machine string) {
	w.addSignal(signal{machine: machine, reload: true})
}

func (w *Recorder) addSignal(added signal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	added.sentAt, added.incarnation = time.Now(), w.incarnations[added.machine]
	for _, other := range w.signals {
		if !added.reload && !other.reload && other.machine == added.machine && other.incarnation == added.incarnation && added.sentAt.Before(other.sentAt.Add(w.Bounds.Grace)) {
			return
		}
	}
	w.signals = append(w.signals, added)
}

// LeaveSent records that a worker first reported that it is leaving.
func (w *Recorder) LeaveSent(worker *Worker) {
	w.mu.Lock()
	if worker.LeaveSentAt.IsZero() {
		worker.LeaveSentAt = time.Now()
	}
	w.mu.Unlock()
}

// LeaveAcked records which node first acknowledged a worker's leave.
func (w *Recorder) LeaveAcked(worker *Worker, node string) {
	w.mu.Lock()
	if worker.LeaveAckedAt.IsZero() {
		worker.LeaveAckedAt, worker.LeaveAckedBy = time.Now(), node
	}
	w.mu.Unlock()
}

// checkDrains checks that connected machines send nothing to a worker later than the bound
// after its leave was acknowledged, whether the acknowledging node was connected or not
// (DRAIN).
func (w *Recorder) checkDrains() {
	for _, arrival := range w.arrivals {
		worker := arrival.Worker
		if worker.LeaveAckedAt.IsZero() || arrival.Attempt == nil || arrival.DeclinedStatus == 421 || !arrival.ArrivedAt.After(worker.LeaveAckedAt.Add(w.Bounds.Leave)) {
			continue
		}
		if w.Faults.connected(arrival.Attempt.Ingress, arrival.Attempt.Start, arrival.ArrivedAt) && w.Faults.connected(worker.Machine, arrival.Attempt.Start, arrival.ArrivedAt) {
			w.recordBreach(Drain, "%s reached %s %v after its leave was acknowledged by %s", arrival.Attempt.ID, worker.Name, arrival.ArrivedAt.Sub(worker.LeaveAckedAt), worker.LeaveAckedBy)
		}
	}
}

// cutOff reports whether an attempt's connection ended without a complete answer although a
// process had read the whole request, and neither a worker's failure nor the deadline
// explains it. delay is the time from the last byte of the request to the end, forwarded
// whether the request reached a worker.
func (w *Recorder) cutOff(attempt *Attempt) (delay time.Duration, forwarded, isCut bool) {
	answer := attempt.Answer
	if answer.ClientClosed || !answer.RequestRead || attempt.SentAt.IsZero() || attempt.End.IsZero() || (answer.Status != 0 && answer.Complete) {
		return 0, false, false
	}
	for _, arrival := range attempt.Arrivals {
		if arrival.WorkerFailed {
			return 0, false, false
		}
	}
	if !attempt.End.Before(w.answerDeadline(attempt)) {
		return 0, false, false
	}
	return attempt.End.Sub(attempt.SentAt), len(attempt.Arrivals) > 0, true
}

// answerDeadline is the earliest time at which the mesh may end an attempt by itself. It
// follows from the timeout that the client sent, and from the shortest timeout of the route
// in the documents that may have been in force.
func (w *Recorder) answerDeadline(attempt *Attempt) time.Time {
	timeout := attempt.Timeout
	if attempt.SentTimeout > 0 {
		timeout = min(timeout, attempt.SentTimeout)
	}
	lowest := w.newestAcked(attempt.Start.Add(-w.Bounds.DocumentChange - w.Bounds.UnsettledExtension))
	for _, document := range w.documents {
		if route := document.Match(attempt.Host, attempt.URI); route != nil && document.Number >= lowest && document.mayBeInForce(attempt.End) && route.Timeout > 0 {
			timeout = min(timeout, route.Timeout)
		}
	}
	return attempt.Start.Add(timeout)
}

// signalsDuring lists the signals to its ingress that were in effect when the attempt ended.
func (w *Recorder) signalsDuring(attempt *Attempt) (signals []signal) {
	for _, signal := range w.signals {
		if signal.machine != attempt.Ingress {
			continue
		}
		if signal.reload && attempt.Start.Before(signal.sentAt.Add(w.Bounds.DocumentChange)) && attempt.End.After(signal.sentAt) {
			signals = append(signals, signal)
		}
		if !signal.reload && attempt.End.After(signal.sentAt) && attempt.End.Before(signal.sentAt.Add(w.Bounds.Grace+time.Second)) {
			signals = append(signals, signal)
		}
	}
	return signals
}

// checkPlannedWork checks that planned work (shutdowns, reloads, changes of the document) cuts
// no request off (LOST).
func (w *Recorder) checkPlannedWork() {
	duringChange, otherwise := map[string][]*Attempt{}, map[string]int{}
	for _, attempt := range w.attemptOrder {
		delay, forwarded, isCut := w.cutOff(attempt)
		isCut = isCut && (forwarded || delay > w.Bounds.UnforwardedCut)
		undisturbed := w.Faults.calm(attempt.Start.Add(-w.Bounds.Connect), attempt.End)
		signals := w.signalsDuring(attempt)
		if len(signals) > 0 && undisturbed {
			for _, signal := range signals {
				w.checkUnderSignal(attempt, signal, isCut, forwarded, delay)
			}
			continue
		}
		if isCut && undisturbed {
			if w.endedDuringChange(attempt) {
				duringChange[attempt.Ingress] = append(duringChange[attempt.Ingress], attempt)
			} else {
				otherwise[attempt.Ingress]++
			}
		}
	}
	// Around changes of the document at most three times as many may be cut off as at other times.
	for machine, attempts := range duringChange {
		if len(attempts) > 3*otherwise[machine] {
			w.recordBreach(Lost, "%s at %s and %d others were cut off around a change, %d at other times", attempts[0].ID, machine, len(attempts)-1, otherwise[machine])
		}
	}
}

// checkUnderSignal checks an attempt that ended while a signal to its ingress was in effect.
// isCut says that its connection ended without an answer.
func (w *Recorder) checkUnderSignal(attempt *Attempt, signal signal, isCut, forwarded bool, delay time.Duration) {
	if !signal.reload && w.excused(attempt, signal) {
		return
	}
	if isCut {
		w.recordBreach(Lost, "%s at %s was cut off at %s, %v after its last byte (forwarded: %v), during planned work that began at %s", attempt.ID, attempt.Ingress, clockTime(attempt.End), delay, forwarded, clockTime(signal.sentAt))
		return
	}
	// After a stop signal an answer by the mesh itself in place of the worker's loses the request
	// just the same, whether the worker is still executing it or was cut off before.
	if arrival := attempt.abandonedExecution(); !signal.reload && arrival != nil && attempt.answeredByMesh() && w.answerDeadline(attempt).After(attempt.End) && !w.excusedByOwner(attempt, arrival) {
		w.recordBreach(Lost, "%s at %s got %d from the mesh itself at %s, %v after the stop signal, while %s was executing it since %s; it was sent at %s and had time until %s",
			attempt.ID, attempt.Ingress, attempt.Answer.Status, clockTime(attempt.End), attempt.End.Sub(signal.sentAt), arrival.Worker.Name, clockTime(arrival.Start), clockTime(attempt.Start), clockTime(w.answerDeadline(attempt)))
	}
}

// excused reports whether a graceful shutdown could not wait for the attempt: its worker was
// still executing it in the last sixth of the grace period, and it was sent early enough. An
// attempt that ended before the last sixth is never excused.
func (w *Recorder) excused(attempt *Attempt, signal signal) bool {
	lastSixth := signal.sentAt.Add(w.Bounds.Grace * 5 / 6)
	if attempt.Start.After(signal.sentAt.Add(excusedSendPeriod)) || attempt.End.Before(lastSixth) {
		return false
	}
	for _, arrival := range attempt.Arrivals {
		if arrival.Executed() && arrival.Start.Before(attempt.End) && (arrival.End.IsZero() || !arrival.End.Before(lastSixth)) {
			return true
		}
	}
	return false
}

// excusedByOwner does the same for the shutdown of the owner, the node beside the worker. It
// applies to an attempt that must not be retried and ended in the last sixth of the owner's
// grace period or up to a second after it. No other node reaches the worker, so the execution
// ends with its owner; the users' own test runs count no breach for this. A retryable
// attempt is never excused this way, since another worker could have executed it.
func (w *Recorder) excusedByOwner(attempt *Attempt, arrival *Arrival) bool {
	if attempt.Retryable || arrival.Worker.Machine == attempt.Ingress {
		return false
	}
	for _, signal := range w.signals {
		if signal.reload || signal.machine != arrival.Worker.Machine || attempt.Start.After(signal.sentAt.Add(excusedSendPeriod)) {
			continue
		}
		lastSixth, end := signal.sentAt.Add(w.Bounds.Grace*5/6), signal.sentAt.Add(w.Bounds.Grace+time.Second)
		if !attempt.End.Before(lastSixth) && !attempt.End.After(end) && (arrival.End.IsZero() || !arrival.End.Before(lastSixth)) {
			return true
		}
	}
	return false
}

// abandonedExecution returns an execution that ended without an answer before the attempt did,
// not because of its worker, or else the one in progress when the attempt ended.
func (a *Attempt) abandonedExecution() *Arrival {
	for _, arrival := range a.Arrivals {
		if arrival.Executed() && !arrival.WorkerFailed && arrival.Status == 0 && !arrival.End.IsZero() && arrival.End.Before(a.End) {
			return arrival
		}
	}
	return a.executionInProgress()
}

// executionInProgress returns an execution that was in progress when the attempt ended.
func (a *Attempt) executionInProgress() *Arrival {
	for _, arrival := range a.Arrivals {
		if arrival.Executed() && !arrival.WorkerFailed && arrival.Start.Before(a.End) && (arrival.End.IsZero() || arrival.End.After(a.End)) {
			return arrival
		}
	}
	return nil
}

// endedDuringChange reports whether the attempt ended while a document was being distributed.
func (w *Recorder) endedDuringChange(attempt *Attempt) bool {
	for _, document := range w.documents {
		end := document.AckedAt
		if end.IsZero() {
			end = document.EndedAt
		}
		if document.Defect == "" && !document.FirstSentAt.After(attempt.End) && (end.IsZero() || attempt.End.Before(end.Add(w.Bounds.DocumentChange+time.Second))) {
			return true
		}
	}
	return false
}
