package statemachine

// Level is what this program understands of the commands, told with each ack; a
// program that tells none has 0. A command of a level is proposed only when all
// members, and those who stand by, are known to be of it.
const Level = LevelRequests

// LevelRequests is the level from which on a program knows Request, TrimRequests
// and RaiseLevel.
const LevelRequests = 2

// RaiseLevel notes that every member knows a level of commands. From then on the
// commands of that level are used whoever can be heard, and a program that does
// not know them gets no place.
type RaiseLevel struct {
	To int `msgpack:"t"`
}

// Apply raises the level; it never falls.
func (c *RaiseLevel) Apply(s *State) Result {
	s.Level = max(s.Level, c.To)
	return Result{Code: OK}
}
