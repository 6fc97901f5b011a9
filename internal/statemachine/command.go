package statemachine

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/fault"
	"puffincrank/internal/patch"
)

// Result is the outcome of a command or a read.
type Result struct {
	Code     string        `msgpack:"c"` // OK, or the reason why nothing changed
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
	Patches  []patch.Patch `msgpack:"p,omitempty"` // sent instead of Doc: the patches from the requester's version to Version
	Trials   []Trial       `msgpack:"t,omitempty"`
	Locks    map[string]Lock
	Recorded *AnsweredRequest `msgpack:"q,omitempty"` // the recorded request that a "request" read asked for
}

// The codes of a Result.
const (
	OK        = "ok"
	Conflict  = "conflict" // the expected version, revision or owner is not the current one
	NotFound  = "absent"
	Fenced    = "fenced" // the ballot is lower than the one already recorded for the role
	Compacted = "gone"   // the requested part of the history has been compacted
	Invalid   = "wrong"  // the command or read is malformed
	Full      = "full"   // rejected without effect because a size limit is reached
	Reused    = "reused" // the request ID or number was already used with different content
)

// Command is a deterministic change of the state.
type Command interface{ Apply(s *State) Result }

// KindRequest is the name under which a Request is encoded.
const KindRequest = "request.once"

// commandConstructors maps the encoded name of every command to its constructor. Names
// are stored in the log, so a name is never reused for another command.
var commandConstructors = map[string]func() Command{
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

// Packed is the encoded form of a command, both on the wire and in the log.
type Packed struct {
	Kind string             `msgpack:"k"`
	Body msgpack.RawMessage `msgpack:"b"`
}

// Pack encodes a command under the name of its kind.
func Pack(kind string, command Command) (Packed, error) {
	body, err := msgpack.Marshal(command)
	return Packed{kind, body}, fault.Wrap(fault.Input, err, "encode "+kind)
}

// Unpack decodes the command. The error for an unknown kind names the kind.
func (p Packed) Unpack() (Command, error) {
	newCommand := commandConstructors[p.Kind]
	if newCommand == nil {
		return nil, fault.New(fault.Input, "command %q is not known here", p.Kind)
	}
	command := newCommand()
	if err := msgpack.Unmarshal(p.Body, command); err != nil {
		return nil, fault.Wrap(fault.Input, err, "decode "+p.Kind)
	}
	if request, ok := command.(*Request); ok {
		return command, request.unpack()
	}
	return command, nil
}

// Batch holds the commands of one log entry.
type Batch []Packed

// Pack encodes the batch.
func (b Batch) Pack() ([]byte, error) {
	encoded, err := msgpack.Marshal(b)
	return encoded, fault.Wrap(fault.Input, err, "encode batch")
}

// Apply decodes and applies an encoded batch and returns its commands with their
// results. All commands are decoded before the first is applied. An unknown command
// is an error, and the replica must stop: skipping it would let replicas diverge.
func (s *State) Apply(raw []byte) ([]Command, []Result, error) {
	var batch Batch
	if err := msgpack.Unmarshal(raw, &batch); err != nil {
		return nil, nil, fault.Wrap(fault.Input, err, "decode batch")
	}
	commands := make([]Command, len(batch))
	for i, p := range batch {
		command, err := p.Unpack()
		if err != nil {
			return nil, nil, err
		}
		commands[i] = command
	}
	results := make([]Result, len(batch))
	for i, command := range commands {
		results[i] = command.Apply(s)
	}
	return commands, results, nil
}

// encodeSorted encodes with sorted map keys, so that equal values give equal bytes.
func encodeSorted(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.SetSortMapKeys(true)
	err := encoder.Encode(value)
	return buffer.Bytes(), err
}

// Noop changes nothing. A new leader proposes one first.
type Noop struct{}

// Apply implements Command.
func (*Noop) Apply(*State) Result { return Result{Code: OK} }

// Kinds returns an empty command of each kind, keyed by its encoded name.
func Kinds() map[string]Command {
	commands := map[string]Command{}
	for name, newCommand := range commandConstructors {
		commands[name] = newCommand()
	}
	return commands
}
