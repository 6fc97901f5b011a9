package repocheck

// routeRules is the text of the generated configuration page that follows its tables.
const routeRules = "# How the parts work together\n\n" +
	"**Hosts.** A path with a `host` takes only jobs whose `Host` header names it; case and port don't count. For a\n" +
	"job, paths of its host go before those without one, however long their prefix: only among the paths of one\n" +
	"host the longest prefix wins, and among equal prefixes the method by name goes before `any`. Two paths with the\n" +
	"same host, method and prefix are a fault.\n" +
	"\n" +
	"**Prefixes.** A prefix has to begin the URL path, letter for letter and by whole segments:\n" +
	"\n" +
	"| prefix | matches | doesn't match |\n" +
	"| --- | --- | --- |\n" +
	"| `/pages/` | `/pages/`, `/pages/7` | `/pages`, `/pagesize` |\n" +
	"| `/pages` | `/pages`, `/pages/`, `/pages/7` | `/pagesize` |\n" +
	"\n" +
	"With both in one document `/pages/` is the longer one: it gets all that is below, and `/pages` gets `/pages`\n" +
	"alone. The path is taken as the caller sent it, without its query: escapes aren't resolved and double slashes aren't\n" +
	"joined, so `/p%61ges/7` and `//pages/7` match neither. Where no path of the document matches, the answer is 404.\n" +
	"A node that is sent a job by another one matches it again, and refuses it unrun where the two disagree.\n" +
	"\n" +
	"**Splits.** A path has a `service` or a `split`. In a split each job goes to one of the services by a hash of\n" +
	"its id, as often as the weights say, and to the same one whenever it is looked at: repeats of a job stay with\n" +
	"its service. A weight of 0 keeps a service in the document and sends it nothing.\n\n" +
	"**Time left and aim.** `left_ms` is how long a job may take at the most, `aim_ms` within what time its answer is\n" +
	"of full use. A job waits for a slot a part of its aim at the most, so that one turned away can still be\n" +
	"served elsewhere in time.\n\n" +
	"**Repeats.** `upload` and `download` are `never` and `safe` for large bodies and large answers: the two words say\n" +
	"that much is to be carried, not whether it may run twice.\n\n" +
	"**Ranks.** Without `classes` each rank that a path names is a class, the first with twice the share of the next\n" +
	"one and so on (see [classes](classes.md)); `class` is then left out. With `classes` each path names its own, and\n" +
	"its rank says nothing more.\n\n" +
	"**Numbers.** A document may carry the operator's own `version`, see [changes](changes.md). Its writer may be newer\n" +
	"than the programs that read it, so names that they don't know are passed over at every level; in a document\n" +
	"without a number they are faults, since there they are most likely slips. A numbered document may have no\n" +
	"services or paths. Whole numbers may be written with a fraction that is none, such as `250.0`.\n\n" +
	"**Limits of callers.** `head_bytes`, `body_bytes`, `head_ms` and `idle_ms` bound what a caller may send and how\n" +
	"long its connection may take or idle; they hold as soon as the document does.\n" +
	"- A header over `head_bytes` is answered 431, and a body over `body_bytes` 413. A header never has more than a 16th\n" +
	"  of `frame_bytes`, and a body half of it.\n" +
	"- A connection whose header isn't whole `head_ms` after it was opened, or after the first byte of a further job, is\n" +
	"  closed. Without the limit: `change_ms`.\n" +
	"- One that idles for `idle_ms` is closed. Its caller is told so beforehand by `Keep-Alive: timeout=` in whole\n" +
	"  seconds, a quarter of `change_ms` less, so that it doesn't send into a connection that is about to go; one that\n" +
	"  idles already keeps the time it had. Without the limit: thirty times `change_ms`, and nothing is told.\n" +
	"- No job that is being read or answered is cut by any of them.\n\n"
