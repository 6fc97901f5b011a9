// Package settings is the settings of one process: where it stands and the
// bounds that it keeps. All other times are ratios to these bounds.
package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"puffincrank/internal/fault"
	"puffincrank/internal/schema"
)

// Settings are the checked settings of a process.
type Settings struct {
	Node, ClusterID, Zone                          string
	InternalAddr, APIAddr, TrafficAddr             string
	Seeds, Stores                                  []string
	DataDir                                        string
	ConfigBound, LeaveBound, RetryWindow           time.Duration
	RecoveryBound, WatchHistory                    time.Duration
	RetireAfter, ReplaceAfter, GracePeriod         time.Duration
	CatchUpBound, ContactTime, AckBound            time.Duration
	OldConfigBound, LockExpiryBound, ClientTimeout time.Duration
	ConfiguredHeartbeat                            time.Duration // how often the own worker beats; 0 for our own ratio
	MaxBodyBytes, MaxFrameBytes, MaxRequests       int
	MayFound                                       bool
	ToleratedMachines                              int    // machines with a disk that may be lost at once
	ToleratedZones, ToleratedRegions               int    // areas, or regions, that may be lost at once
	Region                                         string // of the area, if told
	MemoryBytes, FileLimit                         int    // bytes and descriptors of this process; 0 when not told
	DiskBytes                                      int    // bytes of the disk; 0 when not told
	ConfiguredStateBytes                           int    // bytes that the replicated state may have; 0 when it follows from memory and disk
	Service, WorkerAddr                            string // the service and address of the worker beside this node, if told
	ReadyAddr                                      string // a further address where readiness is told
	RetryRatio                                     float64
	RetryAllowance                                 int
}

// Voters is how many stores must agree so that any Bear of them may be lost, or
// as many areas or regions, if each holds one.
func (p Settings) Voters() int {
	return 2*max(p.ToleratedMachines, p.ToleratedZones, p.ToleratedRegions) + 1
}

// FromChecked turns checked values into props and checks that the parts add up.
func FromChecked(v schema.Values) (Settings, []schema.Problem) {
	ms := func(n string) time.Duration { return time.Duration(v.Count(n)) * time.Millisecond }
	p := Settings{Node: v.Text("node"), ClusterID: v.Text("mesh"), Zone: v.Text("area"), InternalAddr: v.Text("inner"), APIAddr: v.Text("outer"),
		TrafficAddr: v.Text("traffic"), Seeds: v.Texts("seeds"), Stores: v.Texts("stores"), DataDir: v.Text("data"),
		ConfigBound: ms("change_ms"), LeaveBound: ms("leave_ms"), RetryWindow: ms("window_ms"), RecoveryBound: ms("return_ms"), WatchHistory: ms("history_ms"),
		RetireAfter: ms("retire_ms"), ReplaceAfter: ms("replace_ms"), GracePeriod: ms("grace_ms"),
		CatchUpBound: ms("catch_up_ms"), ContactTime: ms("touch_ms"), AckBound: ms("ack_ms"), OldConfigBound: ms("back_ms"), LockExpiryBound: ms("free_ms"), ClientTimeout: ms("silence_ms"), ConfiguredHeartbeat: ms("beat_ms"),
		MaxBodyBytes: int(v.Count("body_bytes")), MaxFrameBytes: int(v.Count("frame_bytes")), MaxRequests: int(v.Count("jobs")),
		MayFound: v.Flag("founding"), ToleratedMachines: int(v.Count("bear")), ToleratedZones: int(v.Count("bear_areas")), ToleratedRegions: int(v.Count("bear_regions")), Region: v.Text("region"), MemoryBytes: int(v.Count("memory_bytes")), FileLimit: int(v.Count("files")),
		DiskBytes: int(v.Count("disk_bytes")), ConfiguredStateBytes: int(v.Count("state_bytes")),
		Service: v.Text("service"), WorkerAddr: v.Text("worker_addr"), ReadyAddr: v.Text("ready"),
		RetryRatio: v.Number("repeat_share"), RetryAllowance: int(v.Count("repeat_allowance"))}
	p.derive()
	return p, p.parts()
}

// Load reads the props of a program from a file and from flags; flags win.
func Load(program string, args []string) (Settings, []schema.Problem, error) {
	tab := Tables[program]
	file, over, err := flags(tab, args)
	if err != nil {
		return Settings{}, nil, err
	}
	in := map[string]any{}
	var bad []schema.Problem
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return Settings{}, nil, fault.Wrap(fault.Input, err, "read props")
		}
		if in, bad, err = schema.Parse(data); err != nil {
			return Settings{}, nil, fault.Wrap(fault.Input, err, "read props")
		}
	}
	for k, val := range over {
		in[k] = val
	}
	v, more := tab.Read(in, "")
	bad = append(bad, more...)
	if len(bad) > 0 {
		return Settings{}, bad, nil
	}
	p, bad := FromChecked(v)
	return p, bad, nil
}

// flags makes one flag for each row of the table, so that file and flags can
// never differ in what they know.
func flags(tab schema.Table, args []string) (string, map[string]any, error) {
	fields := []reflect.StructField{{Name: "Props", Type: reflect.TypeOf(""), Tag: `arg:"--props" help:"settings file (JSON)"`}}
	for _, s := range tab.Fields {
		name := strings.ReplaceAll(s.Name, "_", "-")
		tag := fmt.Sprintf(`arg:"--%s" help:%q`, name, s.Help)
		fields = append(fields, reflect.StructField{Name: "X" + s.Name, Type: reflect.TypeOf((*string)(nil)), Tag: reflect.StructTag(tag)})
	}
	dest := reflect.New(reflect.StructOf(fields))
	p, err := arg.NewParser(arg.Config{Program: tab.Name}, dest.Interface())
	if err != nil {
		return "", nil, fault.Wrap(fault.Input, err, "flags")
	}
	if err := p.Parse(args); err != nil {
		if errors.Is(err, arg.ErrHelp) {
			p.WriteHelp(os.Stdout)
			return "", nil, err
		}
		return "", nil, fault.Wrap(fault.Input, err, "flags")
	}
	over := map[string]any{}
	for i, s := range tab.Fields {
		if f, _ := dest.Elem().Field(i + 1).Interface().(*string); f != nil {
			over[s.Name] = schema.FromFlag(s.Type, *f)
		}
	}
	return dest.Elem().Field(0).String(), over, nil
}

// File tells from which file Load reads with these arguments; none is "".
func File(program string, args []string) string {
	file, _, err := flags(Tables[program], args)
	if err != nil {
		return ""
	}
	return file
}
