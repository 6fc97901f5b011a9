package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"puffincrank/internal/version"
)

type none struct{}

type configGet struct {
	Version uint64 `arg:"--version" help:"an earlier version"`
}
type configFile struct {
	File string `arg:"positional,required" help:"the document"`
}
type configApply struct {
	File string `arg:"positional,required" help:"the document"`
	Base int64  `arg:"--based-on,required" help:"the version that the document is based on; 0 for the first"`
	Now  bool   `arg:"--emergency" help:"apply at once, without a rehearsal; logged as such"`
	Who  string `arg:"--who" help:"who proposes, for the history"`
}
type configCmd struct {
	Get   *configGet   `arg:"subcommand:get" help:"print the configuration in force"`
	Check *configFile  `arg:"subcommand:check" help:"check a document, change nothing"`
	Apply *configApply `arg:"subcommand:apply" help:"put a whole document in force"`
	Diff  *configFile  `arg:"subcommand:diff" help:"compare a document with what is in force"`
}
type lockCmd struct {
	Op    string `arg:"positional,required" help:"list, get, acquire, renew or release"`
	Name  string `arg:"positional" help:"the lock"`
	Owner string `arg:"--owner" default:"operator"`
	TTL   int64  `arg:"--ttl-ms" default:"10000"`
	Fence uint64 `arg:"--fence"`
}
type numberCmd struct {
	Op   string `arg:"positional,required" help:"get or next"`
	Name string `arg:"positional,required" help:"the row of numbers"`
}
type keyCmd struct {
	Op    string `arg:"positional,required" help:"list, get, put or delete"`
	Name  string `arg:"positional" help:"the key, or the prefix to list"`
	Value string `arg:"positional" help:"the value to put"`
	If    *int64 `arg:"--if-rev" help:"only when the key's revision is this; 0: must not be there"`
}
type watchCmd struct {
	Prefix string `arg:"positional" help:"keys that begin so"`
	From   uint64 `arg:"--from" help:"the revision to begin at; default: what comes next"`
	Count  int    `arg:"--count" help:"stop after so many changes"`
}
type proposeCmd struct {
	Path    string   `arg:"positional,required" help:"the path to change"`
	Base    uint64   `arg:"--based-on,required" help:"the version that the proposal is based on"`
	Slice   *float64 `arg:"--slice" help:"percent of its jobs"`
	Service *string  `arg:"--service"`
	Split   *string  `arg:"--split" help:"services with their weights: a=90,b=10"`
	Class   *string  `arg:"--class"`
	Rank    *int64   `arg:"--rank" help:"0 matters most"`
	Left    *int64   `arg:"--left-ms"`
	Aim     *int64   `arg:"--aim-ms"`
	Repeat  *string  `arg:"--repeat" help:"never, safe, upload or download"`
	Tries   *int64   `arg:"--tries"`
	Who     string   `arg:"--who" help:"who proposes, for the history"`
}
type trialsCmd struct {
	Op  string `arg:"positional" default:"list" help:"list, show, watch or abort"`
	ID  uint64 `arg:"positional" help:"the trial"`
	Who string `arg:"--who" help:"who aborts, for the history"`
}
type drainCmd struct {
	Node string `arg:"positional,required" help:"the node whose workers are drained"`
	Undo bool   `arg:"--undo" help:"let them take jobs again"`
}
type removeCmd struct {
	ID string `arg:"positional,required" help:"the replica id, see status --json"`
}
type eventsCmd struct {
	Node string `arg:"--node" help:"only of this node"`
	Name string `arg:"--name" help:"only of this name or number"`
	Last int    `arg:"--last" default:"50" help:"the newest so many"`
}

