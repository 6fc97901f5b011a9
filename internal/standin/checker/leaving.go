package checker

import "time"

// A request that was sent up to sentUpTo after the order to end is excused if its
// worker was still at work in the last sixth of the grace.
const excusedSendPeriod = 3 * time.Second

// signal is one order to a machine that may break nothing off.
type signal struct {
	machine     string
	incarnation int // of the machine's processes
	sentAt      time.Time
	reload      bool
}

// Term notes that a machine was told to end in order. Told again, it has the grace
// that it had.
func (w *Witness) Term(machine string) { w.addSignal(signal{machine: machine}) }

// Hup notes that a machine was told that its settings changed.
func (w *Witness) Hup(machine string) { w.addSignal(signal{machine: machine, reload: true}) }

func (w *Witness) addSignal(signal signal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	signal.sentAt, signal.incarnation = time.Now(), w.incarnations[signal.machine]
	for _, other := range w.signals {
		if !signal.reload && !other.reload && other.machine == signal.machine && other.incarnation == signal.incarnation && signal.sentAt.Before(other.sentAt.Add(w.B.Grace)) {
			return
		}
	}
	w.signals = append(w.signals, signal)
}

// LeaveSent notes that a worker says that it is leaving, and LeaveTaken that this
// was acknowledged.
func (w *Witness) LeaveSent(worker *Worker) {
	w.mu.Lock()
	if worker.LeaveSentAt.IsZero() {
		worker.LeaveSentAt = time.Now()
	}
	w.mu.Unlock()
}

// LeaveAcked notes by whom a worker's leave was acknowledged first.
func (w *Witness) LeaveAcked(worker *Worker, node string) {
	w.mu.Lock()
	if worker.LeaveAckedAt.IsZero() {
		worker.LeaveAckedAt, worker.LeaveAckedBy = time.Now(), node
	}
	w.mu.Unlock()
}

// checkDrains: later than the bound after a machine acknowledged that a worker
// leaves, whether it was in touch or not, nothing is sent to it by machines in touch.
func (w *Witness) checkDrains() {
	for _, arrival := range w.arrivals {
		worker := arrival.Worker
		if worker.LeaveAckedAt.IsZero() || arrival.Attempt == nil || arrival.DeclinedStatus == 421 || !arrival.ArrivedAt.After(worker.LeaveAckedAt.Add(w.B.Leave)) {
			continue
		}
		if w.Touch.connected(arrival.Attempt.Ingress, arrival.Attempt.Start, arrival.ArrivedAt) && w.Touch.connected(worker.Machine, arrival.Attempt.Start, arrival.ArrivedAt) {
			w.recordBreach(Drain, "%s reached %s %v after its leave was acknowledged by %s", arrival.Attempt.ID, worker.Name, arrival.ArrivedAt.Sub(worker.LeaveAckedAt), worker.LeaveAckedBy)
		}
	}
}

