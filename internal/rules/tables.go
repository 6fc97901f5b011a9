// Package rules checks the operators' configuration document against its tables and compiles each
// version once into the form that the request interpreter runs.
package rules

import (
	"errors"
	"strings"

	"puffincrank/internal/schema"
)

func checkPrefix(value any) error {
	prefix, _ := value.(string)
	if !strings.HasPrefix(prefix, "/") || len(prefix) > 256 || strings.ContainsAny(prefix, "?# ") || strings.Contains(prefix, "//") {
		return errors.New("must begin with / and have no query, space or double slash")
	}
	if strings.HasPrefix(prefix, "/puffin/") || prefix == "/puffin" {
		return errors.New("/puffin is the mesh's own")
	}
	return nil
}

func checkHost(value any) error {
	host, _ := value.(string)
	if host == "" || len(host) > 260 || strings.ContainsFunc(host, func(r rune) bool { return r <= ' ' || r == 0x7f || strings.ContainsRune("/?#@\\", r) }) {
		return errors.New("must be a host name, not empty")
	}
	if normalizeHost(host) == "" {
		return errors.New("must be a host name before its port")
	}
	return nil
}

func checkHealthPath(value any) error {
	path, _ := value.(string)
	if !strings.HasPrefix(path, "/") || len(path) > 256 || strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '#' }) {
		return errors.New("must begin with / and have no space")
	}
	return nil
}

func checkNoTLS(value any) error {
	if value != false {
		return errors.New("TLS to workers is not spoken")
	}
	return nil
}

