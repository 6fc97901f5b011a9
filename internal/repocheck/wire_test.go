package repocheck

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"sort"
	"strings"
	"testing"

	"puffincrank/internal/ormap"
	"puffincrank/internal/paxos"
	"puffincrank/internal/plumtree"
	"puffincrank/internal/protocol"
	"puffincrank/internal/proxy"
	"puffincrank/internal/registry"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/store"
	"puffincrank/internal/transport"
)

// version is the release whose list of wire and file fields is written by -update. It
// changes with each release; the lists of earlier releases are kept.
const version = "v0.1.0"

// fields adds the encoded names and the types of a type's fields, recursively.
func fields(into map[string]bool, t reflect.Type) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Map {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || t.PkgPath() == "time" {
		return
	}
	for i := range t.NumField() {
		f := t.Field(i)
		tag, _, _ := strings.Cut(f.Tag.Get("msgpack"), ",")
		if tag == "" {
			tag = f.Name
		}
		if !f.IsExported() || tag == "-" {
			continue
		}
		line := fmt.Sprintf("%s %s %s", t, tag, f.Type)
		if into[line] {
			continue
		}
		into[line] = true
		fields(into, f.Type)
	}
}

// renamed maps the recorded Go names of types to their present names. Names of types are
// not encoded.
var renamed = map[string]string{
	"Checkpoint":   "Snapshot",
	"Receipt":      "Result",
	"AddStore":     "AddMember",
	"FenceDuty":    "FenceRole",
	"FreeLock":     "ReleaseLock",
	"PutCell":      "PutGroupKey",
	"RemoveStore":  "RemoveMember",
	"ReplaceStore": "ReplaceMember",
	"TakeLock":     "AcquireLock",
	"TrimPast":     "CompactChanges",
	"TrimPuts":     "CompactPuts",
	"WantStores":   "SetVoterCount",
}

// formerNames matches type names of a recorded line that may have changed: those of two
// packages, one of which was renamed, and those of commands.
var formerNames = regexp.MustCompile(`(\bledger\.|\bpaxos\.|^command [a-z.]+ )(\w+)`)

// currentTypes maps qualified type names that were recorded under another package or name
// to the present ones.
var currentTypes = map[string]string{
	"class.Use":         "admission.ClassUsage",
	"member.Fellow":     "membership.Member",
	"ormap.Grave":       "ormap.Tombstone",
	"proxy.DrainAsk":    "proxy.DrainRequest",
	"proxy.StatusAsk":   "proxy.StatusRequest",
	"proxy.counts":      "proxy.requestCounts",
	"hlc.Stamp":         "hlc.Timestamp",
	"store.acceptAsk":   "store.acceptRequest",
	"store.ballotAsk":   "store.voteRequest",
	"store.ballotVote":  "store.voteResponse",
	"store.beatAsk":     "store.heartbeatRequest",
	"store.fetchAsk":    "store.fetchRequest",
	"store.fetchGot":    "store.fetchResponse",
	"store.foundAsk":    "store.probeRequest",
	"store.foundGot":    "store.probeResponse",
	"store.joinAsk":     "store.joinRequest",
	"store.joinGot":     "store.joinResponse",
	"store.vacateAsk":   "store.vacateRequest",
	"session.Back":      "protocol.AttemptResult",
	"session.Beat":      "protocol.Heartbeat",
	"session.Hand":      "protocol.AttemptRequest",
	"session.Outer":     "protocol.ForwardedCall",
	"session.OuterBack": "protocol.ForwardedResponse",
	"session.Push":      "protocol.ConfigPush",
	"session.Receipt":   "protocol.HeartbeatResponse",
	"session.Report":    "protocol.TrialReport",
	"session.Share":     "protocol.SessionReport",
	"session.ShareBack": "protocol.SessionReportResponse",
	"session.Tally":     "protocol.ArmCounts",
	"store.DutyAsk":     "store.RoleBallot",
	"store.DutyVote":    "store.RoleVote",
	"store.Given":       "store.LeaderResponse",
	"store.Offer":       "store.ProposeRequest",
	"store.Query":       "store.ReadRequest",
	"store.RemoveAsk":   "store.RemoveRequest",
	"wire.Hello":        "transport.Hello",
}

// qualifiedType matches the package-qualified type names of a recorded line.
var qualifiedType = regexp.MustCompile(`\b[a-z]+\.[A-Za-z]\w*`)

// ofNow returns a recorded line with the present type names.
func ofNow(line string) string {
	line = formerNames.ReplaceAllStringFunc(line, func(found string) string {
		part := formerNames.FindStringSubmatch(found)
		name := part[2]
		if now, ok := renamed[name]; ok {
			name = now
		}
		return strings.Replace(part[1], "ledger.", "statemachine.", 1) + name
	})
	return qualifiedType.ReplaceAllStringFunc(line, func(found string) string {
		if now, ok := currentTypes[found]; ok {
			return now
		}
		return found
	})
}

// TestFields checks that every field that an earlier version sent or stored still exists with
// its name and type, so that versions can be mixed during a rolling upgrade or downgrade. Old
// versions ignore new fields.
func TestFields(t *testing.T) {
	now := map[string]bool{}
	all := append(store.Messages(), transport.Hello{}, protocol.Heartbeat{}, protocol.HeartbeatResponse{}, protocol.ConfigPush{}, protocol.ConfigPushResponse{}, protocol.MemberListRequest{}, protocol.MemberListResponse{}, protocol.SessionReport{}, protocol.SessionReportResponse{}, protocol.ForwardedCall{},
		protocol.ForwardedResponse{}, protocol.TrialReport{}, protocol.AttemptRequest{}, protocol.AttemptResult{}, ormap.Delta{}, plumtree.Message{}, paxos.Entry{}, paxos.Identity{}, paxos.Snapshot{},
		statemachine.State{}, statemachine.Packed{}, proxy.Status{}, proxy.StatusRequest{}, proxy.DrainRequest{}, registry.Status{})
	for name, c := range statemachine.Kinds() {
		now["command "+name+" "+reflect.TypeOf(c).Elem().Name()] = true
		all = append(all, c)
	}
	for _, m := range all {
		fields(now, reflect.TypeOf(m))
	}
	if len(now) < 200 {
		t.Fatalf("only %d fields were found", len(now))
	}
	file := filepath.Join("testdata", "fields-"+version+".txt")
	if *update {
		var lines []string
		for l := range now {
			lines = append(lines, l)
		}
		sort.Strings(lines)
		// Two files, so that neither exceeds the limit of 250 lines.
		half := len(lines) / 2
		_ = os.MkdirAll("testdata", 0o755)
		for name, part := range map[string][]string{file: lines[:half], strings.TrimSuffix(file, ".txt") + "-2.txt": lines[half:]} {
			if err := os.WriteFile(name, []byte(strings.Join(part, "\n")+"\n"), 0o644); err != nil {
				t.Fatal(err)
			}
		}
	}
	old, err := filepath.Glob("testdata/fields-*.txt")
	if err != nil || len(old) == 0 {
		t.Fatalf("no earlier version is on record: %v", err)
	}
	for _, name := range old {
		raw, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
			if !now[ofNow(line)] {
				t.Errorf("%s: gone or changed: %s", name, line)
			}
		}
	}
}
