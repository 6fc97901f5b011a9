package rules

import (
	"fmt"
	"math"
	"strings"
	"time"

	"puffincrank/internal/settings"
)

// Most bounds a document's size.
const Most = 1 << 20

// Arm is where the jobs of a path go and by which terms.
type Arm struct {
	Service string
	Class   string
	Left    time.Duration
	Safe    bool
	Tries   int
	Name    string // "old" or "new"
	Steps   []Step
}

// Path is one compiled path.
type Path struct {
	Name   string
	Method string
	Prefix string
	Base   Arm
	Trial  uint64 // 0 when none runs
	Slice  float64
	New    Arm
}

// Step is one operation of the interpreter.
type Step uint8

// The steps of a job, in the order in which a path runs them.
const (
	Nominate Step = iota
	HandOver
	Weigh
	Receipt
)

// Rules is one compiled version.
type Rules struct {
	Version  uint64
	Doc      []byte
	Services map[string]bool
	Shares   map[string]float64
	Classes  []string
	Paths    []*Path
	by       map[string]map[string]*Path // method to prefix to path
	names    map[string]*Path
	RepShare float64
	RepAllow int64
	Queue    float64
	Judge    settings.Values
	Longest  time.Duration
}

// Compile reads a document; every fault is named with its place.
func Compile(version uint64, doc []byte) (*Rules, []settings.Fault, error) {
	in, bad, err := settings.Parse(doc)
	if err != nil {
		return nil, nil, err
	}
	r := &Rules{Version: version, Doc: doc, Services: map[string]bool{}, Shares: map[string]float64{},
		by: map[string]map[string]*Path{}, names: map[string]*Path{}}
	top, more := TabDoc.Read(in, "")
	bad = append(bad, more...)
	bad = append(bad, r.services(top)...)
	bad = append(bad, r.classes(top)...)
	bad = append(bad, r.paths(top)...)
	lim, _ := top["limits"].(map[string]any)
	v, more := TabLimits.Read(lim, "limits")
	bad = append(bad, more...)
	r.RepShare, r.RepAllow, r.Queue = v.Share("repeat_share"), v.Count("repeat_allowance"), v.Share("queue_share")
	jud, _ := top["judge"].(map[string]any)
	r.Judge, more = TabJudge.Read(jud, "judge")
	bad = append(bad, more...)
	if len(more) == 0 && r.Judge.Count("most_ms") <= r.Judge.Count("least_ms") {
		bad = append(bad, settings.Fault{Place: "judge.most_ms", Wrong: "must be over least_ms"})
	}
	if len(bad) > 0 {
		return nil, bad, nil
	}
	return r, nil, nil
}

// each runs f over the objects of a list, with their places.
func each(top settings.Values, name string, tab settings.Table, f func(at string, v settings.Values) []settings.Fault) []settings.Fault {
	list, ok := top[name].([]any)
	if !ok {
		return nil
	}
	var bad []settings.Fault
	if len(list) == 0 {
		bad = append(bad, settings.Fault{Place: name, Wrong: "must have at least one"})
	}
	for i, e := range list {
		at := fmt.Sprintf("%s[%d]", name, i)
		m, ok := e.(map[string]any)
		if !ok {
			bad = append(bad, settings.Fault{Place: at, Wrong: "must be an object"})
			continue
		}
		v, more := tab.Read(m, at)
		bad = append(bad, more...)
		// References are checked even when other values of the row are wrong,
		// so that one answer names every fault.
		bad = append(bad, f(at, v)...)
	}
	return bad
}

func (r *Rules) services(top settings.Values) []settings.Fault {
	return each(top, "services", TabService, func(at string, v settings.Values) []settings.Fault {
		n := v.Text("name")
		if r.Services[n] {
			return []settings.Fault{{Place: at + ".name", Wrong: fmt.Sprintf("service %q is there twice", n)}}
		}
		if n != "" {
			r.Services[n] = true
		}
		return nil
	})
}

func (r *Rules) classes(top settings.Values) []settings.Fault {
	sum := 0.0
	whole := true
	bad := each(top, "classes", TabClass, func(at string, v settings.Values) []settings.Fault {
		n := v.Text("name")
		if _, dup := r.Shares[n]; dup {
			return []settings.Fault{{Place: at + ".name", Wrong: fmt.Sprintf("class %q is there twice", n)}}
		}
		if _, ok := v["share"]; !ok || n == "" {
			whole = false
		}
		if n != "" {
			r.Shares[n] = v.Share("share")
			r.Classes = append(r.Classes, n)
		}
		sum += v.Share("share")
		return nil
	})
	// The sum says nothing when a share could not be read.
	if whole && len(r.Classes) > 0 && math.Abs(sum-100) > 1e-6 {
		bad = append(bad, settings.Fault{Place: "classes", Wrong: fmt.Sprintf("shares add up to %g, not 100", sum)})
	}
	return bad
}

func (r *Rules) paths(top settings.Values) []settings.Fault {
	return each(top, "paths", TabPath, func(at string, v settings.Values) []settings.Fault {
		p := &Path{}
		var bad []settings.Fault
		p.Name, p.Method, p.Prefix = v.Text("name"), v.Text("method"), v.Text("prefix")
		p.Base, bad = r.arm(at, "old", v)
		if t, ok := v["trial"].(map[string]any); ok {
			tv, more := TabTrial.Read(t, at+".trial")
			bad = append(bad, more...)
			p.Trial, p.Slice = uint64(tv.Count("id")), tv.Share("slice")
			p.New, more = r.arm(at+".trial", "new", tv)
			bad = append(bad, more...)
		}
		if p.Name != "" && r.names[p.Name] != nil {
			bad = append(bad, settings.Fault{Place: at + ".name", Wrong: fmt.Sprintf("path %q is there twice", p.Name)})
		}
		r.names[p.Name] = p
		if p.Prefix != "/" {
			p.Prefix = strings.TrimRight(p.Prefix, "/")
		}
		if r.by[p.Method] == nil {
			r.by[p.Method] = map[string]*Path{}
		}
		if old := r.by[p.Method][p.Prefix]; old != nil && p.Prefix != "" {
			bad = append(bad, settings.Fault{Place: at + ".prefix", Wrong: fmt.Sprintf("path %q matches the same", old.Name)})
		}
		r.by[p.Method][p.Prefix] = p
		r.Paths = append(r.Paths, p)
		r.Longest = max(r.Longest, p.Base.Left, p.New.Left)
		return bad
	})
}

func (r *Rules) arm(at, name string, v settings.Values) (Arm, []settings.Fault) {
	a := Arm{Name: name, Service: v.Text("service"), Class: v.Text("class"), Left: time.Duration(v.Count("left_ms")) * time.Millisecond,
		Safe: v.Text("repeat") == "safe", Tries: int(v.Count("tries")), Steps: []Step{Nominate, HandOver, Weigh, Receipt}}
	var bad []settings.Fault
	if a.Service != "" && !r.Services[a.Service] {
		bad = append(bad, settings.Fault{Place: at + ".service", Wrong: fmt.Sprintf("no service %q", a.Service)})
	}
	if _, ok := r.Shares[a.Class]; a.Class != "" && !ok {
		bad = append(bad, settings.Fault{Place: at + ".class", Wrong: fmt.Sprintf("no class %q", a.Class)})
	}
	return a, bad
}
