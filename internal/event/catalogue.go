package event

// The catalogue. 1xx process life cycle, 2xx links, 3xx store, 4xx roles and sessions, 5xx
// registry, 6xx requests and workers, 7xx configuration and trials.
var (
	Started             = Kind{101, "started", "process started", false}
	Ready               = Kind{102, "ready", "process became ready", false}
	Unready             = Kind{103, "unready", "process is no longer ready", true}
	Stopping            = Kind{104, "stopping", "polite stop began", false}
	Stopped             = Kind{105, "stopped", "process ended its work", false}
	Paused              = Kind{106, "froze", "a gap in the ticks: the process was frozen", true}
	SettingsApplied     = Kind{107, "settings-taken", "changed settings were taken up", false}
	SettingsNeedRestart = Kind{108, "settings-later", "changed settings hold only after a restart", true}
	SettingsInvalid     = Kind{109, "settings-bad", "changed settings are wrong; those of before stay in force", true}
	SecondStopSignal    = Kind{110, "told-again", "a signal came during a polite stop; the grace period counts from the first order", false}
	BadLink             = Kind{201, "bad-link", "a link broke the frame or hello rules and was closed", true}
	UnknownMessage      = Kind{202, "unspoken", "a message kind is not known here and was refused by name", true}
	LinkSilent          = Kind{203, "mute-link", "nothing came in on a link under calls, not even after a ping; it was ended", true}
	LinkEnded           = Kind{204, "link-ended", "a link ended with calls under way: why, how many of this end waited and how many of the other were at work", true}
	Founded             = Kind{301, "founded", "the store was founded", false}
	Promised            = Kind{302, "promised", "a ballot was promised durably", false}
	Damaged             = Kind{303, "damaged", "a stored file is damaged and was put aside", true}
	EntriesFetched      = Kind{304, "mended", "missing versions were fetched from a fellow", false}
	SnapshotWritten     = Kind{305, "checkpoint", "a checkpoint was written", false}
	DiskFailing         = Kind{306, "disk-bad", "the disk refused or was too slow; nothing unsynced was acknowledged", true}
	DiskRecovered       = Kind{307, "disk-well", "the disk works again", false}
	Joining             = Kind{308, "joining", "an empty store asks to join", false}
	Refilled            = Kind{309, "refilled", "a store or replica was refilled from a fellow", false}
	Replaced            = Kind{310, "replaced", "a store took the place of another", false}
	ForeignData         = Kind{311, "foreign", "data of another mesh or a newer version was refused", true}
	UnsafeRemoval       = Kind{312, "unsafe-removal", "a removal that would leave the core without a majority was refused", true}
	TooFewStores        = Kind{313, "core-small", "fewer stores vote than wanted, an even number, or too many in one area or region: the core bears the loss of fewer", true}
	StateLarge          = Kind{314, "state-large", "the replicated state nears its bound, beyond which changes are refused", true}
	SnapshotBad         = Kind{315, "snapshot-bad", "a snapshot came damaged or not as announced; nothing of it was installed", true}
	StoreLeft           = Kind{316, "store-left", "a member stopped politely, with its place given or the others whole", false}
	Chosen              = Kind{317, "chosen", "an entry was acknowledged: at which slot, and which members had it on their disks then", false}
	Reopened            = Kind{318, "reopened", "what a store's disk held at its start", false}
	RoleWon             = Kind{401, "duty-won", "this node won a duty", false}
	RoleLost            = Kind{402, "duty-lost", "this node lost or gave up a duty", true}
	SessionUp           = Kind{403, "session-up", "a session with a control node stands", false}
	SessionDown         = Kind{404, "session-down", "a session ended", true}
	ControlLost         = Kind{405, "out-of-touch", "no control node in touch with a majority answers", true}
	ControlRegained     = Kind{406, "in-touch", "a control node in touch with a majority answers again", false}
	ConfigUnconfirmed   = Kind{407, "unsure", "control nodes answer too late to act by the configuration held; jobs go to owners that are sure of it", true}
	Registered          = Kind{501, "registered", "a service entry appeared", false}
	Unregistered        = Kind{502, "unregistered", "a service entry was removed", false}
	WorkerDown          = Kind{503, "down", "a worker was found dead by its owning node", true}
	Retired             = Kind{504, "retired", "the entries of a dead node were retired", true}
	Reregistered        = Kind{505, "afresh", "own live entries were found removed and registered afresh", true}
	Evicted             = Kind{506, "evicted", "an address passed to another worker; the old entry went first", false}
	Draining            = Kind{507, "draining", "a worker is draining", false}
	WorkerState         = Kind{508, "worker-state", "the owner's view of its worker changed: by which of the worker's calls, and why", false}
	HeartbeatOutdated   = Kind{509, "call-late", "a worker's call came behind a newer one and changed nothing", false}
	CorruptAnswer       = Kind{601, "garbled", "a worker's answer failed the seal and was not passed on", true}
	WorkerUnhealthy     = Kind{602, "unfit", "a worker lost weight by its fitness", true}
	WorkerHealthy       = Kind{603, "fit", "a worker regained its weight", false}
	HeartbeatRejected   = Kind{604, "beat-bad", "a worker's beat was refused", true}
	DuplicateAttempt    = Kind{605, "twice", "a second arrival of one attempt was refused", true}
	WrongWorker         = Kind{606, "stranger", "another than the worker stands at its address; no job was sent", true}
	CallerLeft          = Kind{607, "caller-left", "callers left before their answers; the newest is named", false}
	RunEnded            = Kind{608, "run-ended", "runs were ended at the worker since their callers had left; the newest is named", false}
	Unanswered          = Kind{609, "unanswered", "a request that may have run ended without its worker's answer: by which bound, and how long after the order to end", true}
	ConfigApplied       = Kind{701, "config-taken", "a configuration version is in force here", false}
	ConfigRefused       = Kind{702, "config-bad", "a configuration was refused", true}
	ConfigAcknowledged  = Kind{703, "config-set", "a configuration was acknowledged", false}
	TrialBegan          = Kind{704, "proposed", "a trial of a path began", false}
	TrialPromoted       = Kind{705, "promoted", "a trial was promoted", false}
	TrialHeldBack       = Kind{706, "held-back", "a trial was held back", true}
	EmergencyChange     = Kind{707, "emergency", "an operator applied a change without a rehearsal", true}
)

// Catalogue lists every kind in the order of the numbers.
var Catalogue = []Kind{Started, Ready, Unready, Stopping, Stopped, Paused, SettingsApplied, SettingsNeedRestart, SettingsInvalid, SecondStopSignal, BadLink, UnknownMessage, LinkSilent, LinkEnded,
	Founded, Promised, Damaged, EntriesFetched, SnapshotWritten, DiskFailing, DiskRecovered, Joining, Refilled, Replaced, ForeignData, UnsafeRemoval, TooFewStores, StateLarge, SnapshotBad, StoreLeft, Chosen, Reopened,
	RoleWon, RoleLost, SessionUp, SessionDown, ControlLost, ControlRegained, ConfigUnconfirmed,
	Registered, Unregistered, WorkerDown, Retired, Reregistered, Evicted, Draining, WorkerState, HeartbeatOutdated,
	CorruptAnswer, WorkerUnhealthy, WorkerHealthy, HeartbeatRejected, DuplicateAttempt, WrongWorker, CallerLeft, RunEnded, Unanswered,
	ConfigApplied, ConfigRefused, ConfigAcknowledged, TrialBegan, TrialPromoted, TrialHeldBack, EmergencyChange}
