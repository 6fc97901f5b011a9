// Package rules reads the operators' configuration by its tables and compiles
// it once for each version into what the interpreter of jobs runs.
package rules

import (
	"errors"
	"strings"

	"puffincrank/internal/settings"
)

func prefix(v any) error {
	s, _ := v.(string)
	if !strings.HasPrefix(s, "/") || len(s) > 256 || strings.ContainsAny(s, "?# ") || strings.Contains(s, "//") {
		return errors.New("must begin with / and have no query, space or double slash")
	}
	if strings.HasPrefix(s, "/puffin/") || s == "/puffin" {
		return errors.New("/puffin is the mesh's own")
	}
	return nil
}

// Tables of the document, in the order of the docs.
var (
	TabDoc = settings.Table{Name: "document", Rows: []settings.Setting{
		{Name: "services", Type: settings.Rows, Must: true, Rule: "at least one", Help: "the services, see below"},
		{Name: "classes", Type: settings.Rows, Must: true, Rule: "shares add up to 100", Help: "the classes of service, see below"},
		{Name: "paths", Type: settings.Rows, Must: true, Rule: "no two alike", Help: "the paths (routes), see below"},
		{Name: "limits", Type: settings.Row, Rule: "see below", Help: "bounds on repeats and queues"},
		{Name: "judge", Type: settings.Row, Rule: "see below", Help: "bounds by which trials are judged"},
	}}
	TabService = settings.Table{Name: "services", Rows: []settings.Setting{
		{Name: "name", Type: settings.Text, Must: true, Check: settings.Word, Rule: "a name, its own", Help: "what workers register under"},
	}}
	TabClass = settings.Table{Name: "classes", Rows: []settings.Setting{
		{Name: "name", Type: settings.Text, Must: true, Check: settings.Word, Rule: "a name, its own", Help: "the class"},
		{Name: "share", Type: settings.Share, Must: true, Check: settings.Within(0, 100), Rule: "0 to 100", Help: "percent of each worker's slots"},
	}}
	TabPath = settings.Table{Name: "paths", Rows: []settings.Setting{
		{Name: "name", Type: settings.Text, Must: true, Check: settings.Word, Rule: "a name, its own", Help: "the path"},
		{Name: "method", Type: settings.Text, Def: "any", Check: settings.OneOf("any", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"), Rule: "any, GET, HEAD, POST, PUT, PATCH or DELETE", Help: "the method matched"},
		{Name: "prefix", Type: settings.Text, Must: true, Check: prefix, Rule: "begins with /, not under /puffin", Help: "the URL path, by whole segments; the longest match wins"},
		{Name: "service", Type: settings.Text, Must: true, Check: settings.Word, Rule: "one of services", Help: "whose workers serve it"},
		{Name: "class", Type: settings.Text, Must: true, Check: settings.Word, Rule: "one of classes", Help: "whose share of the slots it takes"},
		{Name: "left_ms", Type: settings.Span, Def: int64(1000), Check: settings.In(10, 60000), Rule: "10 to 60000", Help: "time left that a job starts with"},
		{Name: "repeat", Type: settings.Text, Def: "never", Check: settings.OneOf("never", "safe"), Rule: "never or safe", Help: "whether a job may be sent again when it may have run"},
		{Name: "tries", Type: settings.Count, Def: int64(3), Check: settings.In(1, 10), Rule: "1 to 10", Help: "sends at the most, the first included"},
		{Name: "trial", Type: settings.Row, Rule: "set by the mesh", Help: "the other arm of a running trial; not for operators"},
	}}
	TabTrial = settings.Table{Name: "trial", Rows: []settings.Setting{
		{Name: "id", Type: settings.Count, Must: true, Check: settings.In(1, 1<<60), Rule: "a number", Help: "the trial"},
		{Name: "slice", Type: settings.Share, Must: true, Check: settings.Within(0.1, 50), Rule: "0.1 to 50", Help: "percent of the path's jobs"},
		{Name: "service", Type: settings.Text, Must: true, Check: settings.Word, Rule: "one of services", Help: "as in paths"},
		{Name: "class", Type: settings.Text, Must: true, Check: settings.Word, Rule: "one of classes", Help: "as in paths"},
		{Name: "left_ms", Type: settings.Span, Must: true, Check: settings.In(10, 60000), Rule: "10 to 60000", Help: "as in paths"},
		{Name: "repeat", Type: settings.Text, Must: true, Check: settings.OneOf("never", "safe"), Rule: "never or safe", Help: "as in paths"},
		{Name: "tries", Type: settings.Count, Must: true, Check: settings.In(1, 10), Rule: "1 to 10", Help: "as in paths"},
	}}
	TabLimits = settings.Table{Name: "limits", Rows: []settings.Setting{
		{Name: "repeat_share", Type: settings.Share, Def: 0.2, Check: settings.Within(0, 1), Rule: "0 to 1", Help: "repeats to a service as a part of its first sends, over the window"},
		{Name: "repeat_allowance", Type: settings.Count, Def: int64(10), Check: settings.In(0, 1000), Rule: "0 to 1000", Help: "repeats besides, mesh-wide, over the window"},
		{Name: "queue_share", Type: settings.Share, Def: 1.0, Check: settings.Within(0, 10), Rule: "0 to 10", Help: "jobs that may wait for a class at a worker, as a ratio to its slots"},
	}}
	TabJudge = settings.Table{Name: "judge", Rows: []settings.Setting{
		{Name: "slice", Type: settings.Share, Def: 10.0, Check: settings.Within(0.1, 50), Rule: "0.1 to 50", Help: "percent of a path's jobs that try a change"},
		{Name: "least_jobs", Type: settings.Count, Def: int64(100), Check: settings.In(10, 1000000), Rule: "10 to 1000000", Help: "jobs of the new arm before it is judged"},
		{Name: "least_ms", Type: settings.Span, Def: int64(5000), Check: settings.In(100, 3600000), Rule: "100 to 3600000", Help: "time before it is judged"},
		{Name: "most_ms", Type: settings.Span, Def: int64(120000), Check: settings.In(100, 86400000), Rule: "100 to 86400000, over least_ms", Help: "time after which it is held back for want of jobs"},
		{Name: "risk", Type: settings.Share, Def: 0.01, Check: settings.Within(0.0001, 0.5), Rule: "0.0001 to 0.5", Help: "how sure the failure test must be: chance of holding back an equal change"},
		{Name: "fail_margin", Type: settings.Share, Def: 0.02, Check: settings.Within(0, 1), Rule: "0 to 1", Help: "failure rate above the old arm's that is put up with"},
		{Name: "slow_ratio", Type: settings.Share, Def: 1.5, Check: settings.Within(1, 100), Rule: "1 to 100", Help: "how many times the old arm's latency quantile is put up with"},
		{Name: "quantile", Type: settings.Share, Def: 0.9, Check: settings.Within(0.5, 0.99), Rule: "0.5 to 0.99", Help: "the latency quantile compared"},
	}}
)

// All lists the tables for the docs.
var All = []settings.Table{TabDoc, TabService, TabClass, TabPath, TabTrial, TabLimits, TabJudge}