// The tables of the document, in the order in which the generated documentation lists them.
var (
	DocumentTable = schema.Table{Name: "document", Fields: []schema.Field{
		{Name: "version", Type: schema.Count, Check: schema.IntRange(1, 1<<60), Rule: "1 or more", Help: "the operator's own number of the document; with it, names that this program doesn't know are passed over"},
		{Name: "services", Type: schema.Objects, Required: true, Rule: "at least one, unless numbered", Help: "the services, see below"},
		{Name: "classes", Type: schema.Objects, Rule: "shares add up to 100", Help: "the classes of service, see below; worked out from the ranks when left out"},
		{Name: "paths", Type: schema.Objects, Required: true, Rule: "at least one, unless numbered; no two alike", Help: "the paths (routes), see below"},
		{Name: "limits", Type: schema.Object, Rule: "see below", Help: "bounds on repeats and queues"},
		{Name: "judge", Type: schema.Object, Rule: "see below", Help: "bounds by which trials are judged"},
	}}
	ServiceTable = schema.Table{Name: "services", Fields: []schema.Field{
		{Name: "name", Type: schema.Text, Required: true, Check: schema.IsName, Rule: "a name, its own", Help: "what workers register under"},
		{Name: "fitness", Type: schema.Text, Check: checkHealthPath, Rule: "begins with /", Help: "the URL path where its workers are asked for their health; the mesh's own when left out"},
		{Name: "links", Type: schema.Count, Default: int64(0), Check: schema.IntRange(0, 1<<30), Rule: "0 or more", Help: "connections that one worker takes from all callers; 0: no bound is told"},
		{Name: "proto", Type: schema.Text, Default: "h1", Check: schema.OneOf("h1"), Rule: "h1", Help: "what its workers speak: HTTP/1.1"},
		{Name: "tls", Type: schema.Flag, Default: false, Check: checkNoTLS, Rule: "false", Help: "TLS to workers is not spoken"},
	}}
	ClassTable = schema.Table{Name: "classes", Fields: []schema.Field{
		{Name: "name", Type: schema.Text, Required: true, Check: schema.IsName, Rule: "a name, its own", Help: "the class"},
		{Name: "share", Type: schema.Number, Required: true, Check: schema.FloatRange(0, 100), Rule: "0 to 100", Help: "percent of each worker's slots"},
	}}
	RouteTable = schema.Table{Name: "paths", Fields: []schema.Field{
		{Name: "name", Type: schema.Text, Required: true, Check: schema.IsName, Rule: "a name, its own", Help: "the path"},
		{Name: "method", Type: schema.Text, Default: "any", Check: schema.OneOf("any", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"), Rule: "any, GET, HEAD, POST, PUT, PATCH or DELETE", Help: "the method matched"},
		{Name: "host", Type: schema.Text, Check: checkHost, Rule: "a host name", Help: "the host matched, whatever its case and port; any when left out"},
		{Name: "prefix", Type: schema.Text, Required: true, Check: checkPrefix, Rule: "begins with /, not under /puffin", Help: "what the URL path begins with, by whole segments; the longest match wins, see below"},
		{Name: "service", Type: schema.Text, Check: schema.IsName, Rule: "one of services", Help: "whose workers serve it; this or split"},
		{Name: "split", Type: schema.Objects, Rule: "one weight over 0", Help: "several services that share its jobs, see below"},
		{Name: "class", Type: schema.Text, Check: schema.IsName, Rule: "one of classes, required with them", Help: "whose share of the slots it takes"},
		{Name: "rank", Type: schema.Count, Default: int64(0), Check: schema.IntRange(0, 1000), Rule: "0 to 1000", Help: "how much it matters, 0 most; its class in a document without classes"},
		{Name: "left_ms", Type: schema.Duration, Default: int64(1000), Check: schema.IntRange(1, 3600_000), Rule: "1 to 3600000", Help: "time left that a job starts with"},
		{Name: "aim_ms", Type: schema.Duration, Check: schema.IntRange(1, 3600_000), Rule: "1 to 3600000", Help: "time within which an answer is of full use; a quarter of left_ms when left out"},
		{Name: "repeat", Type: schema.Text, Default: "never", Check: schema.OneOf("never", "safe", "upload", "download"), Rule: "never, safe, upload or download", Help: "whether a job may be sent again when it may have run; upload is never with large bodies, download is safe with large answers"},
		{Name: "tries", Type: schema.Count, Default: int64(3), Check: schema.IntRange(1, 1000), Rule: "1 to 1000", Help: "sends at the most, the first included"},
		{Name: "trial", Type: schema.Object, Rule: "set by the mesh", Help: "the other arm of a running trial; not for operators"},
	}}
	TrialTable = schema.Table{Name: "trial", Fields: []schema.Field{
		{Name: "id", Type: schema.Count, Required: true, Check: schema.IntRange(1, 1<<60), Rule: "a number", Help: "the trial"},
		{Name: "slice", Type: schema.Number, Required: true, Check: schema.FloatRange(0.1, 50), Rule: "0.1 to 50", Help: "percent of the path's jobs"},
		{Name: "service", Type: schema.Text, Check: schema.IsName, Rule: "one of services", Help: "as in paths"},
		{Name: "split", Type: schema.Objects, Rule: "one weight over 0", Help: "as in paths"},
		{Name: "class", Type: schema.Text, Check: schema.IsName, Rule: "one of classes, required with them", Help: "as in paths"},
		{Name: "rank", Type: schema.Count, Default: int64(0), Check: schema.IntRange(0, 1000), Rule: "0 to 1000", Help: "as in paths"},
		{Name: "left_ms", Type: schema.Duration, Required: true, Check: schema.IntRange(1, 3600_000), Rule: "1 to 3600000", Help: "as in paths"},
		{Name: "aim_ms", Type: schema.Duration, Check: schema.IntRange(1, 3600_000), Rule: "1 to 3600000", Help: "as in paths"},
		{Name: "repeat", Type: schema.Text, Required: true, Check: schema.OneOf("never", "safe", "upload", "download"), Rule: "never, safe, upload or download", Help: "as in paths"},
		{Name: "tries", Type: schema.Count, Required: true, Check: schema.IntRange(1, 1000), Rule: "1 to 1000", Help: "as in paths"},
	}}
	SplitTable = schema.Table{Name: "split", Fields: []schema.Field{
		{Name: "service", Type: schema.Text, Required: true, Check: schema.IsName, Rule: "one of services", Help: "whose workers serve a part of the jobs"},
		{Name: "weight", Type: schema.Number, Required: true, Check: schema.FloatRange(0, 1e9), Rule: "0 to 1e9", Help: "its part, as a ratio to the sum of the weights"},
	}}
	LimitsTable = schema.Table{Name: "limits", Fields: []schema.Field{
		{Name: "repeat_share", Type: schema.Number, Default: 0.2, Check: schema.FloatRange(0, 1), Rule: "0 to 1", Help: "repeats to a service as a part of its first sends, over the window"},
		{Name: "repeat_allowance", Type: schema.Count, Default: int64(10), Check: schema.IntRange(0, 1000), Rule: "0 to 1000", Help: "repeats besides, mesh-wide, over the window"},
		{Name: "queue_share", Type: schema.Number, Default: 1.0, Check: schema.FloatRange(0, 10), Rule: "0 to 10", Help: "jobs that may wait for a class at a worker, as a ratio to its slots"},
		{Name: "head_bytes", Type: schema.Count, Default: int64(65536), Check: schema.IntRange(1, 1<<40), Rule: "1 or more", Help: "bound on the header of a caller's job"},
		{Name: "body_bytes", Type: schema.Count, Default: int64(0), Check: schema.IntRange(0, 1<<40), Rule: "0 or more", Help: "bound on the body of a caller's job; 0: the prop's"},
		{Name: "head_ms", Type: schema.Duration, Default: int64(0), Check: schema.IntRange(0, 86400_000), Rule: "0 to 86400000", Help: "time in which a header must be read; 0: worked out from the props"},
		{Name: "idle_ms", Type: schema.Duration, Default: int64(0), Check: schema.IntRange(0, 86400_000), Rule: "0 to 86400000", Help: "time after which a caller's idle connection is closed; 0: worked out from the props"},
	}}
	JudgeTable = schema.Table{Name: "judge", Fields: []schema.Field{
		{Name: "slice", Type: schema.Number, Default: 10.0, Check: schema.FloatRange(0.1, 50), Rule: "0.1 to 50", Help: "percent of a path's jobs that try a change"},
		{Name: "least_jobs", Type: schema.Count, Default: int64(100), Check: schema.IntRange(10, 1000000), Rule: "10 to 1000000", Help: "jobs of the new arm before it is judged"},
		{Name: "least_ms", Type: schema.Duration, Default: int64(5000), Check: schema.IntRange(100, 3600000), Rule: "100 to 3600000", Help: "time before it is judged"},
		{Name: "most_ms", Type: schema.Duration, Default: int64(120000), Check: schema.IntRange(100, 86400000), Rule: "100 to 86400000, over least_ms", Help: "time after which it is held back for want of jobs"},
		{Name: "risk", Type: schema.Number, Default: 0.01, Check: schema.FloatRange(0.0001, 0.5), Rule: "0.0001 to 0.5", Help: "how sure the failure test must be: chance of holding back an equal change"},
		{Name: "fail_margin", Type: schema.Number, Default: 0.02, Check: schema.FloatRange(0, 1), Rule: "0 to 1", Help: "failure rate above the old arm's that is put up with"},
		{Name: "slow_ratio", Type: schema.Number, Default: 1.5, Check: schema.FloatRange(1, 100), Rule: "1 to 100", Help: "how many times the old arm's latency quantile is put up with"},
		{Name: "quantile", Type: schema.Number, Default: 0.9, Check: schema.FloatRange(0.5, 0.99), Rule: "0.5 to 0.99", Help: "the latency quantile compared"},
	}}
)

// Tables lists the tables for the generated documentation.
var Tables = []schema.Table{DocumentTable, ServiceTable, ClassTable, RouteTable, SplitTable, TrialTable, LimitsTable, JudgeTable}
