package statemachine

// Level is the command level that this program supports. It is reported with every
// acknowledgement; a program that reports none has level 0. A command of a level is
// proposed only when all members and learners are known to support that level.
const Level = LevelRequests

// LevelRequests is the lowest level that supports Request, CompactRequests and
// RaiseLevel.
const LevelRequests = 2

// RaiseLevel records that every member supports a command level. From then on the
// commands of that level are used even when some members are unreachable, and a
// program that does not support them is not admitted as a member.
type RaiseLevel struct {
	To int `msgpack:"t"`
}

// Apply raises the level. The level never decreases.
func (c *RaiseLevel) Apply(s *State) Result {
	s.Level = max(s.Level, c.To)
	return Result{Code: OK}
}
