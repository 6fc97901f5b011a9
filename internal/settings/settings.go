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
func FromChecked(values schema.Values) (Settings, []schema.Problem) {
	millis := func(name string) time.Duration { return time.Duration(values.Count(name)) * time.Millisecond }
	settings := Settings{Node: values.Text("node"), ClusterID: values.Text("mesh"), Zone: values.Text("area"), InternalAddr: values.Text("inner"), APIAddr: values.Text("outer"),
		TrafficAddr: values.Text("traffic"), Seeds: values.Texts("seeds"), Stores: values.Texts("stores"), DataDir: values.Text("data"),
		ConfigBound: millis("change_ms"), LeaveBound: millis("leave_ms"), RetryWindow: millis("window_ms"), RecoveryBound: millis("return_ms"), WatchHistory: millis("history_ms"),
		RetireAfter: millis("retire_ms"), ReplaceAfter: millis("replace_ms"), GracePeriod: millis("grace_ms"),
		CatchUpBound: millis("catch_up_ms"), ContactTime: millis("touch_ms"), AckBound: millis("ack_ms"), OldConfigBound: millis("back_ms"), LockExpiryBound: millis("free_ms"), ClientTimeout: millis("silence_ms"), ConfiguredHeartbeat: millis("beat_ms"),
		MaxBodyBytes: int(values.Count("body_bytes")), MaxFrameBytes: int(values.Count("frame_bytes")), MaxRequests: int(values.Count("jobs")),
		MayFound: values.Flag("founding"), ToleratedMachines: int(values.Count("bear")), ToleratedZones: int(values.Count("bear_areas")), ToleratedRegions: int(values.Count("bear_regions")), Region: values.Text("region"), MemoryBytes: int(values.Count("memory_bytes")), FileLimit: int(values.Count("files")),
		DiskBytes: int(values.Count("disk_bytes")), ConfiguredStateBytes: int(values.Count("state_bytes")),
		Service: values.Text("service"), WorkerAddr: values.Text("worker_addr"), ReadyAddr: values.Text("ready"),
		RetryRatio: values.Share("repeat_share"), RetryAllowance: int(values.Count("repeat_allowance"))}
	settings.derive()
	return settings, settings.checkDerived()
}

// Load reads the props of a program from a file and from flags; flags win.
func Load(program string, args []string) (Settings, []schema.Problem, error) {
	table := Tables[program]
	file, overrides, err := parseFlags(table, args)
	if err != nil {
		return Settings{}, nil, err
	}
	object := map[string]any{}
	var problems []schema.Problem
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return Settings{}, nil, fault.Wrap(fault.Input, err, "read props")
		}
		if object, problems, err = schema.Parse(data); err != nil {
			return Settings{}, nil, fault.Wrap(fault.Input, err, "read props")
		}
	}
	for name, value := range overrides {
		object[name] = value
	}
	values, found := table.Read(object, "")
	problems = append(problems, found...)
	if len(problems) > 0 {
		return Settings{}, problems, nil
	}
	settings, problems := FromChecked(values)
	return settings, problems, nil
}

// parseFlags makes one flag for each row of the table, so that file and flags can
// never differ in what they know.
func parseFlags(table schema.Table, args []string) (string, map[string]any, error) {
	fields := []reflect.StructField{{Name: "Props", Type: reflect.TypeOf(""), Tag: `arg:"--props" help:"settings file (JSON)"`}}
	for _, field := range table.Rows {
		name := strings.ReplaceAll(field.Name, "_", "-")
		tag := fmt.Sprintf(`arg:"--%s" help:%q`, name, field.Help)
		fields = append(fields, reflect.StructField{Name: "X" + field.Name, Type: reflect.TypeOf((*string)(nil)), Tag: reflect.StructTag(tag)})
	}
	dest := reflect.New(reflect.StructOf(fields))
	parser, err := arg.NewParser(arg.Config{Program: table.Name}, dest.Interface())
	if err != nil {
		return "", nil, fault.Wrap(fault.Input, err, "flags")
	}
	if err := parser.Parse(args); err != nil {
		if errors.Is(err, arg.ErrHelp) {
			parser.WriteHelp(os.Stdout)
			return "", nil, err
		}
		return "", nil, fault.Wrap(fault.Input, err, "flags")
	}
	overrides := map[string]any{}
	for i, field := range table.Rows {
		if value, _ := dest.Elem().Field(i + 1).Interface().(*string); value != nil {
			overrides[field.Name] = schema.FromFlag(field.Type, *value)
		}
	}
	return dest.Elem().Field(0).String(), overrides, nil
}

// File tells from which file Load reads with these arguments; none is "".
func File(program string, args []string) string {
	file, _, err := parseFlags(Tables[program], args)
	if err != nil {
		return ""
	}
	return file
}
