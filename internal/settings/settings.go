// Package settings holds the settings of one process: its identity, its addresses and the bounds
// that it keeps. All other times are derived from these bounds.
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
	ConfiguredHeartbeat                            time.Duration // heartbeat interval of the worker beside this node; 0: derived from the bounds
	MaxBodyBytes, MaxFrameBytes, MaxRequests       int
	MayFound                                       bool
	ToleratedMachines                              int    // machines with a disk whose loss at once is tolerated
	ToleratedZones, ToleratedRegions               int    // zones, or regions, whose loss at once is tolerated
	Region                                         string // of the zone; empty when not given
	MemoryBytes, FileLimit                         int    // memory and file descriptors of this process; 0 when not given
	DiskBytes                                      int    // size of the disk; 0 when not given
	ConfiguredStateBytes                           int    // bound on the replicated state; 0: derived from memory and disk
	Service, WorkerAddr                            string // service and address of the worker beside this node; empty when not given
	ReadyAddr                                      string // additional address that serves the readiness check
	RetryRatio                                     float64
	RetryAllowance                                 int
}

// Voters is the number of voting stores needed to tolerate the loss of any ToleratedMachines
// stores, or of as many zones or regions as configured, provided that each holds one.
func (p Settings) Voters() int {
	return 2*max(p.ToleratedMachines, p.ToleratedZones, p.ToleratedRegions) + 1
}

// FromChecked converts checked values into settings and checks that the derived times fit into
// their bounds.
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
		RetryRatio: values.Number("repeat_share"), RetryAllowance: int(values.Count("repeat_allowance"))}
	settings.derive()
	return settings, settings.checkDerived()
}

// Load reads the settings of a program from a file and from flags; flags take precedence.
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
			return Settings{}, nil, fault.Wrap(fault.Input, err, "read settings file")
		}
		if object, problems, err = schema.Parse(data); err != nil {
			return Settings{}, nil, fault.Wrap(fault.Input, err, "parse settings file")
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

// parseFlags defines one flag for each row of the table, so that the file and the flags always
// accept the same settings. It returns the name of the settings file and the values given as flags.
func parseFlags(table schema.Table, args []string) (string, map[string]any, error) {
	fields := []reflect.StructField{{Name: "Props", Type: reflect.TypeOf(""), Tag: `arg:"--props" help:"settings file (JSON)"`}}
	for _, field := range table.Fields {
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
	for i, field := range table.Fields {
		if value, _ := dest.Elem().Field(i + 1).Interface().(*string); value != nil {
			overrides[field.Name] = schema.FromFlag(field.Type, *value)
		}
	}
	return dest.Elem().Field(0).String(), overrides, nil
}

// File returns the name of the file that Load reads with these arguments, or "".
func File(program string, args []string) string {
	file, _, err := parseFlags(Tables[program], args)
	if err != nil {
		return ""
	}
	return file
}