// cutOff tells that a try's connection ended without a complete answer although a
// process had read it whole, for no reason of its worker or its time; late is
// how long after its last byte that was.
func (w *Witness) cutOff(attempt *Attempt) (delay time.Duration, passed, isCut bool) {
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

// answerDeadline is the time up to which a try may be held: its client's, as it told that, or that of the
// path in any document that may have been in force.
func (w *Witness) answerDeadline(attempt *Attempt) time.Time {
	timeout := attempt.Timeout
	if attempt.SentTimeout > 0 {
		timeout = min(timeout, attempt.SentTimeout)
	}
	lowest := w.newestAcked(attempt.Start.Add(-w.B.Change - w.B.Stretch))
	for _, document := range w.documents {
		if route := document.Match(attempt.Host, attempt.URI); route != nil && document.Number >= lowest && document.mayBeInForce(attempt.End) && route.Timeout > 0 {
			timeout = min(timeout, route.Timeout)
		}
	}
	return attempt.Start.Add(timeout)
}

// signalsDuring lists the orders to its front under which a try stood when it ended.
func (w *Witness) signalsDuring(attempt *Attempt) (signals []signal) {
	for _, signal := range w.signals {
		if signal.machine != attempt.Ingress {
			continue
		}
		if signal.reload && attempt.Start.Before(signal.sentAt.Add(w.B.Change)) && attempt.End.After(signal.sentAt) {
			signals = append(signals, signal)
		}
		if !signal.reload && attempt.End.After(signal.sentAt) && attempt.End.Before(signal.sentAt.Add(w.B.Grace+time.Second)) {
			signals = append(signals, signal)
		}
	}
	return signals
}

// checkPlannedWork: planned work breaks nothing off.
func (w *Witness) checkPlannedWork() {
	duringChange, otherwise := map[string][]*Attempt{}, map[string]int{}
	for _, attempt := range w.attemptOrder {
		delay, passed, isCut := w.cutOff(attempt)
		isCut = isCut && (passed || delay > w.B.Slack)
		calm := w.Touch.calm(attempt.Start.Add(-w.B.Touch), attempt.End)
		plans := w.signalsDuring(attempt)
		if len(plans) > 0 && calm {
			for _, signal := range plans {
				w.checkUnderSignal(attempt, signal, isCut, passed, delay)
			}
			continue
		}
		if isCut && calm {
			if w.endedDuringChange(attempt) {
				duringChange[attempt.Ingress] = append(duringChange[attempt.Ingress], attempt)
			} else {
				otherwise[attempt.Ingress]++
			}
		}
	}
	// Around changes of the document no more are cut off than at other times.
	for machine, attempts := range duringChange {
		if len(attempts) > 3*otherwise[machine] {
			w.recordBreach(Lost, "%s at %s and %d others were cut off around a change, %d at other times", attempts[0].ID, machine, len(attempts)-1, otherwise[machine])
		}
	}
}

// checkUnderSignal judges a try that ended under an order to its front; cut tells that its
// connection ended without an answer.
func (w *Witness) checkUnderSignal(attempt *Attempt, signal signal, isCut, passed bool, delay time.Duration) {
	if !signal.reload && w.excused(attempt, signal) {
		return
	}
	if isCut {
		w.recordBreach(Lost, "%s at %s was cut off at %s, %v after its last byte (sent on: %v), in planned work from %s", attempt.ID, attempt.Ingress, clockTime(attempt.End), delay, passed, clockTime(signal.sentAt))
		return
	}
	// After the order to end an answer of the mesh's own in the place of a worker's
	// comes to the same, whether the worker goes on or was broken off before.
	if arrival := attempt.abandonedExecution(); !signal.reload && arrival != nil && attempt.answeredByMesh() && w.answerDeadline(attempt).After(attempt.End) && !w.excusedByOwner(attempt, arrival) {
		w.recordBreach(Lost, "%s at %s got %d of the mesh's own at %s, %v after the order to end, while %s was at work on it since %s; it came at %s and had until %s",
			attempt.ID, attempt.Ingress, attempt.Answer.Status, clockTime(attempt.End), attempt.End.Sub(signal.sentAt), arrival.Worker.Name, clockTime(arrival.Start), clockTime(attempt.Start), clockTime(w.answerDeadline(attempt)))
	}
}

// excused tells that a stop could not wait for a try: its worker was still at work
// in the last sixth of the grace, and it was sent early enough. What ended before
// that time is never excused.
func (w *Witness) excused(attempt *Attempt, signal signal) bool {
	lastSixth := signal.sentAt.Add(w.B.Grace * 5 / 6)
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

// excusedByOwner tells the same of a try that may not be repeated, whose answer came as the
// node beside its worker ended, or up to a second after its grace: nobody else reaches
// the worker, so such a run ends with that node. Plays that were judged by users show no
// blame for it. What may be repeated is never excused so, since others could have had it.
func (w *Witness) excusedByOwner(attempt *Attempt, arrival *Arrival) bool {
	if attempt.Retryable || arrival.Worker.Machine == attempt.Ingress {
		return false
	}
	for _, signal := range w.signals {
		if signal.reload || signal.machine != arrival.Worker.Machine || attempt.Start.After(signal.sentAt.Add(excusedSendPeriod)) {
			continue
		}
		lastSixth, end := signal.sentAt.Add(w.B.Grace*5/6), signal.sentAt.Add(w.B.Grace+time.Second)
		if !attempt.End.Before(lastSixth) && !attempt.End.After(end) && (arrival.End.IsZero() || !arrival.End.Before(lastSixth)) {
			return true
		}
	}
	return false
}

// abandonedExecution finds the worker that was at work on a try when it was answered, or whose
// run was ended before without an answer, for no reason of its own.
func (t *Attempt) abandonedExecution() *Arrival {
	for _, arrival := range t.Arrivals {
		if arrival.Executed() && !arrival.WorkerFailed && arrival.Status == 0 && !arrival.End.IsZero() && arrival.End.Before(t.End) {
			return arrival
		}
	}
	return t.executionInProgress()
}

// executionInProgress finds the worker that was at work on a try when it was answered.
func (t *Attempt) executionInProgress() *Arrival {
	for _, arrival := range t.Arrivals {
		if arrival.Executed() && !arrival.WorkerFailed && arrival.Start.Before(t.End) && (arrival.End.IsZero() || arrival.End.After(t.End)) {
			return arrival
		}
	}
	return nil
}

// endedDuringChange tells that a try ended while a document was on its way.
func (w *Witness) endedDuringChange(attempt *Attempt) bool {
	for _, document := range w.documents {
		end := document.AckedAt
		if end.IsZero() {
			end = document.EndedAt
		}
		if document.Defect == "" && !document.FirstSentAt.After(attempt.End) && (end.IsZero() || attempt.End.Before(end.Add(w.B.Change+time.Second))) {
			return true
		}
	}
	return false
}
