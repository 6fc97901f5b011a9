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

type noArguments struct{}

type configGet struct {
	Version uint64 `arg:"--version" help:"an earlier version"`
}
type configFile struct {
	File string `arg:"positional,required" help:"the document"`
}
type configApply struct {
	File        string `arg:"positional,required" help:"the document"`
	BaseVersion int64  `arg:"--based-on,required" help:"the version that the document is based on; 0 for the first"`
	Emergency   bool   `arg:"--emergency" help:"apply at once, without a rehearsal; logged as such"`
	Author      string `arg:"--who" help:"who proposes, for the history"`
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
	Op         string `arg:"positional,required" help:"list, get, put or delete"`
	Name       string `arg:"positional" help:"the key, or the prefix to list"`
	Value      string `arg:"positional" help:"the value to put"`
	IfRevision *int64 `arg:"--if-rev" help:"only when the key's revision is this; 0: must not be there"`
}
type watchCmd struct {
	Prefix string `arg:"positional" help:"keys that begin so"`
	From   uint64 `arg:"--from" help:"the revision to begin at; default: what comes next"`
	Count  int    `arg:"--count" help:"stop after so many changes"`
}
type proposeCmd struct {
	Path            string   `arg:"positional,required" help:"the path to change"`
	BaseVersion     uint64   `arg:"--based-on,required" help:"the version that the proposal is based on"`
	Slice           *float64 `arg:"--slice" help:"percent of its jobs"`
	Service         *string  `arg:"--service"`
	Split           *string  `arg:"--split" help:"services with their weights: a=90,b=10"`
	Class           *string  `arg:"--class"`
	Rank            *int64   `arg:"--rank" help:"0 matters most"`
	TimeoutMS       *int64   `arg:"--left-ms"`
	TargetLatencyMS *int64   `arg:"--aim-ms"`
	Retry           *string  `arg:"--repeat" help:"never, safe, upload or download"`
	Attempts        *int64   `arg:"--tries"`
	Author          string   `arg:"--who" help:"who proposes, for the history"`
}
type trialsCmd struct {
	Op     string `arg:"positional" default:"list" help:"list, show, watch or abort"`
	ID     uint64 `arg:"positional" help:"the trial"`
	Author string `arg:"--who" help:"who aborts, for the history"`
}
type drainCmd struct {
	Node string `arg:"positional,required" help:"the node whose workers are drained"`
	Undo bool   `arg:"--undo" help:"let them take jobs again"`
}
type removeStoreCmd struct {
	ID string `arg:"positional,required" help:"the replica id, see status --json"`
}
type eventsCmd struct {
	Node  string `arg:"--node" help:"only of this node"`
	Name  string `arg:"--name" help:"only of this name or number"`
	Limit int    `arg:"--last" default:"50" help:"the newest so many"`
}

type args struct {
	Addresses   string          `arg:"--at,env:PUFFIN_AT" help:"outer addresses of nodes, with commas; the first that answers is used" default:"127.0.0.1:7003"`
	JSON        bool            `arg:"--json" help:"print JSON instead of tables"`
	Timeout     string          `arg:"--wait" default:"10s" help:"how long one node may take"`
	Status      *noArguments    `arg:"subcommand:status" help:"the whole fleet in short"`
	Nodes       *noArguments    `arg:"subcommand:nodes" help:"every node: role, area, session, version"`
	Workers     *noArguments    `arg:"subcommand:workers" help:"every worker: service, state, slots, fitness"`
	Services    *noArguments    `arg:"subcommand:services" help:"every entry of the service registry"`
	Roles       *noArguments    `arg:"subcommand:duties" help:"who writes, judges and is steward"`
	Classes     *noArguments    `arg:"subcommand:classes" help:"shares, use, lent and borrowed at each worker"`
	Paths       *noArguments    `arg:"subcommand:paths" help:"the paths (routes) in force"`
	Routes      *noArguments    `arg:"subcommand:routes" help:"the same as paths"`
	Config      *configCmd      `arg:"subcommand:config" help:"get, check, apply or diff the configuration"`
	History     *noArguments    `arg:"subcommand:history" help:"each version, who proposed it, why it stands"`
	Events      *eventsCmd      `arg:"subcommand:events" help:"the newest events of all nodes"`
	Propose     *proposeCmd     `arg:"subcommand:propose" help:"try a change of one path on a slice of its jobs"`
	Trials      *trialsCmd      `arg:"subcommand:trials" help:"list, show, watch or abort trials"`
	Drain       *drainCmd       `arg:"subcommand:drain" help:"drain a node's workers, or undo it"`
	RemoveStore *removeStoreCmd `arg:"subcommand:remove-store" help:"take a store out of the core, by its replica id"`
	Lock        *lockCmd        `arg:"subcommand:lock" help:"locks of applications"`
	Number      *numberCmd      `arg:"subcommand:number" help:"rising numbers of applications"`
	Key         *keyCmd         `arg:"subcommand:key" help:"small keys of applications"`
	Watch       *watchCmd       `arg:"subcommand:watch" help:"changes of keys as they come"`
}

// Epilogue returns the text at the end of the help.
func (args) Epilogue() string {
	return "Exit codes: 0 done; 1 refused, with the reasons; 2 wrong usage; 3 no node reached;\n4 outcome unknown (the change may have been done); 5 no majority, nothing was done."
}

// Dial opens a connection to a node.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Main runs one command and returns its exit code.
func Main(argv []string, stdout, stderr io.Writer) int {
	return Run(argv, stdout, stderr, (&net.Dialer{Timeout: 3 * time.Second}).DialContext)
}

// Run is Main with the given function for connections.
func Run(argv []string, stdout, stderr io.Writer, dial Dial) int {
	// 'config get' has a --version flag of its own, which takes a number.
	if slices.Contains(argv, "--version") && !slices.Contains(argv, "get") {
		fmt.Fprintln(stdout, version.Line("puffinctl"))
		return ExitOK
	}
	var parsed args
	parser, err := arg.NewParser(arg.Config{Program: "puffinctl", Out: stdout}, &parsed)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	err = parser.Parse(argv)
	if errors.Is(err, arg.ErrHelp) {
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return ExitOK
	}
	if err == nil && parser.Subcommand() == nil {
		err = errors.New("a command is needed")
	}
	timeout, timeoutErr := time.ParseDuration(parsed.Timeout)
	if err == nil {
		err = timeoutErr
	}
	if err != nil {
		fmt.Fprintf(stderr, "puffinctl: %v; see --help\n", err)
		return ExitUsage
	}
	var addresses []string
	for _, address := range strings.Split(parsed.Addresses, ",") {
		if address = strings.TrimSpace(address); address != "" {
			addresses = append(addresses, address)
		}
	}
	c := &client{addresses: addresses, timeout: timeout, stderr: stderr, dial: dial}
	return (&command{client: c, args: parsed, requestID: newRequestID(), stdout: stdout, stderr: stderr}).run()
}
