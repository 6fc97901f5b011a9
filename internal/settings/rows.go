package settings

import (
	"errors"
	"slices"

	"puffincrank/internal/schema"
)

// maxAddresses is how many addresses a setting may list.
const maxAddresses = 9

// Addresses lists addresses as a setting takes them: each once, in order, and no
// more than may be listed.
func Addresses(all []string) []string {
	var out []string
	for _, a := range all {
		if len(out) < maxAddresses && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// some checks a list of addresses. One given twice would be counted twice when
// a mesh is founded.
func some(v any) error {
	l, ok := v.([]string)
	if !ok || len(l) < 1 || len(l) > maxAddresses {
		return errors.New("must be 1 to 9 addresses")
	}
	l = slices.Clone(l)
	slices.Sort(l)
	if len(slices.Compact(l)) != len(v.([]string)) {
		return errors.New("names an address twice")
	}
	return nil
}

var common = []schema.Field{
	{Name: "node", Type: schema.Text, Required: true, Check: schema.IsName, Rule: "a name", Help: "this process's name, its own in the mesh"},
	{Name: "mesh", Type: schema.Text, Default: "puffin", Check: schema.IsName, Rule: "a name", Help: "the mesh; processes of another mesh are turned away"},
	{Name: "area", Type: schema.Text, Required: true, Check: schema.IsName, Rule: "a name", Help: "the area (zone) of this machine"},
	{Name: "inner", Type: schema.Addr, Required: true, Rule: "IP number and port", Help: "where other processes of the mesh reach this one"},
	{Name: "outer", Type: schema.Addr, Required: true, Rule: "IP number and port", Help: "where operators, the platform and the own worker reach this one"},
	{Name: "change_ms", Type: schema.Duration, Default: int64(2000), Check: schema.IntRange(200, 60000), Rule: "200 to 60000", Help: "bound: from an acknowledged change until every node in touch acts on it"},
	{Name: "leave_ms", Type: schema.Duration, Default: int64(2000), Check: schema.IntRange(200, 60000), Rule: "200 to 60000", Help: "bound: from a worker's leaving until no new job reaches it"},
	{Name: "window_ms", Type: schema.Duration, Default: int64(10000), Check: schema.IntRange(1000, 120000), Rule: "1000 to 120000", Help: "bound: the window over which repeats are counted"},
	{Name: "return_ms", Type: schema.Duration, Default: int64(15000), Check: schema.IntRange(500, 300000), Rule: "500 to 300000", Help: "bound: from machines coming back until service is back"},
	{Name: "history_ms", Type: schema.Duration, Default: int64(20000), Check: schema.IntRange(1000, 600000), Rule: "1000 to 600000", Help: "bound: how long watches can look back at least"},
	{Name: "retire_ms", Type: schema.Duration, Check: schema.IntRange(1000, 600000), Rule: "1000 to 600000; if not given, five twelfths of catch_up_ms, or 10000", Help: "how long a node has no session anywhere before its entries are retired"},
	{Name: "replace_ms", Type: schema.Duration, Check: schema.IntRange(1000, 600000), Rule: "1000 to 600000; if not given, a third of catch_up_ms, or 8000", Help: "how long a store is out of touch before one at a new address may take its place"},
	{Name: "catch_up_ms", Type: schema.Duration, Check: schema.IntRange(500, 600000), Rule: "500 to 600000; if not given, three times replace_ms", Help: "bound: from a core machine's loss or return until it, or an empty one in its place, counts again"},
	{Name: "touch_ms", Type: schema.Duration, Check: schema.IntRange(300, 120000), Rule: "300 to 120000; if not given, 3000 or one and a half times change_ms", Help: "how long all must have run and been joined before the other bounds hold"},
	{Name: "ack_ms", Type: schema.Duration, Default: int64(4000), Check: schema.IntRange(300, 120000), Rule: "300 to 120000", Help: "bound: from a proper change or word of leaving until it is acknowledged, in calm times"},
	{Name: "back_ms", Type: schema.Duration, Default: int64(250), Check: schema.IntRange(0, 60000), Rule: "0 to 60000", Help: "bound: after a worker saw a version, how long jobs may still go by an older one"},
	{Name: "free_ms", Type: schema.Duration, Default: int64(1500), Check: schema.IntRange(0, 60000), Rule: "0 to 60000", Help: "bound: from the end of a lock's time until another may have it"},
	{Name: "silence_ms", Type: schema.Duration, Default: int64(1000), Check: schema.IntRange(100, 60000), Rule: "100 to 60000", Help: "how long an application waits for an answer before it asks another node"},
	{Name: "grace_ms", Type: schema.Duration, Default: int64(15000), Check: schema.IntRange(500, 120000), Rule: "500 to 120000", Help: "the longest that a polite stop waits for jobs under way"},
	{Name: "frame_bytes", Type: schema.Count, Default: int64(16 << 20), Check: schema.IntRange(64<<10, 256<<20), Rule: "64 KiB to 256 MiB", Help: "bound on one frame between processes"},
	{Name: "jobs", Type: schema.Count, Default: int64(2048), Check: schema.IntRange(16, 65536), Rule: "16 to 65536", Help: "bound on calls from fellows handled at once"},
	{Name: "memory_bytes", Type: schema.Count, Default: int64(0), Check: schema.IntRange(0, 1<<40), Rule: "0 or more; 0 when not told", Help: "memory that this process may use"},
	{Name: "files", Type: schema.Count, Default: int64(0), Check: schema.IntRange(0, 1<<30), Rule: "0 or more; 0 when not told", Help: "descriptors that this process may open"},
	{Name: "ready", Type: schema.Addr, Rule: "IP number and port", Help: "a further address where readiness is told"},
}

// within gives the rows of one program: the common ones with its own. Nobody
// outside calls a store, so its outer address may be left out.
func within(outer bool, own ...schema.Field) []schema.Field {
	out := slices.Clone(common)
	for i := range out {
		if out[i].Name == "outer" && !outer {
			out[i].Required, out[i].Help = false, "where readiness is told; nowhere if not given"
		}
	}
	return append(out, own...)
}

func beats(v any) error {
	if v == int64(0) {
		return nil
	}
	return schema.IntRange(10, 60000)(v)
}

// Tables are the settings of each program.
var Tables = map[string]schema.Table{
	"proxy": {Name: "proxy", Fields: within(true,
		schema.Field{Name: "seeds", Type: schema.Addrs, Required: true, Check: some, Rule: "1 to 9 addresses", Help: "inner addresses of registries"},
		schema.Field{Name: "traffic", Type: schema.Addr, Required: true, Rule: "IP number and port", Help: "where callers send their jobs"},
		schema.Field{Name: "body_bytes", Type: schema.Count, Default: int64(1 << 20), Check: schema.IntRange(1024, 8<<20), Rule: "1 KiB to 8 MiB", Help: "bound on the body of a job and of an answer"},
		schema.Field{Name: "beat_ms", Type: schema.Duration, Default: int64(0), Check: beats, Rule: "0, or 10 to 60000", Help: "how often the own worker beats; 0 means that it does so as it is told"},
		schema.Field{Name: "service", Type: schema.Text, Check: schema.IsName, Rule: "a name", Help: "the service of the worker beside this node, if it is known beforehand"},
		schema.Field{Name: "worker_addr", Type: schema.Addr, Rule: "IP number and port", Help: "the only address that this node's worker may have, if it is known beforehand"},
		schema.Field{Name: "repeat_share", Type: schema.Number, Default: 0.0, Check: schema.FloatRange(0, 1), Rule: "0 to 1; 0 of both leaves it to the document", Help: "bound: repeats to a service as a part of its first sends, over the window"},
		schema.Field{Name: "repeat_allowance", Type: schema.Count, Default: int64(0), Check: schema.IntRange(0, 100000), Rule: "0 to 100000; 0 of both leaves it to the document", Help: "bound: repeats besides, mesh-wide, over the window"})},
	"registry": {Name: "registry", Fields: within(true,
		schema.Field{Name: "seeds", Type: schema.Addrs, Required: true, Check: some, Rule: "1 to 9 addresses", Help: "inner addresses of registries, this one among them or not"},
		schema.Field{Name: "stores", Type: schema.Addrs, Required: true, Check: some, Rule: "1 to 9 addresses", Help: "inner addresses of stores, that of the own machine first"},
		schema.Field{Name: "data", Type: schema.Text, Rule: "a folder", Help: "the data folder, where the registrations outlive the loss of all processes; not kept if not given"})},
	"store": {Name: "store", Fields: within(false,
		schema.Field{Name: "seeds", Type: schema.Addrs, Required: true, Check: some, Rule: "1 to 9 addresses", Help: "inner addresses of stores; at the founding all of them are empty"},
		schema.Field{Name: "data", Type: schema.Text, Required: true, Rule: "a folder", Help: "the data folder"},
		schema.Field{Name: "disk_bytes", Type: schema.Count, Default: int64(0), Check: schema.IntRange(0, 1<<50), Rule: "0 or more; 0 when not told", Help: "room that the data folder has"},
		schema.Field{Name: "state_bytes", Type: schema.Count, Default: int64(0), Check: schema.IntRange(0, 1<<30), Rule: "0 to 1 GiB; 0: an eighth of memory_bytes or of disk_bytes, whichever is less, or 64 MiB", Help: "bound on the replicated state; changes that would make it larger are refused, undone"},
		schema.Field{Name: "founding", Type: schema.Flag, Default: true, Rule: "true or false", Help: "whether an empty store may found a mesh; without it, it only joins one"},
		schema.Field{Name: "bear", Type: schema.Count, Default: int64(1), Check: schema.IntRange(0, 100), Rule: "0 to 100", Help: "stores that may be lost at once; twice as many and one vote"},
		schema.Field{Name: "bear_areas", Type: schema.Count, Default: int64(0), Check: schema.IntRange(0, 100), Rule: "0 to 100", Help: "areas that may be lost at once, with all their stores"},
		schema.Field{Name: "bear_regions", Type: schema.Count, Default: int64(0), Check: schema.IntRange(0, 100), Rule: "0 to 100", Help: "regions that may be lost at once, with all their stores"},
		schema.Field{Name: "region", Type: schema.Text, Check: schema.IsName, Rule: "a name", Help: "the region of the area, if there are several"})},
}
