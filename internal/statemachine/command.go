package statemachine

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/fault"
	"puffincrank/internal/patch"
)

// Result is what a command or a read gives back.
type Result struct {
	Code     string        `msgpack:"c"` // ok, or why nothing changed
	Message  string        `msgpack:"s,omitempty"`
	Version  uint64        `msgpack:"v,omitempty"`
	Revision uint64        `msgpack:"r,omitempty"`
	Number   uint64        `msgpack:"n,omitempty"`
	Key      *Key          `msgpack:"k,omitempty"`
	Lock     *Lock         `msgpack:"l,omitempty"`
	Doc      []byte        `msgpack:"d,omitempty"`
	Names    []string      `msgpack:"a,omitempty"`
	Changes  []Change      `msgpack:"h,omitempty"`
	Configs  []Config      `msgpack:"g,omitempty"`
	Patches  []patch.Patch `msgpack:"p,omitempty"` // in the place of Doc, from the version that the asker has
	Trials   []Trial       `msgpack:"t,omitempty"`
	Locks    map[string]Lock
	Recorded *AnsweredRequest `msgpack:"q,omitempty"` // an answered request
}

// The codes of a result.
const (
	OK        = "ok"
	Conflict  = "conflict" // the base, revision or owner is not what stands
	NotFound  = "absent"
	Fenced    = "fenced" // the leader's ballot is below one already seen
	Compacted = "gone"   // the history does not reach back so far
	Invalid   = "wrong"
	Full      = "full"   // nothing was done for want of room
	Reused    = "reused" // another content was taken under the request's id or number
)

// Command changes the state.
type Command interface{ Apply(s *State) Result }

// KindRequest is the stored name of a Request.
const KindRequest = "request.once"

// commandKinds names every command for the stored batch. A name is never re-used.
var commandKinds = map[string]func() Command{
	KindRequest:     func() Command { return &Request{} },
	"level.raise":   func() Command { return &RaiseLevel{} },
	"request.trim":  func() Command { return &CompactRequests{} },
	"noop":          func() Command { return &Noop{} },
	"config.set":    func() Command { return &SetConfig{} },
	"config.step":   func() Command { return &PatchConfig{} },
	"config.number": func() Command { return &SetNumberedConfig{} },
	"cell.put":      func() Command { return &PutGroupKey{} },
	"cell.trim":     func() Command { return &CompactPuts{} },
	"key.put":       func() Command { return &PutKey{} },
	"key.delete":    func() Command { return &DeleteKey{} },
	"history.trim":  func() Command { return &CompactChanges{} },
	"number.next":   func() Command { return &NextNumber{} },
	"lock.take":     func() Command { return &AcquireLock{} },
	"lock.free":     func() Command { return &ReleaseLock{} },
	"lock.expire":   func() Command { return &ExpireLock{} },
	"duty.fence":    func() Command { return &FenceRole{} },
	"store.replace": func() Command { return &ReplaceMember{} },
	"store.remove":  func() Command { return &RemoveMember{} },
	"store.add":     func() Command { return &AddMember{} },
	"store.want":    func() Command { return &SetVoterCount{} },
	"trial.propose": func() Command { return &Propose{} },
	"trial.decide":  func() Command { return &Decide{} },
}

// Packed is a command as it travels and is stored.
type Packed struct {
	Kind string             `msgpack:"k"`
	Body msgpack.RawMessage `msgpack:"b"`
}

// Pack readies a command for travel.
func Pack(kind string, c Command) (Packed, error) {
	b, err := msgpack.Marshal(c)
	return Packed{kind, b}, fault.Wrap(fault.Input, err, "pack "+kind)
}

// Unpack reads a command back; an unknown kind is an error by name.
func (p Packed) Unpack() (Command, error) {
	make := commandKinds[p.Kind]
	if make == nil {
		return nil, fault.New(fault.Input, "command %q is not known here", p.Kind)
	}
	c := make()
	if err := msgpack.Unmarshal(p.Body, c); err != nil {
		return nil, fault.Wrap(fault.Input, err, "read "+p.Kind)
	}
	if request, ok := c.(*Request); ok {
		return c, request.open()
	}
	return c, nil
}

// Batch is the commands of one version.
type Batch []Packed

// Pack writes a batch.
func (b Batch) Pack() ([]byte, error) {
	out, err := msgpack.Marshal(b)
	return out, fault.Wrap(fault.Input, err, "pack batch")
}

// Apply runs a stored batch. A command that this program does not know would
// let replicas drift apart, so it is an error that stops the replica.
func (s *State) Apply(raw []byte) ([]Command, []Result, error) {
	var b Batch
	if err := msgpack.Unmarshal(raw, &b); err != nil {
		return nil, nil, fault.Wrap(fault.Input, err, "read batch")
	}
	cmds := make([]Command, len(b))
	for i, p := range b {
		c, err := p.Unpack()
		if err != nil {
			return nil, nil, err
		}
		cmds[i] = c
	}
	out := make([]Result, len(b))
	for i, c := range cmds {
		out[i] = c.Apply(s)
	}
	return cmds, out, nil
}

func packed(v any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.SetSortMapKeys(true)
	err := e.Encode(v)
	return b.Bytes(), err
}

// Noop changes nothing; a new leader begins with one.
type Noop struct{}

// Apply does nothing.
func (*Noop) Apply(*State) Result { return Result{Code: OK} }

// Kinds gives an empty command of each kind by name.
func Kinds() map[string]Command {
	out := map[string]Command{}
	for n, f := range commandKinds {
		out[n] = f()
	}
	return out
}
