package event

// The catalogue. 1xx life of a process, 2xx links, 3xx store, 4xx duties and
// sessions, 5xx registry, 6xx jobs and workers, 7xx configuration and trials.
var (
	Started       = Kind{101, "started", "process started", false}
	Ready         = Kind{102, "ready", "process became ready", false}
	Unready       = Kind{103, "unready", "process is no longer ready", true}
	Stopping      = Kind{104, "stopping", "polite stop began", false}
	Stopped       = Kind{105, "stopped", "process ended its work", false}
	Froze         = Kind{106, "froze", "a gap in the ticks: the process was frozen", true}
	SettingsTaken = Kind{107, "settings-taken", "changed settings were taken up", false}
	SettingsLater = Kind{108, "settings-later", "changed settings hold only after a restart", true}
	SettingsBad   = Kind{109, "settings-bad", "changed settings are wrong; those of before stay in force", true}
	ToldAgain     = Kind{110, "told-again", "a signal came during a polite stop; the grace period counts from the first order", false}
	BadLink       = Kind{201, "bad-link", "a link broke the frame or hello rules and was closed", true}
	Unspoken      = Kind{202, "unspoken", "a message kind is not known here and was refused by name", true}
	Mute          = Kind{203, "mute-link", "nothing came in on a link under calls, not even after a ping; it was ended", true}
	LinkEnded     = Kind{204, "link-ended", "a link ended with calls under way: why, how many of this end waited and how many of the other were at work", true}
	Founded       = Kind{301, "founded", "the store was founded", false}
	Promised      = Kind{302, "promised", "a ballot was promised durably", false}
	Damaged       = Kind{303, "damaged", "a stored file is damaged and was put aside", true}
	Mended        = Kind{304, "mended", "missing versions were fetched from a fellow", false}
	Checkpointed  = Kind{305, "checkpoint", "a checkpoint was written", false}
	DiskBad       = Kind{306, "disk-bad", "the disk refused or was too slow; nothing unsynced was acknowledged", true}
	DiskWell      = Kind{307, "disk-well", "the disk works again", false}
	Joining       = Kind{308, "joining", "an empty store asks to join", false}
	Refilled      = Kind{309, "refilled", "a store or replica was refilled from a fellow", false}
	Replaced      = Kind{310, "replaced", "a store took the place of another", false}
	Foreign       = Kind{311, "foreign", "data of another mesh or a newer version was refused", true}
	Unsafe        = Kind{312, "unsafe-removal", "a removal that would leave the core without a majority was refused", true}
	CoreSmall     = Kind{313, "core-small", "fewer stores vote than wanted, an even number, or too many in one area or region: the core bears the loss of fewer", true}
	StateLarge    = Kind{314, "state-large", "the replicated state nears its bound, beyond which changes are refused", true}
	SnapshotBad   = Kind{315, "snapshot-bad", "a snapshot came damaged or not as announced; nothing of it was installed", true}
	Left          = Kind{316, "store-left", "a member stopped politely, with its place given or the others whole", false}
	Chosen        = Kind{317, "chosen", "an entry was acknowledged: at which slot, and which members had it on their disks then", false}
	Reopened      = Kind{318, "reopened", "what a store's disk held at its start", false}
	Won           = Kind{401, "duty-won", "this node won a duty", false}
	Lost          = Kind{402, "duty-lost", "this node lost or gave up a duty", true}
	SessionUp     = Kind{403, "session-up", "a session with a control node stands", false}
	SessionDown   = Kind{404, "session-down", "a session ended", true}
	OutOfTouch    = Kind{405, "out-of-touch", "no control node in touch with a majority answers", true}
	InTouch       = Kind{406, "in-touch", "a control node in touch with a majority answers again", false}
	Unsure        = Kind{407, "unsure", "control nodes answer too late to act by the configuration held; jobs go to owners that are sure of it", true}
	Registered    = Kind{501, "registered", "a service entry appeared", false}
	Unregistered  = Kind{502, "unregistered", "a service entry was removed", false}
	Down          = Kind{503, "down", "a worker was found dead by its owning node", true}
	Retired       = Kind{504, "retired", "the entries of a dead node were retired", true}
	Afresh        = Kind{505, "afresh", "own live entries were found removed and registered afresh", true}
	Evicted       = Kind{506, "evicted", "an address passed to another worker; the old entry went first", false}
	Draining      = Kind{507, "draining", "a worker is draining", false}
	WorkerState   = Kind{508, "worker-state", "the owner's view of its worker changed: by which of the worker's calls, and why", false}
	CallLate      = Kind{509, "call-late", "a worker's call came behind a newer one and changed nothing", false}
	Garbled       = Kind{601, "garbled", "a worker's answer failed the seal and was not passed on", true}
	Unfit         = Kind{602, "unfit", "a worker lost weight by its fitness", true}
	Fit           = Kind{603, "fit", "a worker regained its weight", false}
	BeatBad       = Kind{604, "beat-bad", "a worker's beat was refused", true}
	Twice         = Kind{605, "twice", "a second arrival of one attempt was refused", true}
	Stranger      = Kind{606, "stranger", "another than the worker stands at its address; no job was sent", true}
	CallerLeft    = Kind{607, "caller-left", "callers left before their answers; the newest is named", false}
	RunEnded      = Kind{608, "run-ended", "runs were ended at the worker since their callers had left; the newest is named", false}
	Unanswered    = Kind{609, "unanswered", "a request that may have run ended without its worker's answer: by which bound, and how long after the order to end", true}
	ConfigTaken   = Kind{701, "config-taken", "a configuration version is in force here", false}
	ConfigBad     = Kind{702, "config-bad", "a configuration was refused", true}
	ConfigSet     = Kind{703, "config-set", "a configuration was acknowledged", false}
	Proposed      = Kind{704, "proposed", "a trial of a path began", false}
	Promoted      = Kind{705, "promoted", "a trial was promoted", false}
	HeldBack      = Kind{706, "held-back", "a trial was held back", true}
	Emergency     = Kind{707, "emergency", "an operator applied a change without a rehearsal", true}
)

// Catalogue lists every kind in order.
var Catalogue = []Kind{Started, Ready, Unready, Stopping, Stopped, Froze, SettingsTaken, SettingsLater, SettingsBad, ToldAgain, BadLink, Unspoken, Mute, LinkEnded,
	Founded, Promised, Damaged, Mended, Checkpointed, DiskBad, DiskWell, Joining, Refilled, Replaced, Foreign, Unsafe, CoreSmall, StateLarge, SnapshotBad, Left, Chosen, Reopened,
	Won, Lost, SessionUp, SessionDown, OutOfTouch, InTouch, Unsure,
	Registered, Unregistered, Down, Retired, Afresh, Evicted, Draining, WorkerState, CallLate,
	Garbled, Unfit, Fit, BeatBad, Twice, Stranger, CallerLeft, RunEnded, Unanswered,
	ConfigTaken, ConfigBad, ConfigSet, Proposed, Promoted, HeldBack, Emergency}
