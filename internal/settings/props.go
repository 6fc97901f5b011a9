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

// Props are the checked settings of a process.
type Props struct {
	Node, Mesh, Area       string
	Inner, Outer, Traffic  string
	Seeds, Stores          []string
	Data                   string
	Change, Leave, Window  time.Duration
	Return, History        time.Duration
	Retire, Replace, Grace time.Duration
	CatchUp, Touch, Ack    time.Duration
	Back, Free, Silence    time.Duration
	Told                   time.Duration // how often the own worker beats; 0 for our own ratio
	Body, Frame, Jobs      int
	Founding               bool
	Bear                   int    // machines with a disk that may be lost at once
	BearAreas, BearRegions int    // areas, or regions, that may be lost at once
	Region                 string // of the area, if told
	Memory, Files          int    // bytes and descriptors of this process; 0 when not told
	Disk                   int    // bytes of the disk; 0 when not told
	State                  int    // bytes that the replicated state may have; 0 when it follows from memory and disk
	Service, Worker        string // the service and address of the worker beside this node, if told
	Ready                  string // a further address where readiness is told
	RepeatShare            float64
	RepeatAllowance        int
}

// Voters is how many stores must agree so that any Bear of them may be lost, or
// as many areas or regions, if each holds one.
func (p Props) Voters() int { return 2*max(p.Bear, p.BearAreas, p.BearRegions) + 1 }

// Make turns checked values into props and checks that the parts add up.
func Make(v schema.Values) (Props, []schema.Fault) {
	ms := func(n string) time.Duration { return time.Duration(v.Count(n)) * time.Millisecond }
	p := Props{Node: v.Text("node"), Mesh: v.Text("mesh"), Area: v.Text("area"), Inner: v.Text("inner"), Outer: v.Text("outer"),
		Traffic: v.Text("traffic"), Seeds: v.Texts("seeds"), Stores: v.Texts("stores"), Data: v.Text("data"),
		Change: ms("change_ms"), Leave: ms("leave_ms"), Window: ms("window_ms"), Return: ms("return_ms"), History: ms("history_ms"),
		Retire: ms("retire_ms"), Replace: ms("replace_ms"), Grace: ms("grace_ms"),
		CatchUp: ms("catch_up_ms"), Touch: ms("touch_ms"), Ack: ms("ack_ms"), Back: ms("back_ms"), Free: ms("free_ms"), Silence: ms("silence_ms"), Told: ms("beat_ms"),
		Body: int(v.Count("body_bytes")), Frame: int(v.Count("frame_bytes")), Jobs: int(v.Count("jobs")),
		Founding: v.Flag("founding"), Bear: int(v.Count("bear")), BearAreas: int(v.Count("bear_areas")), BearRegions: int(v.Count("bear_regions")), Region: v.Text("region"), Memory: int(v.Count("memory_bytes")), Files: int(v.Count("files")),
		Disk: int(v.Count("disk_bytes")), State: int(v.Count("state_bytes")),
		Service: v.Text("service"), Worker: v.Text("worker_addr"), Ready: v.Text("ready"),
		RepeatShare: v.Share("repeat_share"), RepeatAllowance: int(v.Count("repeat_allowance"))}
	p.derive()
	return p, p.parts()
}

// Load reads the props of a program from a file and from flags; flags win.
func Load(program string, args []string) (Props, []schema.Fault, error) {
	tab := Tables[program]
	file, over, err := flags(tab, args)
	if err != nil {
		return Props{}, nil, err
	}
	in := map[string]any{}
	var bad []schema.Fault
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return Props{}, nil, fault.Wrap(fault.Input, err, "read props")
		}
		if in, bad, err = schema.Parse(data); err != nil {
			return Props{}, nil, fault.Wrap(fault.Input, err, "read props")
		}
	}
	for k, val := range over {
		in[k] = val
	}
	v, more := tab.Read(in, "")
	bad = append(bad, more...)
	if len(bad) > 0 {
		return Props{}, bad, nil
	}
	p, bad := Make(v)
	return p, bad, nil
}

// flags makes one flag for each row of the table, so that file and flags can
// never differ in what they know.
func flags(tab schema.Table, args []string) (string, map[string]any, error) {
	fields := []reflect.StructField{{Name: "Props", Type: reflect.TypeOf(""), Tag: `arg:"--props" help:"settings file (JSON)"`}}
	for _, s := range tab.Rows {
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
	for i, s := range tab.Rows {
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