type args struct {
	At       string      `arg:"--at,env:PUFFIN_AT" help:"outer addresses of nodes, with commas; the first that answers is used" default:"127.0.0.1:7003"`
	JSON     bool        `arg:"--json" help:"print JSON instead of tables"`
	Wait     string      `arg:"--wait" default:"10s" help:"how long one node may take"`
	Status   *none       `arg:"subcommand:status" help:"the whole fleet in short"`
	Nodes    *none       `arg:"subcommand:nodes" help:"every node: role, area, session, version"`
	Workers  *none       `arg:"subcommand:workers" help:"every worker: service, state, slots, fitness"`
	Services *none       `arg:"subcommand:services" help:"every entry of the service registry"`
	Duties   *none       `arg:"subcommand:duties" help:"who writes, judges and is steward"`
	Classes  *none       `arg:"subcommand:classes" help:"shares, use, lent and borrowed at each worker"`
	Paths    *none       `arg:"subcommand:paths" help:"the paths (routes) in force"`
	Routes   *none       `arg:"subcommand:routes" help:"the same as paths"`
	Config   *configCmd  `arg:"subcommand:config" help:"get, check, apply or diff the configuration"`
	History  *none       `arg:"subcommand:history" help:"each version, who proposed it, why it stands"`
	Events   *eventsCmd  `arg:"subcommand:events" help:"the newest events of all nodes"`
	Propose  *proposeCmd `arg:"subcommand:propose" help:"try a change of one path on a slice of its jobs"`
	Trials   *trialsCmd  `arg:"subcommand:trials" help:"list, show, watch or abort trials"`
	Drain    *drainCmd   `arg:"subcommand:drain" help:"drain a node's workers, or undo it"`
	Remove   *removeCmd  `arg:"subcommand:remove-store" help:"take a store out of the core, by its replica id"`
	Lock     *lockCmd    `arg:"subcommand:lock" help:"locks of applications"`
	Number   *numberCmd  `arg:"subcommand:number" help:"rising numbers of applications"`
	Key      *keyCmd     `arg:"subcommand:key" help:"small keys of applications"`
	Watch    *watchCmd   `arg:"subcommand:watch" help:"changes of keys as they come"`
}

// Epilogue ends the help.
func (args) Epilogue() string {
	return "Exit codes: 0 done; 1 refused, with the reasons; 2 wrong usage; 3 no node reached;\n4 outcome unknown (the change may have been done); 5 no majority, nothing was done."
}

// Dial opens connections to nodes.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Main runs one command and gives its exit code.
func Main(argv []string, out, say io.Writer) int {
	return Run(argv, out, say, (&net.Dialer{Timeout: 3 * time.Second}).DialContext)
}

// Run is Main over any network.
func Run(argv []string, out, say io.Writer, dial Dial) int {
	// 'config get' has a flag of the same name, which wants a number.
	if slices.Contains(argv, "--version") && !slices.Contains(argv, "get") {
		fmt.Fprintln(out, version.Line("puffinctl"))
		return ExitOK
	}
	var a args
	p, err := arg.NewParser(arg.Config{Program: "puffinctl", Out: out}, &a)
	if err != nil {
		fmt.Fprintln(say, err)
		return ExitUsage
	}
	err = p.Parse(argv)
	if errors.Is(err, arg.ErrHelp) {
		_ = p.WriteHelpForSubcommand(out, p.SubcommandNames()...)
		return ExitOK
	}
	if err == nil && p.Subcommand() == nil {
		err = errors.New("a command is needed")
	}
	wait, werr := time.ParseDuration(a.Wait)
	if err == nil {
		err = werr
	}
	if err != nil {
		fmt.Fprintf(say, "puffinctl: %v; see --help\n", err)
		return ExitUsage
	}
	var at []string
	for _, s := range strings.Split(a.At, ",") {
		if s = strings.TrimSpace(s); s != "" {
			at = append(at, s)
		}
	}
	c := &client{at: at, wait: wait, say: say, dial: dial}
	return (&command{c: c, a: a, request: newRequestID(), out: out, say: say}).run()
}
