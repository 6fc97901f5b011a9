// Package props is the settings of one process: where it stands and the
// bounds that it keeps. All other times are ratios to these bounds.
package props

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"puffincrank/internal/fault"
	"puffincrank/internal/settings"
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
	Body, Frame, Jobs      int
}

func some(v any) error {
	if l, ok := v.([]string); !ok || len(l) != 3 {
		return errors.New("must be three addresses")
	}
	return nil
}

var common = []settings.Setting{
	{Name: "node", Type: settings.Text, Must: true, Check: settings.Word, Rule: "a name", Help: "this process's name, its own in the mesh"},
	{Name: "mesh", Type: settings.Text, Def: "puffin", Check: settings.Word, Rule: "a name", Help: "the mesh; processes of another mesh are turned away"},
	{Name: "area", Type: settings.Text, Must: true, Check: settings.Word, Rule: "a name", Help: "the area (zone) of this machine"},
	{Name: "inner", Type: settings.Addr, Must: true, Rule: "IP number and port", Help: "where other processes of the mesh reach this one"},
	{Name: "outer", Type: settings.Addr, Must: true, Rule: "IP number and port", Help: "where operators, the platform and the own worker reach this one"},
	{Name: "change_ms", Type: settings.Span, Def: int64(2000), Check: settings.In(200, 60000), Rule: "200 to 60000", Help: "bound: from an acknowledged change until every node in touch acts on it"},
	{Name: "leave_ms", Type: settings.Span, Def: int64(2000), Check: settings.In(200, 60000), Rule: "200 to 60000", Help: "bound: from a worker's leaving until no new job reaches it"},
	{Name: "window_ms", Type: settings.Span, Def: int64(10000), Check: settings.In(1000, 120000), Rule: "1000 to 120000", Help: "bound: the window over which repeats are counted"},
	{Name: "return_ms", Type: settings.Span, Def: int64(15000), Check: settings.In(2000, 300000), Rule: "2000 to 300000", Help: "bound: from machines coming back until service is back"},
	{Name: "history_ms", Type: settings.Span, Def: int64(20000), Check: settings.In(1000, 600000), Rule: "1000 to 600000", Help: "bound: how long watches can look back at least"},
	{Name: "retire_ms", Type: settings.Span, Def: int64(10000), Check: settings.In(1000, 600000), Rule: "1000 to 600000", Help: "how long a node has no session anywhere before its entries are retired"},
	{Name: "replace_ms", Type: settings.Span, Def: int64(8000), Check: settings.In(1000, 600000), Rule: "1000 to 600000", Help: "how long a store is out of touch before one at a new address may take its place"},
	{Name: "grace_ms", Type: settings.Span, Def: int64(15000), Check: settings.In(500, 120000), Rule: "500 to 120000", Help: "the longest that a polite stop waits for jobs under way"},
	{Name: "frame_bytes", Type: settings.Count, Def: int64(16 << 20), Check: settings.In(64<<10, 256<<20), Rule: "64 KiB to 256 MiB", Help: "bound on one frame between processes"},
	{Name: "jobs", Type: settings.Count, Def: int64(2048), Check: settings.In(16, 65536), Rule: "16 to 65536", Help: "bound on calls from fellows handled at once"},
}

// Tables are the settings of each program.
var Tables = map[string]settings.Table{
	"proxy": {Name: "proxy", Rows: append(common[:len(common):len(common)],
		settings.Setting{Name: "seeds", Type: settings.Addrs, Must: true, Check: some, Rule: "three addresses", Help: "inner addresses of three registries"},
		settings.Setting{Name: "traffic", Type: settings.Addr, Must: true, Rule: "IP number and port", Help: "where callers send their jobs"},
		settings.Setting{Name: "body_bytes", Type: settings.Count, Def: int64(1 << 20), Check: settings.In(1024, 8<<20), Rule: "1 KiB to 8 MiB", Help: "bound on the body of a job and of an answer"})},
	"registry": {Name: "registry", Rows: append(common[:len(common):len(common)],
		settings.Setting{Name: "seeds", Type: settings.Addrs, Must: true, Check: some, Rule: "three addresses", Help: "inner addresses of three registries, this one among them or not"},
		settings.Setting{Name: "stores", Type: settings.Addrs, Must: true, Check: some, Rule: "three addresses", Help: "inner addresses of three stores"})},
	"store": {Name: "store", Rows: append(common[:len(common):len(common)],
		settings.Setting{Name: "seeds", Type: settings.Addrs, Must: true, Check: some, Rule: "three addresses", Help: "inner addresses of three stores; at the founding this one is among them"},
		settings.Setting{Name: "data", Type: settings.Text, Must: true, Rule: "a folder", Help: "the data folder"})},
}

// Make turns checked values into props and checks that the parts add up.
func Make(v settings.Values) (Props, []settings.Fault) {
	ms := func(n string) time.Duration { return time.Duration(v.Count(n)) * time.Millisecond }
	p := Props{Node: v.Text("node"), Mesh: v.Text("mesh"), Area: v.Text("area"), Inner: v.Text("inner"), Outer: v.Text("outer"),
		Traffic: v.Text("traffic"), Seeds: v.Texts("seeds"), Stores: v.Texts("stores"), Data: v.Text("data"),
		Change: ms("change_ms"), Leave: ms("leave_ms"), Window: ms("window_ms"), Return: ms("return_ms"), History: ms("history_ms"),
		Retire: ms("retire_ms"), Replace: ms("replace_ms"), Grace: ms("grace_ms"),
		Body: int(v.Count("body_bytes")), Frame: int(v.Count("frame_bytes")), Jobs: int(v.Count("jobs"))}
	return p, p.parts()
}

// Load reads the props of a program from a file and from flags; flags win.
func Load(program string, args []string) (Props, []settings.Fault, error) {
	tab := Tables[program]
	file, over, err := flags(tab, args)
	if err != nil {
		return Props{}, nil, err
	}
	in := map[string]any{}
	var bad []settings.Fault
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return Props{}, nil, fault.Wrap(fault.Input, err, "read props")
		}
		if in, bad, err = settings.Parse(data); err != nil {
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
func flags(tab settings.Table, args []string) (string, map[string]any, error) {
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
			over[s.Name] = settings.FromFlag(s.Type, *f)
		}
	}
	return dest.Elem().Field(0).String(), over, nil
}
